//! One attempt of a request at an endpoint.

use crate::endpoints::Process;
use crate::types::{EndpointIndex, Timestamp};

/// State of an attempt whose response has not begun to arrive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct AwaitingResponse {
    /// The response may be lost, so a hedged attempt of the same request may be sent in parallel.
    pub(crate) hedge_due: bool,
    /// The attempt must not be recorded as evidence any more: it was recorded when it exceeded its
    /// time limit, or its request was already finished.
    pub(crate) evidence_finalized: bool,
}

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    /// The attempt has been sent, and no part of a response has arrived.
    AwaitingResponse(AwaitingResponse),
    /// The response is streaming to the client; no time limit applies any more.
    Streaming { evidence_finalized: bool },
    /// The attempt has ended. `may_have_executed` is false only if the endpoint certainly did not
    /// execute the request.
    Finished { may_have_executed: bool },
}

/// Conditions at the time an attempt was sent. They determine which tests may use its outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct AttemptConditions {
    /// The endpoint had been running long enough for its outcomes to count.
    pub(crate) past_start_up: bool,
    /// The endpoint had warmed up to its full capacity.
    pub(crate) warm: bool,
    /// Estimated number of requests in flight at the endpoint.
    pub(crate) endpoint_load: f64,
    /// The other arm of the evaluation had an endpoint in service: the baseline if the attempt was
    /// sent to the candidate, and the candidate if it was sent to the baseline.
    pub(crate) other_arm_in_service: bool,
    /// The fleet was comparable with its baseline from before the rollout.
    pub(crate) comparable_to_baseline: bool,
}

/// One attempt of a request at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// Endpoint to which the attempt was sent.
    pub(crate) endpoint: EndpointIndex,
    /// Process that ran at the endpoint when the attempt was sent.
    pub(crate) process: Process,
    pub(crate) sent_at: Timestamp,
    pub(crate) conditions: AttemptConditions,
    state: AttemptState,
}

impl Attempt {
    /// Creates an attempt that is sent at `now`.
    pub(crate) fn new(
        endpoint: EndpointIndex,
        process: Process,
        conditions: AttemptConditions,
        now: Timestamp,
    ) -> Attempt {
        Attempt {
            endpoint,
            process,
            sent_at: now,
            conditions,
            state: AttemptState::AwaitingResponse(AwaitingResponse::default()),
        }
    }

    /// Returns whether the attempt has not ended.
    pub(crate) fn in_flight(&self) -> bool {
        !matches!(self.state, AttemptState::Finished { .. })
    }

    /// Returns whether a hedged attempt of the same request may be sent in parallel.
    pub(crate) fn hedge_due(&self) -> bool {
        matches!(self.state, AttemptState::AwaitingResponse(waiting) if waiting.hedge_due)
    }

    /// Returns whether the attempt is in flight and prevents another one of the same request.
    pub(crate) fn blocks_request(&self) -> bool {
        self.in_flight() && !self.hedge_due()
    }

    /// Returns whether the endpoint may have executed the request.
    pub(crate) fn may_have_executed(&self) -> bool {
        match self.state {
            AttemptState::Finished { may_have_executed } => may_have_executed,
            AttemptState::AwaitingResponse(_) | AttemptState::Streaming { .. } => true,
        }
    }

    /// Returns whether the attempt must not be recorded as evidence any more.
    pub(crate) fn evidence_finalized(&self) -> bool {
        match self.state {
            AttemptState::AwaitingResponse(waiting) => waiting.evidence_finalized,
            AttemptState::Streaming { evidence_finalized } => evidence_finalized,
            AttemptState::Finished { .. } => true,
        }
    }

    /// Marks the response as streaming to the client.
    pub(super) fn start_streaming(&mut self) {
        if let AttemptState::AwaitingResponse(waiting) = self.state {
            let evidence_finalized = waiting.evidence_finalized;
            self.state = AttemptState::Streaming { evidence_finalized };
        }
    }

    pub(super) fn finish(&mut self, may_have_executed: bool) {
        self.state = AttemptState::Finished { may_have_executed };
    }

    /// Returns the state if the response has not begun to arrive.
    pub(super) fn awaiting_response_mut(&mut self) -> Option<&mut AwaitingResponse> {
        match &mut self.state {
            AttemptState::AwaitingResponse(waiting) => Some(waiting),
            AttemptState::Streaming { .. } | AttemptState::Finished { .. } => None,
        }
    }
}
