//! Checks each decision against the rules and limits, and records it.

use std::time::Duration;

use tidescale_policy::types::{AttemptId, Ballot, RequestId, Timestamp};

use super::model::{
    CanaryAttempt, Observer, PendingCheck, SentAttempt, WarmUpAttempt, endpoint_index,
};
use super::violation::Rule;
use crate::harness::{Decision, RecordedDecision, millis};

/// An attempt that the policy has decided to send.
#[derive(Clone, Copy, Debug)]
pub struct StartedAttempt {
    pub request: RequestId,
    /// Index of the endpoint.
    pub endpoint: usize,
    pub deadline: Timestamp,
}

impl Observer {
    /// Checks and records one decision of the policy.
    pub fn observe(&mut self, recorded: RecordedDecision) {
        let deadline = recorded.deadline.unwrap_or(Timestamp::MAX);
        match recorded.decision {
            Decision::StartAttempt { attempt, endpoint } => self.observe_attempt(StartedAttempt {
                request: attempt.request,
                endpoint: endpoint_index(&endpoint),
                deadline,
            }),
            Decision::CancelAttempt { attempt } => self.observe_cancel(attempt),
            Decision::RejectRequest { request } => {
                let retry_after = recorded.retry_after.unwrap_or(Duration::MAX);
                self.observe_rejection(request, retry_after);
            }
            Decision::FailRequest { request } => self.observe_answer(request),
            Decision::CastVote { ballot } => self.observe_vote(ballot),
            Decision::StartHealthCheck { endpoint } => {
                self.observe_health_check(&endpoint, deadline);
            }
            Decision::PollEndpoints => self.observe_poll(),
        }
    }

    fn observe_attempt(&mut self, started: StartedAttempt) {
        if !self.is_open(started.request) {
            self.require_open(
                started.request,
                "was sent to an endpoint after it had ended",
            );
            return;
        }
        self.check_max_attempts(started.request);
        self.check_deadline(started);
        self.check_idempotency(started.request, Some(started.endpoint));
        self.check_hedging(started.request);
        self.check_endpoint_state(started.endpoint);
        self.record_canary_attempt(started);
        self.check_guarded_stage(started);
        self.check_traffic_cap(started);
        self.check_monotonic_key(started);
        self.record_warm_up_attempt(started.endpoint);
        self.check_slow_start(started.endpoint);
        self.record_attempt(started);
    }

    fn record_canary_attempt(&mut self, started: StartedAttempt) {
        let build = self.endpoints[started.endpoint].build;
        if self.is_under_evaluation(build) {
            self.canary_attempts.push(CanaryAttempt {
                at: self.now,
                route: self.requests[&started.request].route,
                build,
            });
        }
    }

    fn record_warm_up_attempt(&mut self, endpoint: usize) {
        if self.is_warming_up(endpoint) {
            self.warm_up_attempts.push(WarmUpAttempt {
                at: self.now,
                endpoint,
            });
        }
    }

    /// Records an attempt with a random response time. In 3 % of the draws it responds only after
    /// 2 s, which is after its deadline.
    fn record_attempt(&mut self, started: StartedAttempt) {
        let percentile = self.random.rand_u64() % 100;
        let drawn = self.random.rand_u64();
        let latency = if percentile < 3 {
            millis(2000)
        } else {
            millis(5) + Duration::from_micros(drawn % 30_000)
        };
        let endpoint = self.endpoints[started.endpoint];
        let attempt = SentAttempt {
            endpoint: started.endpoint,
            zone: endpoint.zone,
            cell: endpoint.cell,
            process_started_at: endpoint.started_at,
            sent_at: self.now,
            responds_at: self.now + latency,
            outcome: None,
        };
        if let Some(request) = self.requests.get_mut(&started.request) {
            request.attempts.push(attempt);
        }
    }

    fn observe_cancel(&mut self, attempt: AttemptId) {
        let is_allowed = self.settings.cancel_attempts;
        self.require(is_allowed, Rule::CancelAttempts, || format!("{attempt:?}"));
    }

    fn observe_rejection(&mut self, request: RequestId, retry_after: Duration) {
        self.check_retry_after(request, retry_after);
        self.check_idempotency(request, None);
        self.observe_answer(request);
    }

    fn observe_answer(&mut self, request: RequestId) {
        self.require_open(request, "was answered after it had ended");
        if let Some(request) = self.requests.get_mut(&request) {
            request.finished = true;
        }
    }

    fn observe_vote(&mut self, ballot: Ballot) {
        self.check_vote(ballot);
        self.vote_pending = true;
    }

    fn observe_health_check(&mut self, endpoint: &str, deadline: Timestamp) {
        let is_allowed = self.settings.health_checks;
        self.require(is_allowed, Rule::HealthChecks, || endpoint.into());
        let ends_at = if self.draw(0.8) {
            self.now + millis(20)
        } else {
            deadline
        };
        self.pending_checks.push(PendingCheck {
            ends_at,
            endpoint: endpoint_index(endpoint),
        });
    }

    fn observe_poll(&mut self) {
        let is_allowed = self.settings.poll_endpoints;
        self.require(is_allowed, Rule::PollEndpoints, String::new);
        self.poll_pending = true;
    }
}
