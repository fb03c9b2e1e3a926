//! The event queue. Events are ordered by time, and events at the same time by the order in which
//! they were scheduled.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use tidescale_policy::types::{
    AttemptId, AttemptOutcome, BuildNumber, RequestId, RolloutPhase, RolloutStatus, RouteIndex,
    StageIndex, Timestamp, VoteResult,
};

use crate::fleet::Replacement;
use crate::ids::{EndpointId, InstanceIndex};

/// The first request id. It is above the sequence numbers of all events, so that the two cannot be
/// mistaken for each other.
const FIRST_REQUEST_ID: u64 = 1 << 40;

/// A scheduled event of a trial.
pub(crate) enum Event {
    /// A new endpoint has started and takes over its slot.
    ReplacementReady(Replacement),
    /// A draining endpoint is removed.
    EndpointRemoved(EndpointId),
    /// An instance receives a notification.
    Instance(InstanceEvent),
}

/// A notification for one instance, which handles it in its next step.
pub(crate) struct InstanceEvent {
    pub(crate) instance: InstanceIndex,
    pub(crate) notification: Notification,
}

/// A notification for an instance.
pub(crate) enum Notification {
    /// A client sends a new request.
    RequestArrived,
    /// A client retries a failed request.
    ClientRetry(ClientRetry),
    /// An attempt has ended.
    AttemptFinished(AttemptFinished),
    /// Service discovery sends the current entry of an endpoint.
    EndpointListed(EndpointId),
    /// The platform announces the state of the rollout.
    RolloutAnnounced(RolloutAnnouncement),
    /// The platform responds to a vote.
    VoteAnswered(VoteResult),
    /// A client flags a response as wrong.
    ResponseFlagged(ResponseFlagged),
    /// A health check has ended.
    HealthCheckFinished(HealthCheckFinished),
}

/// A client's retry of a failed request.
pub(crate) struct ClientRetry {
    /// Route of the request.
    pub(crate) route: RouteIndex,
}

/// The end of an attempt.
pub(crate) struct AttemptFinished {
    /// The attempt that has ended.
    pub(crate) attempt: AttemptId,
    /// The endpoint that it was sent to.
    pub(crate) endpoint: EndpointId,
    pub(crate) outcome: AttemptOutcome,
    /// When the attempt was sent.
    pub(crate) sent_at: Timestamp,
    /// Whether an answer to this attempt is complete but wrong.
    pub(crate) wrong_answer: bool,
    /// Number of requests in flight that the endpoint reports.
    pub(crate) reported_in_flight: usize,
}

/// The state of the rollout at the time of its announcement.
#[derive(Clone, Copy)]
pub(crate) struct RolloutAnnouncement {
    /// The newest build.
    pub(crate) build: BuildNumber,
    /// Current stage of its evaluation.
    pub(crate) stage: StageIndex,
    /// Current phase of its rollout.
    pub(crate) phase: RolloutPhase,
    /// Maximum share of the requests that may be attempted at this build.
    pub(crate) traffic_cap: f64,
    /// When the current stage and phase began.
    pub(crate) since: Timestamp,
}

impl RolloutAnnouncement {
    /// Returns the status for a policy that is notified at this time.
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

/// A response that a client flags as wrong.
pub(crate) struct ResponseFlagged {
    /// The endpoint that sent the response.
    pub(crate) endpoint: EndpointId,
    /// When the attempt was sent.
    pub(crate) sent_at: Timestamp,
}

/// The end of a health check.
pub(crate) struct HealthCheckFinished {
    /// The endpoint that was checked.
    pub(crate) endpoint: EndpointId,
    pub(crate) outcome: AttemptOutcome,
}

/// An event, its time, and the sequence number that orders events at the same time.
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
    /// Reverses the order, so that the max-heap pops the earliest event first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.order().cmp(&self.order())
    }
}

/// A priority queue of future events.
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

    /// Schedules a notification for an instance.
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

    /// Removes and returns the next event that is due.
    pub(crate) fn pop_due(&mut self, now: Timestamp) -> Option<Event> {
        if self.heap.peek()?.at > now {
            return None;
        }
        self.heap.pop().map(|scheduled| scheduled.event)
    }

    /// Returns a new request id. Requests and events share one sequence, because request ids are
    /// part of a trial's digest and a separate sequence would change the digests of all trials.
    pub(crate) fn next_request_id(&mut self) -> RequestId {
        let id = RequestId::new(FIRST_REQUEST_ID + self.last_sequence);
        self.last_sequence += 1;
        id
    }
}
