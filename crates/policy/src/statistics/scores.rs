//! Scores of a sequential test of a candidate against a baseline, for a small and a large effect.

use super::{ArmVariances, Arms, FailureFrequency, VarianceModel, sprt_score};

/// Parameters that differ between the tests.
#[derive(Clone, Copy, Debug)]
pub struct TestParameters {
    /// The smallest difference of the failure shares that the test is meant to detect.
    pub minimum_effect: f64,
    /// How frequent failures are in this test.
    pub failure_frequency: FailureFrequency,
    /// The margin by which the score must exceed the upper bound if the outcomes come from many
    /// endpoints.
    pub evidence_margin: f64,
    /// The number of outcomes of the candidate below which no score is computed.
    pub min_candidate_outcomes: f64,
    /// The number of outcomes of the baseline below which no score is computed.
    pub min_baseline_outcomes: f64,
}

/// Parameters that all tests share.
#[derive(Clone, Copy, Debug)]
pub struct ScoreParameters {
    /// Variances are not estimated below the variance of this share of failures.
    pub floor_share: f64,
    /// In a test with rare failures, the large effect is the minimum effect times this factor.
    pub large_effect_factor: f64,
    /// The large effect is at least this number of standard errors.
    pub large_effect_standard_errors: f64,
}

/// The scores of one test.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scores {
    /// The score for the minimum effect.
    pub minimum_effect: f64,
    /// The logarithm of the sum of the likelihood ratios for the minimum effect and for a large
    /// effect, because a test for a small effect alone is slow to detect large ones.
    pub mixture: f64,
}

impl TestParameters {
    /// Returns the scores if both arms have enough outcomes. `previous` holds the variances of the
    /// previous evaluation, and is replaced with those of this one.
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
            failure_frequency: self.failure_frequency,
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
        let large_effect = match self.failure_frequency {
            FailureFrequency::Common => self.minimum_effect,
            FailureFrequency::Rare(_) => self.minimum_effect * common.large_effect_factor,
        };
        large_effect.max(standard_error * common.large_effect_standard_errors)
    }
}
