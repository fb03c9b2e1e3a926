//! The two sides of a comparison between builds.

/// Keeps a division by a count that may be zero finite.
const MIN_DIVISOR: f64 = 1e-9;

/// Outcomes and failures of one endpoint in one test.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointOutcomes {
    /// All outcomes.
    pub outcomes: f64,
    /// Failures among them.
    pub failures: f64,
}

/// How unevenly outcomes and failures are spread over endpoints, as sums over these.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Dispersion {
    /// Squares of the failures.
    pub failures_squared: f64,
    /// Failures times outcomes.
    pub failures_times_outcomes: f64,
    /// Squares of the outcomes.
    pub outcomes_squared: f64,
}

impl From<[f64; 3]> for Dispersion {
    fn from(sums: [f64; 3]) -> Dispersion {
        let [failures_squared, failures_times_outcomes, outcomes_squared] = sums;
        Dispersion {
            failures_squared,
            failures_times_outcomes,
            outcomes_squared,
        }
    }
}

impl From<Dispersion> for [f64; 3] {
    fn from(dispersion: Dispersion) -> [f64; 3] {
        [
            dispersion.failures_squared,
            dispersion.failures_times_outcomes,
            dispersion.outcomes_squared,
        ]
    }
}

/// One side of a test, summed over its endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Arm {
    /// All outcomes.
    pub outcomes: f64,
    /// Failures among them.
    pub failures: f64,
    /// How they are spread over the endpoints.
    pub dispersion: Dispersion,
}

impl Arm {
    /// The share of failures; 0 without outcomes.
    pub fn failure_share(&self) -> f64 {
        if self.outcomes > 0.0 {
            self.failures / self.outcomes
        } else {
            0.0
        }
    }

    /// 1 where one endpoint gave all outcomes, and less the more evenly they are spread.
    pub fn concentration(&self) -> f64 {
        self.dispersion.outcomes_squared / self.outcomes.powi(2)
    }

    /// Adds one endpoint.
    pub fn add(&mut self, outcomes: f64, failures: f64) {
        self.outcomes += outcomes;
        self.failures += failures;
        self.dispersion.failures_squared += failures * failures;
        self.dispersion.failures_times_outcomes += failures * outcomes;
        self.dispersion.outcomes_squared += outcomes * outcomes;
    }

    /// Adds another arm's outcomes, but at most `max_outcomes` of them: if there are more, the same
    /// fraction of each endpoint's.
    pub fn add_limited(&mut self, other: Arm, max_outcomes: f64) {
        let fraction = (max_outcomes / other.outcomes.max(MIN_DIVISOR)).min(1.0);
        let squared = fraction * fraction;
        self.outcomes += fraction * other.outcomes;
        self.failures += fraction * other.failures;
        self.dispersion.failures_squared += squared * other.dispersion.failures_squared;
        self.dispersion.failures_times_outcomes +=
            squared * other.dispersion.failures_times_outcomes;
        self.dispersion.outcomes_squared += squared * other.dispersion.outcomes_squared;
    }

    /// The endpoints with the smallest shares of failures, up to this fraction of all outcomes.
    pub fn from_best_endpoints(mut endpoints: Vec<EndpointOutcomes>, fraction: f64) -> Arm {
        let share =
            |endpoint: &EndpointOutcomes| endpoint.failures / endpoint.outcomes.max(MIN_DIVISOR);
        endpoints.sort_by(|a, b| share(a).total_cmp(&share(b)));
        let outcomes = endpoints.iter().map(|endpoint| endpoint.outcomes);
        let limit = fraction * outcomes.sum::<f64>();
        let mut arm = Arm::default();
        for endpoint in endpoints {
            if arm.outcomes < limit {
                arm.add(endpoint.outcomes, endpoint.failures);
            }
        }
        arm
    }
}

/// Both sides of a test.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Arms {
    /// The build under evaluation.
    pub candidate: Arm,
    /// What it is compared with.
    pub baseline: Arm,
}
