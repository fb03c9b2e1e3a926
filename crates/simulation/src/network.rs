//! Messages to the instances, and how long each takes.

use std::ops::Range;
use std::time::Duration;

use tidescale_policy::types::{Timestamp, VoteResult};

use crate::events::{EventQueue, Notification, RolloutAnnouncement};
use crate::ids::{EndpointId, InstanceIndex};
use crate::random_stream::{RandomStream, stream};

/// Time from a change of an endpoint until an instance is notified of it.
const DISCOVERY_DELAY: Range<Duration> = Duration::from_millis(300)..Duration::from_millis(900);
/// Time from a change of the rollout until an instance is notified of it.
const ANNOUNCEMENT_DELAY: Range<Duration> = Duration::from_millis(80)..Duration::from_millis(350);
/// Time from a vote to the platform's response.
const VOTE_DELAY: Range<Duration> = Duration::from_millis(30)..Duration::from_millis(180);
/// Time from a wrong answer until its client reports it.
const FLAG_DELAY: Range<Duration> = Duration::from_millis(700)..Duration::from_millis(2_500);
/// Time of one way between an instance and an endpoint.
const HOP_DELAY: Range<Duration> = Duration::from_micros(300)..Duration::from_micros(1_200);
/// Share of the responses that carry a load report.
const LOAD_REPORT_SHARE: f64 = 0.8;

/// The queue of future events, and the draws of message delays.
pub(crate) struct Network {
    /// Future events.
    pub(crate) queue: EventQueue,
    delays: RandomStream,
    instances: usize,
}

impl Network {
    /// A network without messages in flight.
    pub(crate) fn new(seed: u64, instances: usize) -> Network {
        Network {
            queue: EventQueue::default(),
            delays: RandomStream::new(seed, stream::DELAYS),
            instances,
        }
    }

    /// Notifies every instance of an endpoint, each after its own delay. An instance gets the
    /// endpoint's entry as of the end of the delay.
    pub(crate) fn list_endpoint(&mut self, now: Timestamp, endpoint: EndpointId) {
        for instance in (0..self.instances).map(InstanceIndex::new) {
            let at = now + self.delays.uniform_duration(DISCOVERY_DELAY);
            self.queue
                .notify(at, instance, Notification::EndpointListed(endpoint));
        }
    }

    /// Notifies every instance of the rollout's state, each after its own delay.
    pub(crate) fn announce_rollout(&mut self, now: Timestamp, announcement: RolloutAnnouncement) {
        for instance in (0..self.instances).map(InstanceIndex::new) {
            let at = now + self.delays.uniform_duration(ANNOUNCEMENT_DELAY);
            self.queue
                .notify(at, instance, Notification::RolloutAnnounced(announcement));
        }
    }

    /// Responds to an instance's vote.
    pub(crate) fn answer_vote(
        &mut self,
        now: Timestamp,
        instance: InstanceIndex,
        result: VoteResult,
    ) {
        let at = now + self.delays.uniform_duration(VOTE_DELAY);
        self.queue
            .notify(at, instance, Notification::VoteAnswered(result));
    }

    /// How long a client takes to report a wrong answer.
    pub(crate) fn draw_flag_delay(&mut self) -> Duration {
        self.delays.uniform_duration(FLAG_DELAY)
    }

    /// How long one way between an instance and an endpoint takes.
    pub(crate) fn draw_hop_delay(&mut self) -> Duration {
        self.delays.uniform_duration(HOP_DELAY)
    }

    /// Whether a response carries a load report.
    pub(crate) fn draw_load_report_arrives(&mut self) -> bool {
        self.delays.bernoulli(LOAD_REPORT_SHARE)
    }
}
