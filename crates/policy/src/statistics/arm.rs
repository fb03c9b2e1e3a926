//! The two arms of a comparison between builds.

/// Lower limit of a divisor that may be zero, so that the quotient stays finite.
const MIN_DIVISOR: f64 = 1e-9;

/// Outcomes and failures of one endpoint in one test.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointOutcomes {
    /// Number of outcomes. Counts decay, so it may be fractional.
    pub outcomes: f64,
    /// Number of failures among the outcomes.
    pub failures: f64,
}

/// How unevenly outcomes and failures are spread over endpoints, as sums over the endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Dispersion {
    /// Sum of the squared numbers of failures.
    pub failures_squared: f64,
    /// Sum of the products of the numbers of failures and outcomes.
    pub failures_times_outcomes: f64,
    /// Sum of the squared numbers of outcomes.
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

/// One arm of a test: outcomes and failures, summed over its endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Arm {
    /// Number of outcomes. Counts decay, so it may be fractional.
    pub outcomes: f64,
    /// Number of failures among the outcomes.
    pub failures: f64,
    /// How outcomes and failures are spread over the endpoints.
    pub dispersion: Dispersion,
}

impl Arm {
    /// Returns the share of failures among the outcomes, or 0 if there are no outcomes.
    pub fn failure_share(&self) -> f64 {
        if self.outcomes > 0.0 {
            self.failures / self.outcomes
        } else {
            0.0
        }
    }

    /// Returns how much the outcomes are concentrated on few endpoints: 1 if all come from one
    /// endpoint, and less the more evenly they are spread.
    pub fn concentration(&self) -> f64 {
        self.dispersion.outcomes_squared / self.outcomes.powi(2)
    }

    /// Adds the outcomes and failures of one endpoint.
    pub fn add(&mut self, outcomes: f64, failures: f64) {
        self.outcomes += outcomes;
        self.failures += failures;
        self.dispersion.failures_squared += failures * failures;
        self.dispersion.failures_times_outcomes += failures * outcomes;
        self.dispersion.outcomes_squared += outcomes * outcomes;
    }

    /// Adds another arm, scaled down to `max_outcomes` outcomes if it has more. All of its
    /// endpoints are scaled by the same factor.
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

    /// Sums the endpoints with the smallest shares of failures, until they have at least the given
    /// fraction of all outcomes.
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

/// Both arms of a test.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Arms {
    /// The arm of the build under evaluation.
    pub candidate: Arm,
    /// The arm with which the candidate is compared.
    pub baseline: Arm,
}
