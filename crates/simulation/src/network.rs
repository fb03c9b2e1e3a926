//! Messages to the instances, and how long each takes.

use std::time::Duration;

use tidescale_policy::types::{Timestamp, VoteResult};

use crate::events::{EventQueue, Notice, RolloutAnnouncement};
use crate::random_stream::{RandomStream, stream};

/// A range that a delay is drawn from.
struct DelayRange {
    least: Duration,
    most: Duration,
}

/// From a change of an endpoint until an instance is notified of it.
const DISCOVERY_DELAY: DelayRange = DelayRange {
    least: Duration::from_millis(300),
    most: Duration::from_millis(900),
};
/// From a change of the rollout until an instance is notified of it.
const ANNOUNCEMENT_DELAY: DelayRange = DelayRange {
    least: Duration::from_millis(80),
    most: Duration::from_millis(350),
};
/// From a vote to the platform's answer.
const VOTE_DELAY: DelayRange = DelayRange {
    least: Duration::from_millis(30),
    most: Duration::from_millis(180),
};
/// From a wrong answer until its client flags it.
const FLAG_DELAY: DelayRange = DelayRange {
    least: Duration::from_millis(700),
    most: Duration::from_millis(2_500),
};
/// One way between an instance and an endpoint.
const HOP_DELAY: DelayRange = DelayRange {
    least: Duration::from_micros(300),
    most: Duration::from_micros(1_200),
};
/// Share of the answers that come with a load report.
const LOAD_REPORT_SHARE: f64 = 0.8;

/// The queue of what happens later, and the draws of how long messages take.
pub(crate) struct Network {
    /// What happens later.
    pub(crate) queue: EventQueue,
    delays: RandomStream,
    instances: usize,
}

impl Network {
    /// A network with nothing under way.
    pub(crate) fn new(seed: u64, instances: usize) -> Network {
        Network {
            queue: EventQueue::default(),
            delays: RandomStream::new(seed, stream::DELAYS),
            instances,
        }
    }

    /// Notifies every instance of an endpoint, each after a delay of its own; it gets the endpoint's state by then.
    pub(crate) fn list_endpoint(&mut self, now: Timestamp, endpoint: usize) {
        for instance in 0..self.instances {
            let at = now + self.draw(&DISCOVERY_DELAY);
            self.queue
                .notify(at, instance, Notice::EndpointListed(endpoint));
        }
    }

    /// Notifies every instance of the rollout's state, each after a delay of its own.
    pub(crate) fn announce_rollout(&mut self, now: Timestamp, announcement: RolloutAnnouncement) {
        for instance in 0..self.instances {
            let at = now + self.draw(&ANNOUNCEMENT_DELAY);
            self.queue
                .notify(at, instance, Notice::RolloutAnnounced(announcement));
        }
    }

    /// Answers an instance's vote.
    pub(crate) fn answer_vote(&mut self, now: Timestamp, instance: usize, result: VoteResult) {
        let at = now + self.draw(&VOTE_DELAY);
        self.queue
            .notify(at, instance, Notice::VoteAnswered(result));
    }

    /// How long a client takes to flag a wrong answer.
    pub(crate) fn draw_flag_delay(&mut self) -> Duration {
        self.draw(&FLAG_DELAY)
    }

    /// How long one way between an instance and an endpoint takes.
    pub(crate) fn draw_hop_delay(&mut self) -> Duration {
        self.draw(&HOP_DELAY)
    }

    /// Whether an answer comes with a load report.
    pub(crate) fn draw_load_report_arrives(&mut self) -> bool {
        self.delays.happens(LOAD_REPORT_SHARE)
    }

    fn draw(&mut self, range: &DelayRange) -> Duration {
        self.delays.duration_between(range.least, range.most)
    }
}
