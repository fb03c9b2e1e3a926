//! One side of a comparison between two builds.

/// Outcomes and failures of one endpoint in one test.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointShare {
    /// All outcomes.
    pub outcomes: f64,
    /// Failures among them.
    pub failures: f64,
}

/// One side of a test, summed over its endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Arm {
    /// All outcomes.
    pub outcomes: f64,
    /// Failures among them.
    pub failures: f64,
    /// Sums over its endpoints: failures squared, failures times outcomes, outcomes squared.
    pub spread: [f64; 3],
}

impl Arm {
    /// The share of failures; 0 without outcomes.
    pub fn share(&self) -> f64 {
        if self.outcomes > 0.0 {
            self.failures / self.outcomes
        } else {
            0.0
        }
    }

    /// 1 where one endpoint gave all outcomes, and the less the more evenly they are spread.
    pub fn concentration(&self) -> f64 {
        let [_, _, outcomes_squared] = self.spread;
        outcomes_squared / self.outcomes.powi(2)
    }

    /// Adds one endpoint.
    pub fn add(&mut self, outcomes: f64, failures: f64) {
        self.outcomes += outcomes;
        self.failures += failures;
        self.spread[0] += failures * failures;
        self.spread[1] += failures * outcomes;
        self.spread[2] += outcomes * outcomes;
    }

    /// Adds this fraction of another arm's outcomes.
    pub fn add_fraction(&mut self, other: Arm, fraction: f64) {
        self.outcomes += fraction * other.outcomes;
        self.failures += fraction * other.failures;
        for (sum, value) in self.spread.iter_mut().zip(other.spread) {
            *sum += fraction * fraction * value;
        }
    }

    /// The endpoints with the smallest shares of failures, up to this fraction of all outcomes.
    pub fn of_best(mut endpoints: Vec<EndpointShare>, fraction: f64) -> Arm {
        let share = |endpoint: &EndpointShare| endpoint.failures / endpoint.outcomes.max(1e-9);
        endpoints.sort_by(|a, b| share(a).total_cmp(&share(b)));
        let limit = fraction
            * endpoints
                .iter()
                .map(|endpoint| endpoint.outcomes)
                .sum::<f64>();
        let mut arm = Arm::default();
        for endpoint in endpoints {
            if arm.outcomes < limit {
                arm.add(endpoint.outcomes, endpoint.failures);
            }
        }
        arm
    }
}
