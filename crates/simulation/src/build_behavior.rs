//! What a build does to requests, hidden from the instances that have to find it out.

use crate::random_stream::RandomStream;

/// Index of the route that must not be repeated.
pub const NON_IDEMPOTENT_ROUTE: usize = 3;

/// Below this multiple of the baseline's cost a build counts as good.
const GOOD_COST_LIMIT: f64 = 1.2;

/// The hidden behavior of a build, against a baseline that never fails by itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BuildBehavior {
    /// Each request costs so many times what it costs under the baseline; near 1, a good build.
    CostFactor(f64),
    /// Requests of one route fail.
    FailsOnRoute {
        /// Index of the route.
        route: usize,
        /// Share of its requests that fail.
        probability: f64,
    },
    /// Requests fail with this probability where the endpoint holds more of them than it has cores.
    FailsWhenBusy(f64),
    /// Requests fail once an endpoint has run for some time.
    FailsAfterUptime {
        /// Seconds from the endpoint's start.
        after_seconds: f64,
        /// Share of the requests that fail from then on.
        probability: f64,
    },
    /// Answers are wrong with this probability; only clients find that out.
    WrongAnswers(f64),
    /// Requests are never answered, with this probability.
    NeverAnswers(f64),
    /// A shared dependency slows all endpoints, up to this factor as the build's share of the fleet grows.
    SlowsFleet(f64),
    /// Requests fail on endpoints of one hardware class.
    FailsOnHardware {
        /// Index of the hardware class.
        hardware_class: usize,
        /// Share of the requests that fail there.
        probability: f64,
    },
}

impl BuildBehavior {
    /// A build as good as the baseline to the bit.
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

    /// Whether a rollback of it would be a false one.
    pub fn is_good(self) -> bool {
        matches!(self, BuildBehavior::CostFactor(factor) if factor < GOOD_COST_LIMIT)
    }

    /// Six in ten are good.
    pub fn draw(random: &mut RandomStream) -> BuildBehavior {
        if random.happens(0.6) {
            BuildBehavior::draw_good(random)
        } else {
            BuildBehavior::draw_bad(random)
        }
    }

    /// A good build: a little faster or slower than the baseline.
    pub fn draw_good(random: &mut RandomStream) -> BuildBehavior {
        BuildBehavior::CostFactor(random.between(0.88, 1.12))
    }

    /// A bad build, each way of being bad equally likely.
    pub fn draw_bad(random: &mut RandomStream) -> BuildBehavior {
        let probability = random.between(0.04, 0.35);
        match random.index_below(9) {
            0 => BuildBehavior::CostFactor(random.between(1.4, 3.0)),
            1 => BuildBehavior::FailsOnRoute {
                route: random.index_below(2),
                probability,
            },
            2 => BuildBehavior::FailsOnRoute {
                route: NON_IDEMPOTENT_ROUTE,
                probability,
            },
            3 => BuildBehavior::FailsWhenBusy(probability),
            4 => BuildBehavior::FailsAfterUptime {
                after_seconds: random.between(3.0, 8.0),
                probability,
            },
            5 => BuildBehavior::WrongAnswers(probability),
            6 => BuildBehavior::NeverAnswers(0.4 * probability),
            7 => BuildBehavior::SlowsFleet(random.between(1.6, 3.0)),
            _ => BuildBehavior::FailsOnHardware {
                hardware_class: random.index_below(2),
                probability,
            },
        }
    }
}
