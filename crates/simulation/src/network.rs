//! Messages to the instances and their delays.

use std::ops::Range;
use std::time::Duration;

use tidescale_policy::types::{Timestamp, VoteResult};

use crate::events::{EventQueue, Notification, RolloutAnnouncement};
use crate::ids::{EndpointId, InstanceIndex};
use crate::random_stream::{RandomStream, stream};

/// Range of the delay from a change of an endpoint to an instance's notification.
const DISCOVERY_DELAY: Range<Duration> = Duration::from_millis(300)..Duration::from_millis(900);
/// Range of the delay from a change of the rollout to an instance's notification.
const ANNOUNCEMENT_DELAY: Range<Duration> = Duration::from_millis(80)..Duration::from_millis(350);
/// Range of the delay from a vote to the platform's response.
const VOTE_DELAY: Range<Duration> = Duration::from_millis(30)..Duration::from_millis(180);
/// Range of the delay from a wrong answer to the client's report.
const FLAG_DELAY: Range<Duration> = Duration::from_millis(700)..Duration::from_millis(2_500);
/// Range of the one-way delay between an instance and an endpoint.
const HOP_DELAY: Range<Duration> = Duration::from_micros(300)..Duration::from_micros(1_200);
/// Probability that a response carries a load report.
const LOAD_REPORT_SHARE: f64 = 0.8;

/// The event queue, and the random message delays.
pub(crate) struct Network {
    /// Future events.
    pub(crate) queue: EventQueue,
    delays: RandomStream,
    instances: usize,
}

impl Network {
    /// Creates a network without messages in flight.
    pub(crate) fn new(seed: u64, instances: usize) -> Network {
        Network {
            queue: EventQueue::default(),
            delays: RandomStream::new(seed, stream::DELAYS),
            instances,
        }
    }

    /// Notifies every instance of a change of an endpoint, each after its own delay. The
    /// notification contains the endpoint's entry at the time of its arrival.
    pub(crate) fn list_endpoint(&mut self, now: Timestamp, endpoint: EndpointId) {
        for instance in (0..self.instances).map(InstanceIndex::new) {
            let at = now + self.delays.uniform_duration(DISCOVERY_DELAY);
            self.queue
                .notify(at, instance, Notification::EndpointListed(endpoint));
        }
    }

    /// Notifies every instance of the state of the rollout, each after its own delay.
    pub(crate) fn announce_rollout(&mut self, now: Timestamp, announcement: RolloutAnnouncement) {
        for instance in (0..self.instances).map(InstanceIndex::new) {
            let at = now + self.delays.uniform_duration(ANNOUNCEMENT_DELAY);
            self.queue
                .notify(at, instance, Notification::RolloutAnnounced(announcement));
        }
    }

    /// Sends the platform's response to an instance's vote.
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

    /// Draws the time that a client takes to report a wrong answer.
    pub(crate) fn draw_flag_delay(&mut self) -> Duration {
        self.delays.uniform_duration(FLAG_DELAY)
    }

    /// Draws the one-way delay between an instance and an endpoint.
    pub(crate) fn draw_hop_delay(&mut self) -> Duration {
        self.delays.uniform_duration(HOP_DELAY)
    }

    /// Draws whether a response carries a load report.
    pub(crate) fn draw_load_report_arrives(&mut self) -> bool {
        self.delays.bernoulli(LOAD_REPORT_SHARE)
    }
}
