//! The state of a trial around the instances, made of the other modules' parts, and what moves it from tick to tick.

use tidescale_policy::types::{EndpointState, EvidenceTest, RequestId, RolloutPhase, Timestamp};

use crate::attempts::AttemptModel;
use crate::case::{SettingsProfile, TrialCase};
use crate::clients::{ClientRequest, Clients, TrafficPattern};
use crate::confounder::{Confounder, ConfounderSchedule};
use crate::events::{ClientRetry, Event, InstanceEvent, Notice, RolloutAnnouncement};
use crate::fleet::{Fleet, Replacement};
use crate::network::Network;
use crate::outcome::ServedWeightBySecond;
use crate::parameters::{BASELINE_BUILD, DRAIN_TIME, ROUTES, STAGE_CAPS, START, TICK};
use crate::random_stream::{RandomStream, stream};
use crate::rollout::{PlatformContext, Rollout};

/// Numbers of requests begin here, above those of all events, so that a mix-up would show.
const FIRST_REQUEST_NUMBER: u64 = 1 << 40;
/// Idempotency keys that the clients use, where they use any; each is used by several requests.
const IDEMPOTENCY_KEYS: u64 = 97;

/// Everything around the instances.
pub(crate) struct Environment {
    /// What is run.
    pub(crate) case: TrialCase,
    /// The present tick.
    pub(crate) now: Timestamp,
    /// The endpoints.
    pub(crate) fleet: Fleet,
    /// What happens later, and messages.
    pub(crate) network: Network,
    /// The clients and their requests.
    pub(crate) clients: Clients,
    /// How attempts end.
    pub(crate) attempts: AttemptModel,
    /// The platform.
    pub(crate) rollout: Rollout,
    /// What else goes wrong.
    pub(crate) confounder: ConfounderSchedule,
    /// What the answered requests are worth.
    pub(crate) served_weight: ServedWeightBySecond,
    /// The test on which the first rollback verdict of any instance rests.
    pub(crate) first_verdict_test: Option<EvidenceTest>,
}

impl Environment {
    /// The environment at a trial's start. Draws in this order: the fleet, the clients' rates, the confounder's times.
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
            served_weight: ServedWeightBySecond::new(size.seconds),
            first_verdict_test: None,
        }
    }

    /// Schedules what an instance is notified of at the trial's start, and its first request.
    pub(crate) fn introduce_instance(&mut self, instance: usize) {
        for endpoint in 0..self.fleet.endpoint_count() {
            self.network
                .queue
                .notify(START, instance, Notice::EndpointListed(endpoint));
        }
        let released = RolloutAnnouncement {
            build: BASELINE_BUILD,
            stage: STAGE_CAPS.len() as u32 - 1,
            phase: RolloutPhase::Released,
            traffic_cap: 1.0,
            since: START,
        };
        self.network
            .queue
            .notify(START, instance, Notice::RolloutAnnounced(released));
        let first_arrival = START + self.clients.draw_first_arrival(instance);
        self.network
            .queue
            .notify(first_arrival, instance, Notice::RequestArrived);
    }

    /// Lets the confounder and the platform act in this tick.
    pub(crate) fn step_surroundings(&mut self) {
        self.confounder.step(self.now, &mut self.fleet);
        self.rollout.step(&mut PlatformContext {
            now: self.now,
            fleet: &mut self.fleet,
            network: &mut self.network,
        });
    }

    /// The next event for an instance that is due; events of the fleet that are due before it take effect.
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

    /// Ends the tick.
    pub(crate) fn finish_tick(&mut self) {
        const MICROS_PER_SECOND: u64 = 1_000_000;
        if self.now.as_micros().is_multiple_of(MICROS_PER_SECOND) {
            self.clients.forget_old(self.now);
        }
        self.now = self.now + TICK;
    }

    /// What the clients do at the moment.
    pub(crate) fn traffic_pattern(&self) -> TrafficPattern {
        if self.confounder.is_active(Confounder::Burst, self.now) {
            TrafficPattern::Burst
        } else if self.confounder.is_active(Confounder::HeavyRoute, self.now) {
            TrafficPattern::HeavyRoute
        } else {
            TrafficPattern::Usual
        }
    }

    /// Takes a request from a client and returns its number.
    pub(crate) fn open_request(&mut self, request: ClientRequest) -> RequestId {
        let number = RequestId::new(FIRST_REQUEST_NUMBER + self.network.queue.take_number());
        if !request.is_retry {
            let weight = ROUTES[request.route].priority_weight;
            self.served_weight.add_offered(request.arrived_at, weight);
        }
        self.clients.insert(number, request);
        number
    }

    /// The idempotency key of a request, where the settings bind keys to a build.
    pub(crate) fn idempotency_key(&self, request: RequestId) -> Option<String> {
        match self.case.profile {
            SettingsProfile::Standard => None,
            SettingsProfile::Strict => Some(format!("key{}", request.get() % IDEMPOTENCY_KEYS)),
        }
    }

    /// Ends a request without an answer; its client may send it once more.
    pub(crate) fn give_up_request(&mut self, request: RequestId) {
        let Some(retry) = self.clients.give_up(request) else {
            return;
        };
        let notice = Notice::ClientRetry(ClientRetry { route: retry.route });
        self.network
            .queue
            .notify(self.now + retry.after, retry.instance, notice);
    }

    fn on_replacement_ready(&mut self, replacement: Replacement) {
        let draining = self.fleet.complete_replacement(replacement);
        self.network.list_endpoint(self.now, replacement.endpoint);
        self.network.list_endpoint(self.now, draining);
        self.network
            .queue
            .schedule(self.now + DRAIN_TIME, Event::EndpointRemoved(draining));
    }

    fn on_endpoint_removed(&mut self, endpoint: usize) {
        self.fleet.endpoint_mut(endpoint).state = EndpointState::Removed;
        self.network.list_endpoint(self.now, endpoint);
    }
}
