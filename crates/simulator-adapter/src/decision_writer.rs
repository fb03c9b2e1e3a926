//! Writes the policy's decisions as lines of the reply.

use std::fmt::{Arguments, Write as _};
use std::time::Duration;

use tidescale_policy::host::DecisionSink;
use tidescale_policy::types::{
    AttemptId, Ballot, EvidenceTest, RequestId, RollbackVerdict, Timestamp, Vote, fractional_micros,
};

/// Appends one line for each decision to the reply.
pub struct DecisionWriter<'a> {
    reply: &'a mut String,
}

impl<'a> DecisionWriter<'a> {
    /// Creates a writer that appends to this reply.
    pub fn new(reply: &'a mut String) -> Self {
        DecisionWriter { reply }
    }

    fn write_line(&mut self, line: Arguments<'_>) {
        // Writing to a String does not fail.
        let _ = writeln!(self.reply, "{line}");
    }
}

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1000.0;

/// Converts a duration to milliseconds, truncated to whole microseconds, so that it is not rounded
/// up beyond a limit.
fn milliseconds(duration: Duration) -> f64 {
    fractional_micros(duration) / MICROS_PER_MS
}

impl DecisionSink for DecisionWriter<'_> {
    fn start_attempt(&mut self, attempt: AttemptId, endpoint: &str, deadline: Timestamp) {
        let request = attempt.request;
        let deadline = milliseconds(deadline - Timestamp::ZERO);
        self.write_line(format_args!("SEND {request} {endpoint} {deadline}"));
    }

    fn cancel_attempt(&mut self, attempt: AttemptId) {
        let AttemptId { request, index } = attempt;
        self.write_line(format_args!("STOP_ATTEMPT {request} {index}"));
    }

    fn reject_request(&mut self, request: RequestId, retry_after: Duration) {
        let retry_after = milliseconds(retry_after);
        self.write_line(format_args!("TURN_AWAY {request} {retry_after}"));
    }

    fn fail_request(&mut self, request: RequestId) {
        self.write_line(format_args!("ERROR {request}"));
    }

    fn cast_vote(&mut self, ballot: Ballot) {
        let Ballot { build, stage, vote } = ballot;
        let code = match vote {
            Vote::Abstain => 0,
            Vote::Advance => 1,
            Vote::Hold => 2,
            Vote::RollBack => 3,
        };
        self.write_line(format_args!("OPINION {build} {stage} {code}"));
    }

    fn start_health_check(&mut self, endpoint: &str, _deadline: Timestamp) {
        self.write_line(format_args!("HEALTH_CHECK {endpoint}"));
    }

    fn poll_endpoints(&mut self) {
        self.write_line(format_args!("TAIL 1"));
    }

    fn schedule_wake_up(&mut self, after: Duration) {
        let after = milliseconds(after);
        self.write_line(format_args!("SCHEDULE {after} 0"));
    }

    fn report_rollback_verdict(&mut self, verdict: &RollbackVerdict) {
        let RollbackVerdict {
            build,
            candidate,
            baseline,
            ..
        } = verdict;
        let test = match verdict.test {
            EvidenceTest::Failures => 0,
            EvidenceTest::Slowness => 1,
            EvidenceTest::Errors => 2,
            EvidenceTest::FleetSlowdown => 3,
        };
        self.write_line(format_args!(
            "EMIT build {build} to go back: test {test}, new and old [{:.1}, {:.1}, {:.1}, {:.1}]",
            candidate.failures, candidate.outcomes, baseline.failures, baseline.outcomes
        ));
    }
}
