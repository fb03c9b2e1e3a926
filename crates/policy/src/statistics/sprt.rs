//! The one-sided sequential probability ratio test on z statistics (SPRT-z), after "Sequential
//! Probability Ratio Test using Z-Statistics (SPRT-z): A Practical Approach for Online
//! Experimentation".

use super::{Arm, Arms};

/// How rare a test's failures are, which decides how the variance is estimated from few of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rarity {
    /// Failures are common: the variance follows from the observed share.
    Common,
    /// Failures are rare; a larger factor stands for rarer failures and gives a lower floor of the
    /// variance.
    Rare(f64),
}

impl Rarity {
    fn factor(self) -> f64 {
        match self {
            Rarity::Common => 0.0,
            Rarity::Rare(factor) => factor,
        }
    }
}

/// The variances of one outcome on both sides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ArmVariances {
    /// Of the build under evaluation.
    pub candidate: f64,
    /// Of what it is compared with.
    pub baseline: f64,
}

impl ArmVariances {
    /// Standard error of the difference of the shares.
    pub fn standard_error(self, arms: Arms) -> f64 {
        let candidate = self.candidate / arms.candidate.outcomes;
        let baseline = self.baseline / arms.baseline.outcomes;
        (candidate + baseline).sqrt()
    }
}

/// How variances are estimated from shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VarianceModel {
    /// No variance is below that of this share.
    pub floor_share: f64,
    /// How rare failures are.
    pub rarity: Rarity,
}

impl VarianceModel {
    /// Variance of a Bernoulli outcome, with a floor: an arm without failures may have had none
    /// only by sampling error.
    fn bernoulli_variance(&self, arm: &Arm) -> f64 {
        let one_failure = 1.0 / (arm.outcomes + 3.0) / self.rarity.factor().max(1.0);
        let floor = self.floor_share.max(one_failure);
        let share = arm.failure_share().clamp(floor, 1.0 - floor);
        share * (1.0 - share)
    }

    /// The design effect: how much more the arm's endpoints differ than sampling error explains, at
    /// least 1. An overload hits many outcomes of one endpoint together.
    fn design_effect(&self, arm: &Arm) -> f64 {
        let share = arm.failure_share();
        let dispersion = arm.dispersion;
        let residual_squares = dispersion.failures_squared
            - 2.0 * share * dispersion.failures_times_outcomes
            + share * share * dispersion.outcomes_squared;
        (residual_squares / arm.outcomes.max(1.0) / self.bernoulli_variance(arm)).max(1.0)
    }

    /// The variances of both sides. The candidate's design effect is at least the baseline's, since
    /// few endpoints do not show their own; where few rare failures have been seen, the baseline's
    /// share of failures stands in for the candidate's.
    pub fn variances(&self, arms: Arms) -> ArmVariances {
        let Arms {
            candidate,
            baseline,
        } = arms;
        let own_weight = match self.rarity {
            Rarity::Common => 1.0,
            Rarity::Rare(factor) => {
                (candidate.outcomes * self.floor_share / factor.powi(4)).min(1.0)
            }
        };
        let expected_failures = baseline.failure_share() * candidate.outcomes;
        let at_baseline_share = self.bernoulli_variance(&Arm {
            failures: expected_failures,
            ..candidate
        });
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

/// The score of the one-sided test: z times drift less half the drift squared.
///
/// The drift is computed with the variances of the previous evaluation, since it is the z score
/// that was expected before the latest outcomes.
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

/// Wald's bounds on the score.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaldBounds {
    /// The rate of false alarms for which they are chosen.
    pub alpha: f64,
    /// At or below, the build is as good as the baseline.
    pub lower: f64,
    /// At or above, it is worse.
    pub upper: f64,
}

impl WaldBounds {
    /// For a rate `alpha` of false alarms and a rate `beta` of misses.
    pub fn new(alpha: f64, beta: f64) -> WaldBounds {
        WaldBounds {
            alpha,
            lower: (beta / (1.0 - alpha)).ln(),
            upper: ((1.0 - beta) / alpha).ln(),
        }
    }

    /// By how much a score must exceed the bound where many instances vote.
    ///
    /// α bounds the rate of false rollbacks, and a rollback needs `votes` simultaneous votes. The
    /// margin gives each instance such a share of α that this many false votes together stay as
    /// rare as α asks for. For several votes, the rate at which one instance may err is
    /// approximated by the square of the root of their number less `sqrt_votes_offset`.
    pub fn instance_margin(self, instances: f64, votes: f64, sqrt_votes_offset: f64) -> f64 {
        let rate = if votes > 1.0 {
            (votes.sqrt() - sqrt_votes_offset).powi(2)
        } else {
            self.alpha
        };
        (self.alpha / rate * instances).ln().max(0.0)
    }
}
