//! Tests of the arithmetic behind the sequential probability ratio test.

use tidescale_policy::statistics::{
    Arm, ArmVariances, Arms, EndpointOutcomes, FailureFrequency, VarianceModel, WaldBounds,
    sprt_score,
};

/// Returns Wald's bounds for a false alarm rate of 5 % and a miss rate of 20 %.
fn design_bounds() -> WaldBounds {
    WaldBounds::new(0.05, 0.20)
}

/// A sequential test of rare failures, with the variances of the previous evaluation.
struct FailureTest {
    arms: Arms,
    previous_variances: ArmVariances,
    minimum_effect: f64,
}

impl FailureTest {
    fn score(&self) -> f64 {
        let model = VarianceModel {
            floor_share: 0.01,
            failure_frequency: FailureFrequency::Rare(1.0),
        };
        let variances = model.variances(self.arms);
        sprt_score(
            self.arms,
            variances,
            self.previous_variances,
            self.minimum_effect,
        )
    }
}

#[test]
fn wald_bounds_follow_from_the_design_rates() {
    let WaldBounds { lower, upper, .. } = design_bounds();

    assert!((lower - (0.2f64 / 0.95).ln()).abs() < 1e-12);
    assert!((upper - 16f64.ln()).abs() < 1e-12);
}

/// A sequential test and its expected score, computed by hand from the formulas of the SPRT-z
/// paper.
struct ScoreCase {
    candidate_failures: f64,
    baseline_failures: f64,
    /// Variance of the candidate in the previous evaluation; that of the baseline was the floor.
    previous_variance: f64,
    minimum_effect: f64,
    score: f64,
}

/// The variance at a failure share of 0.01, the lowest that the variance model assumes.
const VARIANCE_FLOOR: f64 = 0.0099;

impl ScoreCase {
    /// Returns a sequential test with 100 outcomes in each arm and no data on their dispersion over
    /// endpoints.
    fn test(&self) -> FailureTest {
        let arm = |failures| Arm {
            outcomes: 100.0,
            failures,
            ..Arm::default()
        };
        FailureTest {
            arms: Arms {
                candidate: arm(self.candidate_failures),
                baseline: arm(self.baseline_failures),
            },
            previous_variances: ArmVariances {
                candidate: self.previous_variance,
                baseline: VARIANCE_FLOOR,
            },
            minimum_effect: self.minimum_effect,
        }
    }
}

#[test]
fn score_equals_the_values_computed_from_the_paper() {
    let cases = [
        ScoreCase {
            candidate_failures: 10.0,
            baseline_failures: 1.0,
            previous_variance: 0.09,
            minimum_effect: 0.03,
            score: 2.171_936,
        },
        // No observed difference and both variances at the floor: the score is minus half the
        // squared drift.
        ScoreCase {
            candidate_failures: 0.0,
            baseline_failures: 0.0,
            previous_variance: VARIANCE_FLOOR,
            minimum_effect: 0.03,
            score: -0.03f64.powi(2) / (2.0 * 0.000_198),
        },
        // z = 0.1 / sqrt(0.000962 + 0.000099), where the candidate's variance is estimated with one
        // failure and two outcomes added; drift = 0.05 / sqrt(0.0004 + 0.000099).
        ScoreCase {
            candidate_failures: 10.0,
            baseline_failures: 0.0,
            previous_variance: 0.04,
            minimum_effect: 0.05,
            score: 4.366_235,
        },
    ];
    for case in cases {
        let score = case.test().score();

        assert!(
            (score - case.score).abs() < 1e-4,
            "score is {score}, expected {}",
            case.score
        );
    }
}

/// Returns an arm of four endpoints with 50 outcomes each.
fn arm_of_endpoints(failures: [f64; 4]) -> Arm {
    let mut arm = Arm::default();
    for failures_of_endpoint in failures {
        arm.add(50.0, failures_of_endpoint);
    }
    arm
}

#[test]
fn failures_of_a_single_endpoint_are_no_evidence_against_its_build() {
    let score = |candidate| {
        let test = FailureTest {
            arms: Arms {
                candidate,
                baseline: arm_of_endpoints([1.0; 4]),
            },
            previous_variances: ArmVariances {
                candidate: 0.0599,
                baseline: 0.0196,
            },
            minimum_effect: 0.03,
        };
        test.score()
    };

    // Both candidates have the same share of failures.
    let on_all_endpoints = score(arm_of_endpoints([8.0; 4]));
    let on_one_endpoint = score(arm_of_endpoints([0.0, 0.0, 0.0, 32.0]));

    let upper = design_bounds().upper;
    assert!(
        on_all_endpoints > upper,
        "failures spread evenly over all endpoints score {on_all_endpoints}"
    );
    assert!(
        on_one_endpoint < upper,
        "failures of one endpoint score {on_one_endpoint}"
    );
}

/// Endpoints, and the expected outcomes and failures of those with the lowest failure shares.
struct BestEndpointsCase {
    name: &'static str,
    endpoints: Vec<EndpointOutcomes>,
    outcomes: f64,
    failures: f64,
}

/// Returns endpoints with 20 outcomes each.
fn endpoints_with_failures(failures: &[f64]) -> Vec<EndpointOutcomes> {
    let endpoint = |failures: &f64| EndpointOutcomes {
        outcomes: 20.0,
        failures: *failures,
    };
    failures.iter().map(endpoint).collect()
}

/// Returns sixty endpoints, in equal numbers with no outcomes, with one success, and with one
/// success and one failure.
fn endpoints_with_few_outcomes() -> Vec<EndpointOutcomes> {
    let endpoint = |index: u32| EndpointOutcomes {
        outcomes: f64::from(index % 3),
        failures: f64::from(index % 3 / 2),
    };
    (0..60).map(endpoint).collect()
}

#[test]
fn fleet_slowdown_is_measured_at_its_faster_endpoints() {
    let cases = [
        BestEndpointsCase {
            name: "two of six endpoints are slow and left out",
            endpoints: endpoints_with_failures(&[16.0, 1.0, 15.0, 0.0, 1.0, 1.0]),
            outcomes: 80.0,
            failures: 3.0,
        },
        BestEndpointsCase {
            name: "all endpoints are slow",
            endpoints: endpoints_with_failures(&[8.0; 6]),
            outcomes: 80.0,
            failures: 32.0,
        },
        BestEndpointsCase {
            name: "endpoints without outcomes rank first and do not change the sums",
            endpoints: endpoints_with_few_outcomes(),
            outcomes: 40.0,
            failures: 10.0,
        },
        BestEndpointsCase {
            name: "no endpoints",
            endpoints: Vec::new(),
            outcomes: 0.0,
            failures: 0.0,
        },
    ];
    for case in cases {
        let arm = Arm::from_best_endpoints(case.endpoints, 0.66);

        assert_eq!(arm.outcomes, case.outcomes, "{}", case.name);
        assert_eq!(arm.failures, case.failures, "{}", case.name);
    }
}
