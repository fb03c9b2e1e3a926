//! What a build does to requests. The instances do not know it and have to detect it.

use std::time::Duration;

use tidescale_policy::types::{HardwareClassIndex, RouteIndex};

use crate::parameters::HARDWARE;
use crate::random_stream::RandomStream;

/// The route whose requests must not be executed twice.
pub const NON_IDEMPOTENT_ROUTE: RouteIndex = RouteIndex::new(3);

/// Number of idempotent routes, which come first.
const IDEMPOTENT_ROUTES: usize = 2;
/// A build whose cost is below this multiple of the baseline's counts as good.
const GOOD_COST_LIMIT: f64 = 1.2;
/// Share of good builds among drawn ones.
const GOOD_SHARE: f64 = 0.6;
/// Number of ways in which a drawn build may be bad.
const BAD_BEHAVIORS: usize = 9;

/// The behavior of a build, relative to a baseline that never fails by itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BuildBehavior {
    /// The cost of each request is multiplied by this factor; near 1, the build is good.
    CostFactor(f64),
    /// Requests of one route fail.
    FailsOnRoute {
        /// The route.
        route: RouteIndex,
        /// Share of its requests that fail.
        probability: f64,
    },
    /// Requests fail with this probability while the endpoint has more of them than cores.
    FailsWhenBusy(f64),
    /// Requests fail once an endpoint has run for some time.
    FailsAfterUptime {
        /// Time since the endpoint's start.
        uptime: Duration,
        /// Share of the requests that fail from then on.
        probability: f64,
    },
    /// Answers are wrong with this probability; only clients notice.
    WrongAnswers(f64),
    /// Requests get no answer with this probability.
    NeverAnswers(f64),
    /// A shared dependency slows all endpoints, up to this factor as the build's share of the fleet
    /// grows.
    SlowsFleet(f64),
    /// Requests fail on endpoints of one hardware class.
    FailsOnHardware {
        /// The hardware class.
        hardware_class: HardwareClassIndex,
        /// Share of the requests that fail there.
        probability: f64,
    },
}

impl BuildBehavior {
    /// A build that behaves exactly like the baseline.
    pub const SAME_AS_BASELINE: BuildBehavior = BuildBehavior::CostFactor(1.0);

    /// Its name in tables.
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

    /// Whether it would be wrong to roll the build back.
    pub fn is_good(self) -> bool {
        matches!(self, BuildBehavior::CostFactor(factor) if factor < GOOD_COST_LIMIT)
    }

    /// A build that is good with probability 0.6.
    pub fn draw(random: &mut RandomStream) -> BuildBehavior {
        if random.bernoulli(GOOD_SHARE) {
            BuildBehavior::draw_good(random)
        } else {
            BuildBehavior::draw_bad(random)
        }
    }

    /// A good build: a little faster or slower than the baseline.
    pub fn draw_good(random: &mut RandomStream) -> BuildBehavior {
        BuildBehavior::CostFactor(random.uniform_in(0.88..1.12))
    }

    /// A bad build; each way of being bad is equally likely.
    pub fn draw_bad(random: &mut RandomStream) -> BuildBehavior {
        let probability = random.uniform_in(0.04..0.35);
        match random.index_below(BAD_BEHAVIORS) {
            0 => BuildBehavior::CostFactor(random.uniform_in(1.4..3.0)),
            1 => BuildBehavior::FailsOnRoute {
                route: RouteIndex::new(random.index_below(IDEMPOTENT_ROUTES)),
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
