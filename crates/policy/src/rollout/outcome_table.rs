//! Outcome counts by build and endpoint, from which the arms of each test are summed.

use std::collections::BTreeMap;
use std::ops::Bound;

use super::fleet_view::FleetView;
use super::parameters::{
    BEST_ENDPOINTS_FRACTION, EVIDENCE_TIME_CONSTANTS, MAX_RESTORED_BASELINE_OUTCOMES,
    MAX_RESTORED_CANDIDATE_OUTCOMES, PRIOR_FAILURES, PRIOR_OUTCOMES,
};
use crate::statistics::{Arm, Arms, EndpointOutcomes, EvidenceTestMap, OutcomeCounts, OutcomeKey};
use crate::types::{BuildNumber, EndpointIndex, EvidenceTest, Timestamp};

/// The evidence used in one evaluation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Evidence {
    /// This instance's own outcomes.
    own: EvidenceTestMap<Arms>,
    /// Outcomes from before this instance's restart.
    restored: EvidenceTestMap<Arms>,
    /// The arms passed to the tests: own outcomes, a limited number of restored ones, and priors.
    tested: EvidenceTestMap<Arms>,
    /// No endpoint of the baseline is in service.
    pub(super) lacks_baseline_endpoints: bool,
}

impl Evidence {
    /// Sets the fleet before the rollout as the baseline of the fleet slowdown test.
    pub(super) fn set_fleet_baseline(&mut self, baseline: Arm) {
        self.tested[EvidenceTest::FleetSlowdown].baseline = baseline;
    }

    /// Returns the arms that are passed to a test.
    pub(super) fn tested(&self, test: EvidenceTest) -> Arms {
        self.tested[test]
    }

    /// Returns the outcomes of the build under evaluation that this instance has counted since it
    /// started.
    pub(super) fn own_candidate(&self, test: EvidenceTest) -> Arm {
        self.own[test].candidate
    }

    /// Returns the outcomes of the build under evaluation from before this instance's restart.
    pub(super) fn restored_candidate(&self, test: EvidenceTest) -> Arm {
        self.restored[test].candidate
    }

    /// Returns the number of restored outcomes of the build under evaluation that a test uses.
    pub(super) fn counted_restored_outcomes(&self, test: EvidenceTest) -> f64 {
        let restored = self.restored_candidate(test).outcomes;
        restored.min(MAX_RESTORED_CANDIDATE_OUTCOMES)
    }
}

/// Outcome counts by build and endpoint: this instance's own, and those restored from a snapshot.
///
/// [`OutcomeTable::remove_expired`] bounds its size by removing counts that have decayed.
#[derive(Debug, Default)]
pub(super) struct OutcomeTable {
    own: BTreeMap<OutcomeKey, OutcomeCounts>,
    restored: BTreeMap<OutcomeKey, OutcomeCounts>,
}

impl OutcomeTable {
    /// Adds one outcome. `is_failure` says for each test whether the outcome is a failure, or holds
    /// `None` if it is not evidence in that test.
    pub(super) fn record(
        &mut self,
        key: OutcomeKey,
        is_failure: EvidenceTestMap<Option<bool>>,
        now: Timestamp,
    ) {
        let counts = self.own.entry(key).or_default();
        counts.add(is_failure, now, &EVIDENCE_TIME_CONSTANTS);
    }

    /// Adds a failure to one test. Its outcome has been counted earlier and is not added again.
    pub(super) fn record_late_failure(
        &mut self,
        key: OutcomeKey,
        test: EvidenceTest,
        now: Timestamp,
    ) {
        let counts = self.own.entry(key).or_default();
        counts.decay(now, &EVIDENCE_TIME_CONSTANTS);
        counts.failures[test] += 1.0;
    }

    /// Restores outcomes from a snapshot.
    pub(super) fn restore(&mut self, key: OutcomeKey, counts: OutcomeCounts) {
        self.restored.insert(key, counts);
    }

    /// Returns the sum of own and restored counts of one build and endpoint.
    pub(super) fn total(&mut self, key: OutcomeKey, now: Timestamp) -> OutcomeCounts {
        let mut total = OutcomeCounts::default();
        for counts in [&mut self.own, &mut self.restored] {
            if let Some(counts) = counts.get_mut(&key) {
                counts.decay(now, &EVIDENCE_TIME_CONSTANTS);
                total.add_counts(counts);
            }
        }
        total
    }

    /// Returns keys that have counts, in order from `from` on. The limit applies separately to own
    /// and to restored counts.
    pub(super) fn keys_from(&self, from: OutcomeKey, limit: usize) -> Vec<OutcomeKey> {
        let range = (Bound::Included(from), Bound::Unbounded);
        let own = self.own.range(range).map(|(key, _)| *key).take(limit);
        let restored = self.restored.range(range).map(|(key, _)| *key).take(limit);
        let mut keys: Vec<OutcomeKey> = own.chain(restored).collect();
        keys.sort_unstable();
        keys.dedup();
        keys
    }

    /// Returns the number of keys with own counts.
    pub(super) fn len(&self) -> usize {
        self.own.len()
    }

    /// Removes counts that have decayed to a negligible amount.
    pub(super) fn remove_expired(&mut self, now: Timestamp) {
        for counts in [&mut self.own, &mut self.restored] {
            counts.retain(|_, counts| {
                counts.decay(now, &EVIDENCE_TIME_CONSTANTS);
                !counts.is_negligible()
            });
        }
    }

    /// Returns whether there are counts of this endpoint.
    pub(super) fn refers_to(&self, endpoint: EndpointIndex) -> bool {
        let mut keys = self.own.keys().chain(self.restored.keys());
        keys.any(|key| key.endpoint == endpoint)
    }

    /// Returns the responses of the endpoints with the smallest shares of slow responses, and
    /// resets the counts of the fleet slowdown test for all endpoints.
    pub(super) fn drain_fleet_outcomes(&mut self, now: Timestamp) -> Arm {
        let mut by_endpoint = Vec::new();
        for counts in self.own.values_mut() {
            counts.decay(now, &EVIDENCE_TIME_CONSTANTS);
            let test = EvidenceTest::FleetSlowdown;
            let outcomes = std::mem::take(&mut counts.outcomes[test]);
            let failures = std::mem::take(&mut counts.failures[test]);
            by_endpoint.push(EndpointOutcomes { outcomes, failures });
        }
        Arm::from_best_endpoints(by_endpoint, BEST_ENDPOINTS_FRACTION)
    }

    /// Returns the evidence on the newest build, without the baseline of the fleet slowdown test.
    pub(super) fn evidence(
        &mut self,
        newest: BuildNumber,
        fleet: FleetView<'_>,
        now: Timestamp,
    ) -> Evidence {
        let OwnEvidence {
            arms: own,
            by_endpoint,
        } = self.own_evidence(newest, fleet, now);
        let restored = self.restored_evidence(newest, now);
        let mut tested = own;
        for test in EvidenceTest::ALL {
            add_restored(&mut tested[test], restored[test]);
        }
        tested[EvidenceTest::FleetSlowdown].candidate =
            Arm::from_best_endpoints(by_endpoint, BEST_ENDPOINTS_FRACTION);
        let in_service = fleet.health.in_service(fleet.endpoints, newest);
        let lacks_baseline_endpoints = in_service.baseline == 0;
        if lacks_baseline_endpoints {
            let errors = &mut tested[EvidenceTest::Errors];
            errors.baseline.add(PRIOR_OUTCOMES, PRIOR_FAILURES);
        }
        Evidence {
            own,
            restored,
            tested,
            lacks_baseline_endpoints,
        }
    }

    fn own_evidence(
        &mut self,
        newest: BuildNumber,
        fleet: FleetView<'_>,
        now: Timestamp,
    ) -> OwnEvidence {
        let mut evidence = OwnEvidence::default();
        for (key, counts) in counts_up_to(&mut self.own, newest) {
            counts.decay(now, &EVIDENCE_TIME_CONSTANTS);
            add_counts(&mut evidence.arms, counts, key.build == newest);
            // An ejected endpoint is out of service rather than slow, so the counts of its
            // present build are left out. Those of an earlier build at that endpoint still
            // show how fast the fleet was.
            let is_out_of_service = fleet.health.is_ejected(key.endpoint)
                && fleet.endpoints[key.endpoint].build() == key.build;
            if !is_out_of_service {
                let test = EvidenceTest::FleetSlowdown;
                evidence.by_endpoint.push(EndpointOutcomes {
                    outcomes: counts.outcomes[test],
                    failures: counts.failures[test],
                });
            }
        }
        evidence
    }

    fn restored_evidence(&mut self, newest: BuildNumber, now: Timestamp) -> EvidenceTestMap<Arms> {
        let mut arms = EvidenceTestMap::default();
        for (key, counts) in counts_up_to(&mut self.restored, newest) {
            counts.decay(now, &EVIDENCE_TIME_CONSTANTS);
            add_counts(&mut arms, counts, key.build == newest);
        }
        // The fleet may have changed during the restart, so its latencies are not comparable.
        arms[EvidenceTest::FleetSlowdown] = Arms::default();
        arms
    }
}

/// Evidence that this instance has collected since it started.
#[derive(Default)]
struct OwnEvidence {
    arms: EvidenceTestMap<Arms>,
    /// Responses and the slow ones among them, by endpoint, for the fleet slowdown test.
    by_endpoint: Vec<EndpointOutcomes>,
}

/// Iterates over the counts of the newest build and of earlier ones.
fn counts_up_to(
    counts: &mut BTreeMap<OutcomeKey, OutcomeCounts>,
    newest: BuildNumber,
) -> impl Iterator<Item = (&OutcomeKey, &mut OutcomeCounts)> {
    counts
        .iter_mut()
        .filter(move |(key, _)| key.build <= newest)
}

fn add_counts(arms: &mut EvidenceTestMap<Arms>, counts: &OutcomeCounts, is_candidate: bool) {
    for test in EvidenceTest::ALL {
        let totals = counts.for_test(test);
        let arms = &mut arms[test];
        let arm = if is_candidate {
            &mut arms.candidate
        } else {
            &mut arms.baseline
        };
        arm.add(totals.outcomes, totals.failures);
    }
}

/// Adds a limited number of outcomes from before a restart to each arm.
fn add_restored(arms: &mut Arms, restored: Arms) {
    arms.candidate
        .add_limited(restored.candidate, MAX_RESTORED_CANDIDATE_OUTCOMES);
    arms.baseline
        .add_limited(restored.baseline, MAX_RESTORED_BASELINE_OUTCOMES);
}
