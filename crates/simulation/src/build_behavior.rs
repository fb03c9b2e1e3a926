//! The effect of a build on requests. It is hidden from the policy, which has to detect it.

use std::time::Duration;

use tidescale_policy::types::{HardwareClassIndex, RouteIndex};

use crate::parameters::HARDWARE;
use crate::random_stream::RandomStream;

/// The route whose requests must be executed at most once.
pub const NON_IDEMPOTENT_ROUTE: RouteIndex = RouteIndex::new(3);

/// Number of idempotent routes; they have the lowest indexes.
const IDEMPOTENT_ROUTE_COUNT: usize = 2;
/// A build counts as good if its cost per request is below this multiple of the baseline's.
const GOOD_COST_LIMIT: f64 = 1.2;
/// Probability that a drawn build is good.
const GOOD_SHARE: f64 = 0.6;
/// Number of kinds of bad builds that can be drawn.
const BAD_BEHAVIOR_COUNT: usize = 9;

/// The behavior of a build, relative to a baseline that never causes failures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BuildBehavior {
    /// The cost of each request is multiplied by this factor. Near 1, the build is good.
    CostFactor(f64),
    /// Requests on one route fail.
    FailsOnRoute {
        /// The route whose requests fail.
        route: RouteIndex,
        /// Probability that a request on the route fails.
        probability: f64,
    },
    /// Requests fail with this probability while the endpoint has more requests in flight than
    /// cores.
    FailsWhenBusy(f64),
    /// Requests fail once an endpoint has reached a certain uptime.
    FailsAfterUptime {
        /// Uptime after which requests fail.
        uptime: Duration,
        /// Probability that a request fails from then on.
        probability: f64,
    },
    /// Answers are wrong with this probability. Instances cannot detect this themselves; they
    /// depend on reports from clients.
    WrongAnswers(f64),
    /// Requests receive no response, with this probability.
    NeverAnswers(f64),
    /// The build slows all endpoints through a shared dependency. The slowdown grows linearly with
    /// the build's share of the fleet, up to this factor.
    SlowsFleet(f64),
    /// Requests fail at endpoints of one hardware class.
    FailsOnHardware {
        /// The hardware class of the endpoints at which requests fail.
        hardware_class: HardwareClassIndex,
        /// Probability that a request fails there.
        probability: f64,
    },
}

impl BuildBehavior {
    /// A build that behaves identically to the baseline.
    pub const SAME_AS_BASELINE: BuildBehavior = BuildBehavior::CostFactor(1.0);

    /// Returns the display name used in tables.
    pub fn name(self) -> &'static str {
        match self {
            BuildBehavior::CostFactor(factor) if factor < GOOD_COST_LIMIT => "good",
            BuildBehavior::CostFactor(_) => "higher cost",
            BuildBehavior::FailsOnRoute { route, .. } if route == NON_IDEMPOTENT_ROUTE => {
                "errors on the non-idempotent route"
            }
            BuildBehavior::FailsOnRoute { .. } => "errors on an idempotent route",
            BuildBehavior::FailsWhenBusy(_) => "errors when busy",
            BuildBehavior::FailsAfterUptime { .. } => "errors after some uptime",
            BuildBehavior::WrongAnswers(_) => "wrong answers",
            BuildBehavior::NeverAnswers(_) => "never answers",
            BuildBehavior::SlowsFleet(_) => "slows the fleet",
            BuildBehavior::FailsOnHardware { .. } => "errors on a hardware class",
        }
    }

    /// Returns whether rolling the build back would be a false rollback.
    pub fn is_good(self) -> bool {
        matches!(self, BuildBehavior::CostFactor(factor) if factor < GOOD_COST_LIMIT)
    }

    /// Draws a build that is good with probability 0.6.
    pub fn draw(random: &mut RandomStream) -> BuildBehavior {
        if random.bernoulli(GOOD_SHARE) {
            BuildBehavior::draw_good(random)
        } else {
            BuildBehavior::draw_bad(random)
        }
    }

    /// Draws a good build, which is slightly faster or slower than the baseline.
    pub fn draw_good(random: &mut RandomStream) -> BuildBehavior {
        BuildBehavior::CostFactor(random.uniform_in(0.88..1.12))
    }

    /// Draws a bad build; each kind is equally likely.
    pub fn draw_bad(random: &mut RandomStream) -> BuildBehavior {
        let probability = random.uniform_in(0.04..0.35);
        match random.index_below(BAD_BEHAVIOR_COUNT) {
            0 => BuildBehavior::CostFactor(random.uniform_in(1.4..3.0)),
            1 => BuildBehavior::FailsOnRoute {
                route: RouteIndex::new(random.index_below(IDEMPOTENT_ROUTE_COUNT)),
                probability,
            },
            2 => BuildBehavior::FailsOnRoute {
                route: NON_IDEMPOTENT_ROUTE,
                probability,
            },
            3 => BuildBehavior::FailsWhenBusy(probability),
            4 => BuildBehavior::FailsAfterUptime {
                uptime: random.uniform_duration(Duration::from_secs(3)..Duration::from_secs(8)),
                probability,
            },
            5 => BuildBehavior::WrongAnswers(probability),
            6 => BuildBehavior::NeverAnswers(0.4 * probability),
            7 => BuildBehavior::SlowsFleet(random.uniform_in(1.6..3.0)),
            _ => BuildBehavior::FailsOnHardware {
                hardware_class: HardwareClassIndex::new(random.index_below(HARDWARE.len())),
                probability,
            },
        }
    }
}
