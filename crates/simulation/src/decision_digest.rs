//! A digest over all decisions of a trial, for comparing two versions of the policy.
//!
//! Each decision adds the instance's index, a code for its kind, and its arguments. Neither the
//! values nor their order may change, because digests of different commits are compared.

use std::time::Duration;

use tidescale_policy::host::DecisionSink;
use tidescale_policy::types::{
    AttemptId, Ballot, EvidenceTest, RequestId, RollbackVerdict, Timestamp, Vote, whole_micros,
};

use crate::decisions::InstanceDecisionSink;
use crate::digest::Digest;

/// Codes of the kinds of decisions in the digest.
mod decision_code {
    pub(super) const ATTEMPT: u64 = 1;
    pub(super) const CANCEL: u64 = 2;
    pub(super) const REJECT: u64 = 3;
    pub(super) const FAIL: u64 = 4;
    pub(super) const VOTE: u64 = 5;
    pub(super) const HEALTH_CHECK: u64 = 6;
    pub(super) const POLL: u64 = 7;
    pub(super) const WAKE_UP: u64 = 8;
    pub(super) const ROLLBACK_VERDICT: u64 = 9;
}

/// A decision sink that adds each decision to a digest before it forwards the decision.
pub(crate) struct DigestingDecisionSink<'a, 'env> {
    digest: &'a mut Digest,
    decisions: InstanceDecisionSink<'a, 'env>,
}

impl<'a, 'env> DigestingDecisionSink<'a, 'env> {
    /// Wraps a sink, so that its decisions are added to the digest.
    pub(crate) fn new(digest: &'a mut Digest, decisions: InstanceDecisionSink<'a, 'env>) -> Self {
        DigestingDecisionSink { digest, decisions }
    }

    fn add(&mut self, values: &[u64]) {
        self.digest.add(self.decisions.instance().get() as u64);
        for value in values {
            self.digest.add(*value);
        }
    }

    fn endpoint_code(&self, endpoint: &str) -> u64 {
        self.decisions.endpoint_id(endpoint).get() as u64
    }
}

impl DecisionSink for DigestingDecisionSink<'_, '_> {
    fn start_attempt(&mut self, attempt: AttemptId, endpoint: &str, deadline: Timestamp) {
        let endpoint_code = self.endpoint_code(endpoint);
        self.add(&[
            decision_code::ATTEMPT,
            attempt.request.get(),
            endpoint_code,
            deadline.as_micros(),
        ]);
        self.decisions.start_attempt(attempt, endpoint, deadline);
    }

    fn cancel_attempt(&mut self, attempt: AttemptId) {
        self.add(&[
            decision_code::CANCEL,
            attempt.request.get(),
            attempt.index.get() as u64,
        ]);
        self.decisions.cancel_attempt(attempt);
    }

    fn reject_request(&mut self, request: RequestId, retry_after: Duration) {
        self.add(&[
            decision_code::REJECT,
            request.get(),
            whole_micros(retry_after),
        ]);
        self.decisions.reject_request(request, retry_after);
    }

    fn fail_request(&mut self, request: RequestId) {
        self.add(&[decision_code::FAIL, request.get()]);
        self.decisions.fail_request(request);
    }

    fn cast_vote(&mut self, ballot: Ballot) {
        self.add(&[
            decision_code::VOTE,
            u64::from(ballot.build.get()),
            u64::from(ballot.stage.get()),
            vote_code(ballot.vote),
        ]);
        self.decisions.cast_vote(ballot);
    }

    fn start_health_check(&mut self, endpoint: &str, deadline: Timestamp) {
        let endpoint_code = self.endpoint_code(endpoint);
        self.add(&[
            decision_code::HEALTH_CHECK,
            endpoint_code,
            deadline.as_micros(),
        ]);
        self.decisions.start_health_check(endpoint, deadline);
    }

    fn poll_endpoints(&mut self) {
        self.add(&[decision_code::POLL]);
        self.decisions.poll_endpoints();
    }

    fn schedule_wake_up(&mut self, after: Duration) {
        self.add(&[decision_code::WAKE_UP, whole_micros(after)]);
        self.decisions.schedule_wake_up(after);
    }

    fn report_rollback_verdict(&mut self, verdict: &RollbackVerdict) {
        self.add(&[
            decision_code::ROLLBACK_VERDICT,
            u64::from(verdict.build.get()),
            u64::from(verdict.stage.get()),
            test_code(verdict.test),
            verdict.ejected_endpoints as u64,
        ]);
        let evidence = [
            verdict.candidate.failures,
            verdict.candidate.outcomes,
            verdict.baseline.failures,
            verdict.baseline.outcomes,
            verdict.score,
            verdict.bound,
        ];
        self.add(&evidence.map(f64::to_bits));
        self.decisions.report_rollback_verdict(verdict);
    }
}

fn vote_code(vote: Vote) -> u64 {
    match vote {
        Vote::Abstain => 0,
        Vote::Advance => 1,
        Vote::Hold => 2,
        Vote::RollBack => 3,
    }
}

fn test_code(test: EvidenceTest) -> u64 {
    match test {
        EvidenceTest::Failures => 0,
        EvidenceTest::Slowness => 1,
        EvidenceTest::Errors => 2,
        EvidenceTest::FleetSlowdown => 3,
    }
}
