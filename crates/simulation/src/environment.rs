//! The environment of the instances, composed of the parts in the other modules, and its changes in
//! each tick.

use std::time::Duration;

use tidescale_policy::types::{
    EndpointState, EvidenceTest, RequestId, RolloutPhase, Timestamp, whole_micros,
};

use crate::attempts::AttemptModel;
use crate::case::{SettingsProfile, TrialCase};
use crate::clients::{ClientRequest, Clients, TrafficPattern};
use crate::confounder::{Confounder, ConfounderSchedule};
use crate::events::{ClientRetry, Event, InstanceEvent, Notification, RolloutAnnouncement};
use crate::fleet::{Fleet, Replacement};
use crate::ids::{EndpointId, InstanceIndex};
use crate::network::Network;
use crate::outcome::ServedWeightBySecond;
use crate::parameters::{BASELINE_BUILD, DRAIN_TIME, LAST_STAGE, ROUTES, START, TICK};
use crate::random_stream::{RandomStream, stream};
use crate::rollout::{PlatformContext, Rollout};

/// Number of distinct idempotency keys that the clients use, if they use any. Several requests
/// share a key.
const IDEMPOTENCY_KEY_COUNT: u64 = 97;

/// Interval at which old requests are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// The state of a trial outside the instances.
pub(crate) struct Environment {
    /// Configuration of the trial.
    pub(crate) case: TrialCase,
    /// Time of the current tick.
    pub(crate) now: Timestamp,
    /// The endpoints and their slots.
    pub(crate) fleet: Fleet,
    /// The event queue and the message delays.
    pub(crate) network: Network,
    /// The clients and their requests.
    pub(crate) clients: Clients,
    /// Draws the costs and outcomes of attempts.
    pub(crate) attempts: AttemptModel,
    /// The rollout of the candidate by the platform.
    pub(crate) rollout: Rollout,
    /// The disturbance that the build does not cause.
    pub(crate) confounder: ConfounderSchedule,
    /// Priority weight of the requests offered and served.
    pub(crate) served_weight: ServedWeightBySecond,
    /// The statistical test behind the first rollback verdict of any instance.
    pub(crate) first_verdict_test: Option<EvidenceTest>,
}

impl Environment {
    /// Creates the environment at the start of a trial. The order of the draws is part of the
    /// model, because they share a stream: the fleet, the clients' rates, then the times of the
    /// confounder.
    pub(crate) fn new(case: TrialCase) -> Environment {
        let size = case.size;
        let mut random = RandomStream::new(case.seed, stream::SET_UP);
        let fleet = Fleet::new(size.endpoints, &mut random);
        let clients = Clients::new(case.seed, size.instances, fleet.capacity(), &mut random);
        let confounder = ConfounderSchedule::draw(case.confounder, case.seed, &mut random);
        Environment {
            case,
            now: START,
            fleet,
            network: Network::new(case.seed, size.instances),
            clients,
            attempts: AttemptModel::new(case.seed, case.build),
            rollout: Rollout::new(size, case.rollback_trigger),
            confounder,
            served_weight: ServedWeightBySecond::new(size.duration),
            first_verdict_test: None,
        }
    }

    /// Schedules the notifications that an instance receives at the start of the trial, and its
    /// first request.
    pub(crate) fn schedule_first_notifications(&mut self, instance: InstanceIndex) {
        for endpoint in self.fleet.endpoint_ids() {
            self.network
                .queue
                .notify(START, instance, Notification::EndpointListed(endpoint));
        }
        let released = RolloutAnnouncement {
            build: BASELINE_BUILD,
            stage: LAST_STAGE,
            phase: RolloutPhase::Released,
            traffic_cap: 1.0,
            since: START,
        };
        self.network
            .queue
            .notify(START, instance, Notification::RolloutAnnounced(released));
        let first_arrival = START + self.clients.draw_first_arrival(instance);
        self.network
            .queue
            .notify(first_arrival, instance, Notification::RequestArrived);
    }

    /// Advances the confounder and the platform by one tick.
    pub(crate) fn step_confounder_and_platform(&mut self) {
        self.confounder.step(self.now, &mut self.fleet);
        self.rollout.step(&mut PlatformContext {
            now: self.now,
            fleet: &mut self.fleet,
            network: &mut self.network,
        });
    }

    /// Removes the next due event of an instance from the queue and returns it. Fleet events that
    /// precede it are applied.
    pub(crate) fn next_instance_event(&mut self) -> Option<InstanceEvent> {
        while let Some(event) = self.network.queue.pop_due(self.now) {
            match event {
                Event::ReplacementReady(replacement) => self.on_replacement_ready(replacement),
                Event::EndpointRemoved(endpoint) => self.on_endpoint_removed(endpoint),
                Event::Instance(event) => return Some(event),
            }
        }
        None
    }

    /// Removes old requests at regular intervals, and advances the clock by one tick.
    pub(crate) fn finish_tick(&mut self) {
        let interval = whole_micros(EXPIRY_INTERVAL);
        if self.now.as_micros().is_multiple_of(interval) {
            self.clients.remove_expired(self.now);
        }
        self.now = self.now + TICK;
    }

    /// Returns the current request rate and mix of routes.
    pub(crate) fn traffic_pattern(&self) -> TrafficPattern {
        if self.confounder.is_active(Confounder::Burst, self.now) {
            TrafficPattern::Burst
        } else if self.confounder.is_active(Confounder::HeavyRoute, self.now) {
            TrafficPattern::HeavyRoute
        } else {
            TrafficPattern::Normal
        }
    }

    /// Records a request from a client and returns its id. Retries do not add to the offered
    /// weight.
    pub(crate) fn record_request(&mut self, request: ClientRequest) -> RequestId {
        let id = self.network.queue.next_request_id();
        if !request.is_retry {
            let weight = ROUTES[request.route.get()].priority_weight;
            self.served_weight.add_offered(request.arrived_at, weight);
        }
        self.clients.insert(id, request);
        id
    }

    /// Returns the idempotency key of a request, if the settings bind keys to a build.
    pub(crate) fn idempotency_key(&self, request: RequestId) -> Option<String> {
        match self.case.profile {
            SettingsProfile::Standard => None,
            SettingsProfile::Strict => {
                Some(format!("key{}", request.get() % IDEMPOTENCY_KEY_COUNT))
            }
        }
    }

    /// Finishes a request without an answer; the client may retry.
    pub(crate) fn finish_unanswered_request(&mut self, request: RequestId) {
        let Some(retry) = self.clients.finish_unanswered(request) else {
            return;
        };
        let notification = Notification::ClientRetry(ClientRetry { route: retry.route });
        self.network
            .queue
            .notify(self.now + retry.after, retry.instance, notification);
    }

    fn on_replacement_ready(&mut self, replacement: Replacement) {
        let draining = self.fleet.complete_replacement(replacement);
        self.network.list_endpoint(self.now, replacement.endpoint);
        self.network.list_endpoint(self.now, draining);
        self.network
            .queue
            .schedule(self.now + DRAIN_TIME, Event::EndpointRemoved(draining));
    }

    fn on_endpoint_removed(&mut self, endpoint: EndpointId) {
        self.fleet.endpoint_mut(endpoint).state = EndpointState::Removed;
        self.network.list_endpoint(self.now, endpoint);
    }
}
