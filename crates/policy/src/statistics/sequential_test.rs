//! One test of a candidate against a baseline: the score for a small and for a large effect.

use super::{ArmVariances, Arms, Rarity, VarianceModel, sprt_score};

/// Parameters that differ from test to test.
#[derive(Clone, Copy, Debug)]
pub struct TestParameters {
    /// The difference of the failure shares that the test looks for.
    pub minimum_effect: f64,
    /// How rare its failures are.
    pub rarity: Rarity,
    /// By how much the score must exceed the bound.
    pub evidence_margin: f64,
    /// Outcomes of the candidate without which there is no score.
    pub min_candidate_outcomes: f64,
    /// Outcomes of the baseline without which there is no score.
    pub min_baseline_outcomes: f64,
}

/// Parameters that all tests share.
#[derive(Clone, Copy, Debug)]
pub struct ScoreParameters {
    /// No variance is below that of this share of failures.
    pub floor_share: f64,
    /// A large effect is the minimum effect times this factor, …
    pub large_effect_factor: f64,
    /// … and at least this number of standard errors.
    pub large_effect_standard_errors: f64,
}

/// The scores of one test.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scores {
    /// The score for the minimum effect.
    pub minimum_effect: f64,
    /// The scores for the minimum effect and for a large one, added as likelihood ratios: a test
    /// for a small effect alone is slow to detect large ones.
    pub mixture: f64,
}

impl TestParameters {
    /// The scores, if there are enough outcomes. `previous` holds the variances of the previous
    /// evaluation and is replaced by those of this one.
    pub fn scores(
        &self,
        common: &ScoreParameters,
        arms: Arms,
        previous: &mut Option<ArmVariances>,
    ) -> Option<Scores> {
        if !self.has_enough_outcomes(arms) {
            return None;
        }
        let model = VarianceModel {
            floor_share: common.floor_share,
            rarity: self.rarity,
        };
        let current = model.variances(arms);
        let previous = previous.replace(current).unwrap_or(current);
        let score = |effect| sprt_score(arms, current, previous, effect);
        let large_effect = self.large_effect(common, previous.standard_error(arms));
        let minimum_effect = score(self.minimum_effect);
        let mixture = (minimum_effect.exp() + score(large_effect).exp()).ln();
        Some(Scores {
            minimum_effect,
            mixture,
        })
    }

    fn has_enough_outcomes(&self, arms: Arms) -> bool {
        arms.candidate.outcomes >= self.min_candidate_outcomes
            && arms.baseline.outcomes >= self.min_baseline_outcomes
    }

    fn large_effect(&self, common: &ScoreParameters, standard_error: f64) -> f64 {
        let large_effect = match self.rarity {
            Rarity::Common => self.minimum_effect,
            Rarity::Rare(_) => self.minimum_effect * common.large_effect_factor,
        };
        large_effect.max(standard_error * common.large_effect_standard_errors)
    }
}
