//! The one-sided sequential probability ratio test on z statistics (SPRT-z), after "Sequential
//! Probability Ratio Test using Z-Statistics (SPRT-z): A Practical Approach for Online
//! Experimentation".

use super::{Arm, Arms};

/// How frequent a test's failures are. This determines how the variance is estimated from few
/// failures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FailureFrequency {
    /// Failures are common, and the variance is estimated from the observed share.
    Common,
    /// Failures are rare. A larger factor means rarer failures, and lowers the floor of the
    /// variance.
    Rare(f64),
}

impl FailureFrequency {
    fn rarity_factor(self) -> f64 {
        match self {
            FailureFrequency::Common => 0.0,
            FailureFrequency::Rare(factor) => factor,
        }
    }
}

/// The variances of a single outcome in both arms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ArmVariances {
    /// Variance of an outcome of the build under evaluation.
    pub candidate: f64,
    /// Variance of an outcome of the baseline.
    pub baseline: f64,
}

impl ArmVariances {
    /// Returns the standard error of the difference between the failure shares of the two arms.
    pub fn standard_error(self, arms: Arms) -> f64 {
        let candidate = self.candidate / arms.candidate.outcomes;
        let baseline = self.baseline / arms.baseline.outcomes;
        (candidate + baseline).sqrt()
    }
}

/// Parameters with which variances are estimated from failure shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VarianceModel {
    /// Variances are not estimated below the variance of this share of failures.
    pub floor_share: f64,
    /// How frequent failures are.
    pub failure_frequency: FailureFrequency,
}

impl VarianceModel {
    /// Returns the variance of a Bernoulli outcome. It has a floor, because an arm may have no
    /// failures merely by sampling error.
    fn bernoulli_variance(&self, arm: &Arm) -> f64 {
        let one_failure =
            1.0 / (arm.outcomes + 3.0) / self.failure_frequency.rarity_factor().max(1.0);
        let floor = self.floor_share.max(one_failure);
        let share = arm.failure_share().clamp(floor, 1.0 - floor);
        share * (1.0 - share)
    }

    /// Returns the design effect: the factor, at least 1, by which the arm's endpoints differ more
    /// than sampling error explains. An overload, for example, affects many outcomes of one
    /// endpoint.
    fn design_effect(&self, arm: &Arm) -> f64 {
        let share = arm.failure_share();
        let dispersion = arm.dispersion;
        let residual_squares = dispersion.failures_squared
            - 2.0 * share * dispersion.failures_times_outcomes
            + share * share * dispersion.outcomes_squared;
        (residual_squares / arm.outcomes.max(1.0) / self.bernoulli_variance(arm)).max(1.0)
    }

    /// Estimates the variances of both arms.
    ///
    /// The candidate's design effect is taken to be at least the baseline's, because it cannot be
    /// estimated from few endpoints. If failures are rare, the variance of a candidate with few
    /// outcomes is mostly that of the baseline's failure share; the weight of the candidate's own
    /// share grows with its outcomes.
    pub fn variances(&self, arms: Arms) -> ArmVariances {
        let Arms {
            candidate,
            baseline,
        } = arms;
        let own_weight = match self.failure_frequency {
            FailureFrequency::Common => 1.0,
            FailureFrequency::Rare(factor) => {
                (candidate.outcomes * self.floor_share / factor.powi(4)).min(1.0)
            }
        };
        let expected_failures = baseline.failure_share() * candidate.outcomes;
        let at_baseline_share = self.bernoulli_variance(&Arm {
            failures: expected_failures,
            ..candidate
        });
        // Laplace's rule of succession: one additional failure and one additional success.
        let smoothed = Arm {
            failures: candidate.failures + 1.0,
            outcomes: candidate.outcomes + 2.0,
            ..candidate
        };
        let at_own_share = self.bernoulli_variance(&smoothed);
        let variance = own_weight * at_own_share + (1.0 - own_weight) * at_baseline_share;
        let baseline_effect = self.design_effect(&baseline);
        ArmVariances {
            candidate: variance * self.design_effect(&candidate).max(baseline_effect),
            baseline: self.bernoulli_variance(&baseline) * baseline_effect,
        }
    }
}

/// Returns the score of the one-sided test: the z score times the drift, minus half the squared
/// drift.
///
/// The drift is the z score that the minimum effect was expected to give before the latest outcomes
/// were known. It is therefore computed with the variances of the previous evaluation.
pub fn sprt_score(
    arms: Arms,
    variances: ArmVariances,
    previous_variances: ArmVariances,
    minimum_effect: f64,
) -> f64 {
    let difference = arms.candidate.failure_share() - arms.baseline.failure_share();
    let z_score = difference / variances.standard_error(arms);
    let drift = minimum_effect / previous_variances.standard_error(arms);
    z_score * drift - drift * drift / 2.0
}

/// Wald's bounds on the score of a sequential test.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaldBounds {
    /// The false-positive rate for which the bounds are computed.
    pub alpha: f64,
    /// At or below this score, the candidate is accepted as no worse than the baseline.
    pub lower: f64,
    /// At or above this score, the candidate is rejected as worse than the baseline.
    pub upper: f64,
}

impl WaldBounds {
    /// Computes the bounds for a false-positive rate `alpha` and a false-negative rate `beta`.
    pub fn new(alpha: f64, beta: f64) -> WaldBounds {
        WaldBounds {
            alpha,
            lower: (beta / (1.0 - alpha)).ln(),
            upper: ((1.0 - beta) / alpha).ln(),
        }
    }

    /// Returns the margin by which a score must exceed the upper bound if many instances vote.
    ///
    /// `alpha` limits the rate of false rollbacks, and a rollback needs `votes` simultaneous votes.
    /// The margin lowers the false-positive rate of each instance so that this many simultaneous
    /// false votes are no more frequent than `alpha`. The false votes that all instances together
    /// may cast, on average, are `alpha` if one vote is needed. If several are needed, their number
    /// is approximated by the square of the difference between the square root of `votes` and
    /// `sqrt_votes_offset`.
    pub fn instance_margin(self, instances: f64, votes: f64, sqrt_votes_offset: f64) -> f64 {
        let tolerable_false_votes = if votes > 1.0 {
            (votes.sqrt() - sqrt_votes_offset).powi(2)
        } else {
            self.alpha
        };
        (self.alpha / tolerable_false_votes * instances)
            .ln()
            .max(0.0)
    }
}
