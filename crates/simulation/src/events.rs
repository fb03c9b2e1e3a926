//! Future events in the order of their times; events of one time are in the order in which they
//! were scheduled.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use tidescale_policy::types::{
    AttemptId, AttemptOutcome, BuildNumber, RequestId, RolloutPhase, RolloutStatus, RouteIndex,
    StageIndex, Timestamp, VoteResult,
};

use crate::fleet::Replacement;
use crate::ids::{EndpointId, InstanceIndex};

/// Request ids begin here, above the sequence numbers of all events, so that a mix-up would show.
const FIRST_REQUEST_ID: u64 = 1 << 40;

/// Something that happens in the trial.
pub(crate) enum Event {
    /// A new endpoint runs and takes over its slot.
    ReplacementReady(Replacement),
    /// An endpoint that was draining is removed.
    EndpointRemoved(EndpointId),
    /// An instance is notified.
    Instance(InstanceEvent),
}

/// A notification of one instance, which handles it in its next step.
pub(crate) struct InstanceEvent {
    /// The instance.
    pub(crate) instance: InstanceIndex,
    /// The notification.
    pub(crate) notification: Notification,
}

/// A notification of an instance.
pub(crate) enum Notification {
    /// A client sends a new request.
    RequestArrived,
    /// A client retries a request that had failed.
    ClientRetry(ClientRetry),
    /// An attempt has ended.
    AttemptFinished(AttemptFinished),
    /// Discovery sends an endpoint's current entry.
    EndpointListed(EndpointId),
    /// The platform announces the rollout's state.
    RolloutAnnounced(RolloutAnnouncement),
    /// The platform responds to a vote.
    VoteAnswered(VoteResult),
    /// A client reports a wrong answer.
    AnswerFlagged(AnswerFlagged),
    /// A health check has ended.
    HealthCheckFinished(HealthCheckFinished),
}

/// A client's retry of a request that had failed.
pub(crate) struct ClientRetry {
    /// Its route.
    pub(crate) route: RouteIndex,
}

/// The end of an attempt.
pub(crate) struct AttemptFinished {
    /// The attempt.
    pub(crate) attempt: AttemptId,
    /// The endpoint.
    pub(crate) endpoint: EndpointId,
    /// How it ended.
    pub(crate) outcome: AttemptOutcome,
    /// When it was sent.
    pub(crate) sent_at: Timestamp,
    /// It is a complete answer, but a wrong one.
    pub(crate) wrong_answer: bool,
    /// Requests in flight that the endpoint reports.
    pub(crate) reported_in_flight: usize,
}

/// The rollout's state at the time of its announcement.
#[derive(Clone, Copy)]
pub(crate) struct RolloutAnnouncement {
    /// The newest build.
    pub(crate) build: BuildNumber,
    /// Stage of its evaluation.
    pub(crate) stage: StageIndex,
    /// Phase of its rollout.
    pub(crate) phase: RolloutPhase,
    /// Share of the requests that may be attempted at it.
    pub(crate) traffic_cap: f64,
    /// When stage and phase began.
    pub(crate) since: Timestamp,
}

impl RolloutAnnouncement {
    /// The status that the policy gets if it is notified now.
    pub(crate) fn status(&self, now: Timestamp) -> RolloutStatus {
        RolloutStatus {
            build: self.build,
            stage: self.stage,
            phase: self.phase,
            traffic_cap: self.traffic_cap,
            age: now - self.since,
        }
    }
}

/// A client's report of a wrong answer.
pub(crate) struct AnswerFlagged {
    /// The endpoint that gave it.
    pub(crate) endpoint: EndpointId,
    /// When the attempt was sent.
    pub(crate) sent_at: Timestamp,
}

/// The end of a health check.
pub(crate) struct HealthCheckFinished {
    /// The endpoint.
    pub(crate) endpoint: EndpointId,
    /// How it ended.
    pub(crate) outcome: AttemptOutcome,
}

/// An event, its time and its position among those of the same time.
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
    /// The earliest event is the greatest, because the heap pops the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.order().cmp(&self.order())
    }
}

/// The future events.
#[derive(Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Scheduled>,
    last_sequence: u64,
}

impl EventQueue {
    /// Schedules an event.
    pub(crate) fn schedule(&mut self, at: Timestamp, event: Event) {
        self.last_sequence += 1;
        self.heap.push(Scheduled {
            at,
            sequence: self.last_sequence,
            event,
        });
    }

    /// Schedules a notification of an instance.
    pub(crate) fn notify(
        &mut self,
        at: Timestamp,
        instance: InstanceIndex,
        notification: Notification,
    ) {
        self.schedule(
            at,
            Event::Instance(InstanceEvent {
                instance,
                notification,
            }),
        );
    }

    /// Takes the next event whose time has come.
    pub(crate) fn pop_due(&mut self, now: Timestamp) -> Option<Event> {
        if self.heap.peek()?.at > now {
            return None;
        }
        self.heap.pop().map(|scheduled| scheduled.event)
    }

    /// A new request id. Requests and events share one sequence: request ids are part of a trial's
    /// digest, so a sequence of their own would change the digests of all trials.
    pub(crate) fn next_request_id(&mut self) -> RequestId {
        let id = RequestId::new(FIRST_REQUEST_ID + self.last_sequence);
        self.last_sequence += 1;
        id
    }
}
