//! Everything that happens later, in order of time; events of one time in the order in which they were scheduled.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use tidescale_policy::types::{
    AttemptOutcome, RequestId, RolloutPhase, RolloutStatus, Timestamp, VoteResult,
};

use crate::fleet::Replacement;

/// Something that happens in the trial.
pub(crate) enum Event {
    /// A new endpoint runs and takes over its slot.
    ReplacementReady(Replacement),
    /// An endpoint that drained is taken away, by its index.
    EndpointRemoved(usize),
    /// An instance gets to know something.
    Instance(InstanceEvent),
}

/// Something that one instance gets to know in its next step.
pub(crate) struct InstanceEvent {
    /// Index of the instance.
    pub(crate) instance: usize,
    /// What it gets to know.
    pub(crate) notice: Notice,
}

/// What an instance gets to know.
pub(crate) enum Notice {
    /// A client sends a new request.
    RequestArrived,
    /// A client sends a request again that had failed.
    ClientRetry(ClientRetry),
    /// An attempt has ended.
    AttemptFinished(AttemptFinished),
    /// Discovery sends an endpoint's present state, by its index.
    EndpointListed(usize),
    /// The platform announces the rollout's state.
    RolloutAnnounced(RolloutAnnouncement),
    /// The platform answers a vote.
    VoteAnswered(VoteResult),
    /// A client has found an answer wrong.
    AnswerFlagged(AnswerFlagged),
    /// A health check has ended.
    HealthCheckFinished(HealthCheckFinished),
}

/// A client's second request after the first has failed.
pub(crate) struct ClientRetry {
    /// Index of its route.
    pub(crate) route: usize,
}

/// The end of an attempt.
pub(crate) struct AttemptFinished {
    /// The request's number.
    pub(crate) request: RequestId,
    /// Index among the request's attempts.
    pub(crate) attempt_index: usize,
    /// Index of the endpoint.
    pub(crate) endpoint: usize,
    /// How it ended.
    pub(crate) outcome: AttemptOutcome,
    /// When it was sent.
    pub(crate) sent_at: Timestamp,
    /// A complete answer, but a wrong one.
    pub(crate) wrong_answer: bool,
    /// Requests that the endpoint reports to hold.
    pub(crate) reported_in_flight: usize,
}

/// The rollout's state at the time of its announcement.
#[derive(Clone, Copy)]
pub(crate) struct RolloutAnnouncement {
    /// The newest build.
    pub(crate) build: u32,
    /// Stage of its evaluation.
    pub(crate) stage: u32,
    /// Phase of its rollout.
    pub(crate) phase: RolloutPhase,
    /// Share of the requests that may be attempted at it.
    pub(crate) traffic_cap: f64,
    /// When stage and phase began.
    pub(crate) since: Timestamp,
}

impl RolloutAnnouncement {
    /// As the policy gets it at this time.
    pub(crate) fn status(&self, now: Timestamp) -> RolloutStatus {
        RolloutStatus {
            build: self.build.into(),
            stage: self.stage.into(),
            phase: self.phase,
            traffic_cap: self.traffic_cap,
            age: now - self.since,
        }
    }
}

/// A client's flag on a wrong answer.
pub(crate) struct AnswerFlagged {
    /// Index of the endpoint that gave it.
    pub(crate) endpoint: usize,
    /// When the attempt was sent.
    pub(crate) sent_at: Timestamp,
}

/// The end of a health check.
pub(crate) struct HealthCheckFinished {
    /// Index of the endpoint.
    pub(crate) endpoint: usize,
    /// How it ended.
    pub(crate) outcome: AttemptOutcome,
}

/// An event, its time and its place among those of the same time.
struct Scheduled {
    at: Timestamp,
    sequence: u64,
    event: Event,
}

impl Scheduled {
    fn order(&self) -> (Timestamp, u64) {
        (self.at, self.sequence)
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.order() == other.order()
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    /// The earliest is the greatest, as the heap gives out the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.order().cmp(&self.order())
    }
}

/// The events to come.
#[derive(Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Scheduled>,
    last_sequence: u64,
}

impl EventQueue {
    /// Lets an event happen at this time.
    pub(crate) fn schedule(&mut self, at: Timestamp, event: Event) {
        self.last_sequence += 1;
        self.heap.push(Scheduled {
            at,
            sequence: self.last_sequence,
            event,
        });
    }

    /// Lets an instance get to know something at this time.
    pub(crate) fn notify(&mut self, at: Timestamp, instance: usize, notice: Notice) {
        self.schedule(at, Event::Instance(InstanceEvent { instance, notice }));
    }

    /// The next event that is due.
    pub(crate) fn pop_due(&mut self, now: Timestamp) -> Option<Event> {
        if self.heap.peek()?.at > now {
            return None;
        }
        self.heap.pop().map(|scheduled| scheduled.event)
    }

    /// A number for a request. Requests and events are counted together: which number a request gets shows in the
    /// digest of a trial, so that the count stays as it is.
    pub(crate) fn take_number(&mut self) -> u64 {
        let number = self.last_sequence;
        self.last_sequence += 1;
        number
    }
}
