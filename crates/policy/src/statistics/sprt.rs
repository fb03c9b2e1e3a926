//! The one-sided sequential probability ratio test on z statistics (SPRT-z), after "Sequential
//! Probability Ratio Test using Z-Statistics (SPRT-z): A Practical Approach for Online
//! Experimentation".

use super::Arm;

/// How rare a test's failures are, which says how much a few of them tell of their variance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rarity {
    /// Failures are common: the shares seen give the variance.
    Common,
    /// Failures are rare; a larger factor stands for rarer ones, with a lower floor of the
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
    pub fn standard_error(self, candidate: Arm, baseline: Arm) -> f64 {
        let candidate = self.candidate / candidate.outcomes;
        let baseline = self.baseline / baseline.outcomes;
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
    /// Of a Bernoulli outcome, floored: no side without failures is certain of its share.
    fn bernoulli(&self, arm: &Arm) -> f64 {
        let one_failure = 1.0 / (arm.outcomes + 3.0) / self.rarity.factor().max(1.0);
        let floor = self.floor_share.max(one_failure);
        let share = arm.share().clamp(floor, 1.0 - floor);
        share * (1.0 - share)
    }

    /// How much more the arm's endpoints differ than chance has it, at least 1: a jam hits many
    /// outcomes of one endpoint together.
    fn clustering(&self, arm: &Arm) -> f64 {
        let share = arm.share();
        let [failures_squared, product, outcomes_squared] = arm.spread;
        let squares = failures_squared - 2.0 * share * product + share * share * outcomes_squared;
        (squares / arm.outcomes.max(1.0) / self.bernoulli(arm)).max(1.0)
    }

    /// The variances of both sides. The baseline's clustering holds for a candidate of few
    /// endpoints too, and for few rare failures so does its share.
    pub fn variances(&self, candidate: Arm, baseline: Arm) -> ArmVariances {
        let weight_of_own = match self.rarity {
            Rarity::Common => 1.0,
            Rarity::Rare(factor) => {
                (candidate.outcomes * self.floor_share / factor.powi(4)).min(1.0)
            }
        };
        let like_baseline = baseline.share() * candidate.outcomes;
        let like_baseline = self.bernoulli(&Arm {
            failures: like_baseline,
            ..candidate
        });
        let with_one_more = Arm {
            failures: candidate.failures + 1.0,
            outcomes: candidate.outcomes + 2.0,
            ..candidate
        };
        let own = self.bernoulli(&with_one_more);
        let variance = weight_of_own * own + (1.0 - weight_of_own) * like_baseline;
        let clustering = self.clustering(&baseline);
        ArmVariances {
            candidate: variance * self.clustering(&candidate).max(clustering),
            baseline: self.bernoulli(&baseline) * clustering,
        }
    }
}

/// The score of the one-sided test: z times drift less half the drift squared.
///
/// The drift has the variances of the evaluation before, since it is what was expected before these
/// outcomes came.
pub fn sprt_score(
    candidate: Arm,
    baseline: Arm,
    variances: ArmVariances,
    previous_variances: ArmVariances,
    minimum_effect: f64,
) -> f64 {
    let difference = candidate.share() - baseline.share();
    let z_score = difference / variances.standard_error(candidate, baseline);
    let drift = minimum_effect / previous_variances.standard_error(candidate, baseline);
    z_score * drift - drift * drift / 2.0
}

/// Wald's bounds on the score.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaldBounds {
    /// The rate of false alarms that they stand for.
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

    /// What a score must show beyond the bound where many instances vote. Few false votes make a
    /// false rollback, which is what α is for: the share of it that falls to one instance is such
    /// that as many votes at once as are needed stay as rare. For several votes the rate at which
    /// one instance may err is taken as the square of the root of their number less an offset.
    pub fn instance_margin(self, instances: f64, votes: f64, votes_offset: f64) -> f64 {
        let rate = if votes > 1.0 {
            (votes.sqrt() - votes_offset).powi(2)
        } else {
            self.alpha
        };
        (self.alpha / rate * instances).ln().max(0.0)
    }
}
