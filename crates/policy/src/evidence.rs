//! Evidence on builds: outcomes by build and endpoint, and the two sides of each test made of them.
//!
//! Owns the counts of outcomes, what was found by them, and the fleet as it was before the rollout.
//! What counts as a failure, and what follows from evidence, is decided in `decisions`, which also
//! passes in all tuned values.

use std::collections::BTreeMap;

use crate::endpoints::Endpoints;
use crate::statistics::{Arm, ArmVariances, Arms, CountKey, EndpointShare, OutcomeCounts};
use crate::types::{EvidenceTest, Timestamp};

/// Number of tests.
pub(crate) const TESTS: usize = EvidenceTest::ALL.len();
const FLEET_TEST: usize = EvidenceTest::FleetSlowdown.index();

/// How evidence is gathered.
#[derive(Clone, Copy, Debug)]
pub struct EvidenceParameters {
    /// Decay times by test, in microseconds.
    pub decay_times: [f64; TESTS],
    /// Of the fleet's endpoints, those with the smallest shares of slow answers count, up to this
    /// share of answers.
    pub fleet_share: f64,
    /// Outcomes from before a restart count up to these, for the candidate and for the baseline.
    pub max_restored: [f64; 2],
    /// Outcomes that stand in where a baseline has few of its own.
    pub prior_outcomes: f64,
    /// Failures among them.
    pub prior_failures: f64,
    /// Slow and quick answers that make a new fleet baseline; with less the earlier one still
    /// counts.
    pub min_fleet_outcomes: f64,
}

/// A build that was rejected before a restart, and until when that holds it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RestoredRejection {
    /// The build.
    pub build: u32,
    /// When that is forgotten.
    pub until: Timestamp,
}

/// How slow the fleet was before the rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBaseline {
    /// Slow answers and all answers.
    pub arm: Arm,
    /// When it was taken.
    pub taken_at: Timestamp,
    /// Endpoints in service then.
    pub endpoints: usize,
    /// Attempts a second that this instance sent then.
    pub attempts_per_second: f64,
}

/// Outcomes, and what was found by them.
#[derive(Clone, Debug)]
pub struct EvaluationState {
    /// Outcomes by build and endpoint.
    pub counts: BTreeMap<CountKey, OutcomeCounts>,
    /// The same from before this instance's start.
    pub restored_counts: BTreeMap<CountKey, OutcomeCounts>,
    /// A build that was rejected before this instance's start.
    pub restored_rejection: Option<RestoredRejection>,
    /// Variances of the evaluation before, by test.
    pub previous_variances: [Option<ArmVariances>; TESTS],
    /// The fleet before the rollout.
    pub fleet_baseline: FleetBaseline,
    /// A build under evaluation or being rolled back was seen since this instance's start.
    pub rollout_seen: bool,
    /// The build that was found bad.
    pub rejected_build: Option<u32>,
    /// When it was found.
    pub rejected_at: Timestamp,
    /// Build and stage whose hold has been released.
    pub released_hold: Option<(u32, u32)>,
    /// A score is above zero.
    pub score_is_positive: bool,
    parameters: EvidenceParameters,
}

impl EvaluationState {
    /// No outcomes yet.
    pub fn new(parameters: EvidenceParameters) -> Self {
        EvaluationState {
            counts: BTreeMap::new(),
            restored_counts: BTreeMap::new(),
            restored_rejection: None,
            previous_variances: [None; TESTS],
            fleet_baseline: FleetBaseline {
                arm: Arm::default(),
                taken_at: Timestamp::ZERO,
                endpoints: 0,
                attempts_per_second: f64::INFINITY,
            },
            rollout_seen: false,
            rejected_build: None,
            rejected_at: Timestamp::ZERO,
            released_hold: None,
            score_is_positive: false,
            parameters,
        }
    }

    /// A snapshot says that the build was rejected, and not too long ago.
    pub fn was_rejected_before_restart(&self, build: u32, now: Timestamp) -> bool {
        let rejection = self.restored_rejection;
        rejection.is_some_and(|known| known.build == build && now < known.until)
    }

    /// Adds one outcome to each test that it tells something for: whether it is a failure there.
    pub fn record(&mut self, key: CountKey, is_failure: [Option<bool>; TESTS], now: Timestamp) {
        let counts = self.counts.entry(key).or_default();
        counts.add(is_failure, now, self.parameters.decay_times);
    }

    /// Adds a failure to one test whose outcome has been counted before.
    pub fn record_late_failure(&mut self, key: CountKey, test: EvidenceTest, now: Timestamp) {
        let counts = self.counts.entry(key).or_default();
        counts.decay(now, self.parameters.decay_times);
        counts.failures[test.index()] += 1.0;
    }

    /// Brings the counts of one build and endpoint up to date and returns their sum, restored ones
    /// included.
    pub fn total(&mut self, key: CountKey, now: Timestamp) -> OutcomeCounts {
        let mut total = OutcomeCounts::default();
        for counts in [&mut self.counts, &mut self.restored_counts] {
            let Some(counts) = counts.get_mut(&key) else {
                continue;
            };
            counts.decay(now, self.parameters.decay_times);
            for test in 0..TESTS {
                total.outcomes[test] += counts.outcomes[test];
                total.failures[test] += counts.failures[test];
            }
        }
        total
    }

    /// Drops counts of which next to nothing is left.
    pub fn forget_expired(&mut self, now: Timestamp) {
        let decay_times = self.parameters.decay_times;
        for counts in [&mut self.counts, &mut self.restored_counts] {
            counts.retain(|_, counts| {
                counts.decay(now, decay_times);
                !counts.is_negligible()
            });
        }
    }

    /// Whether there are counts of this endpoint.
    pub fn refers_to(&self, endpoint: usize) -> bool {
        let mut keys = self.counts.keys().chain(self.restored_counts.keys());
        keys.any(|key| key.endpoint == endpoint)
    }

    /// The slowness of the fleet's best endpoints; it is counted anew from now on.
    pub fn take_fleet_arm(&mut self, now: Timestamp) -> Arm {
        let mut shares = Vec::new();
        for counts in self.counts.values_mut() {
            counts.decay(now, self.parameters.decay_times);
            let outcomes = std::mem::take(&mut counts.outcomes[FLEET_TEST]);
            let failures = std::mem::take(&mut counts.failures[FLEET_TEST]);
            shares.push(EndpointShare { outcomes, failures });
        }
        Arm::of_best(shares, self.parameters.fleet_share)
    }

    /// A newer build is offered: the fleet as it is now is what it will be compared with.
    pub fn begin(&mut self, endpoints: usize, attempts_per_second: f64, now: Timestamp) {
        self.previous_variances = [None; TESTS];
        let arm = self.take_fleet_arm(now);
        let previous = self.fleet_baseline.arm;
        let needed = previous.outcomes.min(self.parameters.min_fleet_outcomes);
        self.fleet_baseline = FleetBaseline {
            arm: if arm.outcomes >= needed {
                arm
            } else {
                previous
            },
            taken_at: now,
            endpoints,
            attempts_per_second,
        };
    }

    fn gather_own(&mut self, newest: u32, endpoints: &Endpoints, now: Timestamp) -> OwnEvidence {
        let mut arms = [Arms::default(); TESTS];
        let mut fleet = Vec::new();
        for (key, counts) in counts_up_to(&mut self.counts, newest) {
            counts.decay(now, self.parameters.decay_times);
            add_counts(&mut arms, counts, key.build == newest);
            // An ejected endpoint is lost to the fleet, not slowed; of its own build it still
            // tells.
            let endpoint = &endpoints[key.endpoint];
            if !(endpoint.health.ejected && endpoint.build == key.build) {
                let outcomes = counts.outcomes[FLEET_TEST];
                let failures = counts.failures[FLEET_TEST];
                fleet.push(EndpointShare { outcomes, failures });
            }
        }
        OwnEvidence { arms, fleet }
    }

    fn gather_restored(&mut self, newest: u32, now: Timestamp) -> [Arms; TESTS] {
        let mut arms = [Arms::default(); TESTS];
        for (key, counts) in counts_up_to(&mut self.restored_counts, newest) {
            counts.decay(now, self.parameters.decay_times);
            add_counts(&mut arms, counts, key.build == newest);
        }
        // The fleet before a restart was another one.
        arms[FLEET_TEST] = Arms::default();
        arms
    }

    /// All evidence on the newest build.
    pub fn gather(&mut self, newest: u32, endpoints: &Endpoints, now: Timestamp) -> Evidence {
        let OwnEvidence { arms: own, fleet } = self.gather_own(newest, endpoints, now);
        let restored = self.gather_restored(newest, now);
        let parameters = self.parameters;
        let mut tested = own;
        for (tested, restored) in tested.iter_mut().zip(restored) {
            add_restored(tested, restored, parameters.max_restored);
        }
        let EvidenceParameters {
            prior_outcomes,
            prior_failures,
            ..
        } = parameters;
        // The whole fleet against before; a few usual outcomes stand in where there were few.
        tested[FLEET_TEST].candidate = Arm::of_best(fleet, parameters.fleet_share);
        tested[FLEET_TEST].baseline = self.fleet_baseline.arm;
        tested[FLEET_TEST]
            .baseline
            .add(prior_outcomes, prior_failures);
        let candidate_is_alone = endpoints.in_service(newest).baseline == 0;
        if candidate_is_alone {
            let errors = &mut tested[EvidenceTest::Errors.index()];
            errors.baseline.add(prior_outcomes, prior_failures);
        }
        Evidence {
            own,
            restored,
            tested,
            candidate_is_alone,
        }
    }
}

/// What this instance has seen itself.
struct OwnEvidence {
    arms: [Arms; TESTS],
    /// By endpoint, how slow the fleet is.
    fleet: Vec<EndpointShare>,
}

fn counts_up_to(
    counts: &mut BTreeMap<CountKey, OutcomeCounts>,
    newest: u32,
) -> impl Iterator<Item = (&CountKey, &mut OutcomeCounts)> {
    counts
        .iter_mut()
        .filter(move |(key, _)| key.build <= newest)
}

fn add_counts(arms: &mut [Arms; TESTS], counts: &OutcomeCounts, is_candidate: bool) {
    for (arms, test) in arms.iter_mut().zip(EvidenceTest::ALL) {
        let share = counts.of(test);
        let arm = if is_candidate {
            &mut arms.candidate
        } else {
            &mut arms.baseline
        };
        arm.add(share.outcomes, share.failures);
    }
}

/// Adds outcomes from before a restart, so many at most on each side.
fn add_restored(arms: &mut Arms, restored: Arms, [max_candidate, max_baseline]: [f64; 2]) {
    let fraction = |arm: Arm, max: f64| (max / arm.outcomes.max(1e-9)).min(1.0);
    let candidate = restored.candidate;
    let candidate_fraction = fraction(candidate, max_candidate);
    arms.candidate.add_fraction(candidate, candidate_fraction);
    let baseline = restored.baseline;
    let baseline_fraction = fraction(baseline, max_baseline);
    arms.baseline.add_fraction(baseline, baseline_fraction);
}

/// The evidence that one evaluation looks at.
#[derive(Clone, Copy, Debug)]
pub struct Evidence {
    own: [Arms; TESTS],
    restored: [Arms; TESTS],
    tested: [Arms; TESTS],
    /// No endpoint of the baseline is in service.
    pub candidate_is_alone: bool,
}

impl Evidence {
    /// What a test looks at: own and restored outcomes, and what stands in where there are few.
    pub fn tested(&self, test: EvidenceTest) -> Arms {
        self.tested[test.index()]
    }

    /// This instance's own outcomes of the candidate.
    pub fn own_candidate(&self, test: EvidenceTest) -> Arm {
        self.own[test.index()].candidate
    }

    /// Outcomes of the candidate from before this instance's start.
    pub fn restored_candidate(&self, test: EvidenceTest) -> Arm {
        self.restored[test.index()].candidate
    }
}
