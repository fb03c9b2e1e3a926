//! One test of a candidate against a baseline: the score for a small and, where failures are rare,
//! for a large effect.

use super::{Arm, ArmVariances, Rarity, VarianceModel, sprt_score};

/// Both sides of a test.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Arms {
    /// The build under evaluation.
    pub candidate: Arm,
    /// What it is compared with.
    pub baseline: Arm,
}

/// What differs from test to test.
#[derive(Clone, Copy, Debug)]
pub struct TestParameters {
    /// The difference of the failure shares that the test looks for.
    pub minimum_effect: f64,
    /// How rare its failures are.
    pub rarity: Rarity,
    /// What evidence must show beyond the bounds.
    pub evidence_margin: f64,
    /// Outcomes of the candidate that it needs.
    pub min_candidate_outcomes: f64,
    /// Outcomes of the baseline that it needs.
    pub min_baseline_outcomes: f64,
}

/// What all tests share.
#[derive(Clone, Copy, Debug)]
pub struct ScoreParameters {
    /// No variance is below that of this share of failures.
    pub floor_share: f64,
    /// A large effect is so many times as large as the minimum effect, …
    pub large_effect_factor: f64,
    /// … and at least so many standard errors.
    pub large_effect_errors: f64,
}

/// What a test came to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scores {
    /// The score for the minimum effect.
    pub minimum_effect: f64,
    /// Half the weight lies on the minimum effect and half on a large one: a small one is slow to
    /// see large ones.
    pub mixture: f64,
}

impl TestParameters {
    /// The scores, if there are outcomes enough; `previous` holds the variances of the evaluation
    /// before.
    pub fn scores(
        &self,
        common: &ScoreParameters,
        arms: Arms,
        previous: &mut Option<ArmVariances>,
    ) -> Option<Scores> {
        let Arms {
            candidate,
            baseline,
        } = arms;
        let has_candidate = candidate.outcomes >= self.min_candidate_outcomes;
        let has_baseline = baseline.outcomes >= self.min_baseline_outcomes;
        if !has_candidate || !has_baseline {
            return None;
        }
        let model = VarianceModel {
            floor_share: common.floor_share,
            rarity: self.rarity,
        };
        let present = model.variances(candidate, baseline);
        let previous = previous.replace(present).unwrap_or(present);
        let score = |effect| sprt_score(candidate, baseline, present, previous, effect);
        let large_effect = match self.rarity {
            Rarity::Common => self.minimum_effect,
            Rarity::Rare(_) => self.minimum_effect * common.large_effect_factor,
        };
        let standard_error = previous.standard_error(candidate, baseline);
        let large_effect = large_effect.max(standard_error * common.large_effect_errors);
        let minimum_effect = score(self.minimum_effect);
        let mixture = (minimum_effect.exp() + score(large_effect).exp()).ln();
        Some(Scores {
            minimum_effect,
            mixture,
        })
    }
}
