//! One attempt of a request at an endpoint.

use crate::endpoints::Process;
use crate::types::{EndpointIndex, Timestamp};

/// State of an attempt while nothing of a response has arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct AwaitingResponse {
    /// Its response may be lost: a hedged request may be sent beside it.
    pub(crate) hedge_due: bool,
    /// It has been recorded as evidence already: it took too long, or its request is finished.
    pub(crate) evidence_recorded: bool,
}

/// The life of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    /// Sent, and nothing of a response has arrived.
    AwaitingResponse(AwaitingResponse),
    /// Its response streams to the client, and no time limit applies any more.
    Streaming { evidence_recorded: bool },
    /// It has ended.
    Finished { may_have_executed: bool },
}

/// Conditions under which an attempt was sent; they decide with what its outcome can be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct AttemptConditions {
    /// The endpoint had run for long enough to be judged.
    pub(crate) past_start_up: bool,
    /// The endpoint had its full capacity.
    pub(crate) warm: bool,
    /// Requests in flight at the endpoint.
    pub(crate) endpoint_load: f64,
    /// The other arm of the evaluation had an endpoint in service.
    pub(crate) has_concurrent_baseline: bool,
    /// The fleet could be compared with what it was before the rollout.
    pub(crate) comparable_to_baseline: bool,
}

/// One attempt of a request at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// The endpoint.
    pub(crate) endpoint: EndpointIndex,
    /// The process that ran there when the attempt was sent.
    pub(crate) process: Process,
    /// When it was sent.
    pub(crate) sent_at: Timestamp,
    /// Conditions under which it was sent.
    pub(crate) conditions: AttemptConditions,
    state: AttemptState,
}

impl Attempt {
    /// An attempt that is sent now.
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

    /// It has not ended.
    pub(crate) fn in_flight(&self) -> bool {
        !matches!(self.state, AttemptState::Finished { .. })
    }

    /// A hedged request may be sent beside it.
    pub(crate) fn hedge_due(&self) -> bool {
        matches!(self.state, AttemptState::AwaitingResponse(waiting) if waiting.hedge_due)
    }

    /// It is in flight, and no other attempt of its request may be made meanwhile.
    pub(crate) fn blocks_request(&self) -> bool {
        self.in_flight() && !self.hedge_due()
    }

    /// The endpoint executed the request, or may have.
    pub(crate) fn may_have_executed(&self) -> bool {
        match self.state {
            AttemptState::Finished { may_have_executed } => may_have_executed,
            AttemptState::AwaitingResponse(_) | AttemptState::Streaming { .. } => true,
        }
    }

    /// It has been recorded as evidence.
    pub(crate) fn evidence_recorded(&self) -> bool {
        match self.state {
            AttemptState::AwaitingResponse(waiting) => waiting.evidence_recorded,
            AttemptState::Streaming { evidence_recorded } => evidence_recorded,
            AttemptState::Finished { .. } => true,
        }
    }

    /// Its response has begun to stream to the client.
    pub(super) fn start_streaming(&mut self) {
        if let AttemptState::AwaitingResponse(waiting) = self.state {
            let evidence_recorded = waiting.evidence_recorded;
            self.state = AttemptState::Streaming { evidence_recorded };
        }
    }

    /// It has ended.
    pub(super) fn finish(&mut self, may_have_executed: bool) {
        self.state = AttemptState::Finished { may_have_executed };
    }

    /// Its state while nothing of a response has arrived.
    pub(super) fn awaiting_response_mut(&mut self) -> Option<&mut AwaitingResponse> {
        match &mut self.state {
            AttemptState::AwaitingResponse(waiting) => Some(waiting),
            AttemptState::Streaming { .. } | AttemptState::Finished { .. } => None,
        }
    }
}
