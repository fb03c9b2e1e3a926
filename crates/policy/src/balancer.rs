//! The state of an instance, made of the parts that its modules own, and look-ups across them.

use std::collections::BTreeMap;

use oorandom::Rand64;

use crate::decisions::{
    CLASS_PRIOR, DECAY_TIMES, EVIDENCE_PARAMETERS, LOAD_REPORT_DECAY_TIME, MIN_LATENCY_ANSWERS,
};
use crate::endpoints::{DecayTimes, Endpoint, EndpointLoad, Endpoints};
use crate::evidence::EvaluationState;
use crate::exposure::Exposure;
use crate::latency::{ClassBaseline, LatencyBaselines};
use crate::requests::Requests;
use crate::schedule::Schedule;
use crate::settings::Settings;
use crate::statistics::DecayingSums;
use crate::traffic::Traffic;
use crate::types::{EndpointState, RolloutPhase, Timestamp, whole_micros};
use crate::votes::VotingState;

/// Where the newest build's rollout stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rollout {
    /// The newest build.
    pub build: u32,
    /// Stage of its evaluation.
    pub stage: u32,
    /// Phase of its rollout.
    pub phase: RolloutPhase,
    /// Share of the requests that may be attempted at it.
    pub traffic_cap: f64,
    /// When stage and phase began.
    pub since: Timestamp,
}

/// What an instance knows of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointStatus {
    /// As the endpoint list has it.
    pub state: EndpointState,
    /// This instance's attempts in flight there.
    pub in_flight: f64,
    /// Requests in flight that it last reported.
    pub reported_load: f64,
}

/// Time as the current step has it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// The time of the current step.
    pub now: Timestamp,
    /// When this instance started.
    pub started_at: Timestamp,
    /// The step comes late: this instance stood still, and times measured in it tell of nothing
    /// else.
    pub stalled: bool,
}

/// Times to answer against the baseline, and answers, by zone.
#[derive(Clone, Copy, Debug)]
pub struct ZoneSlowdowns {
    /// Of endpoints in this instance's zone.
    pub own: DecayingSums<2>,
    /// Of endpoints in other zones.
    pub other: DecayingSums<2>,
}

impl ZoneSlowdowns {
    /// Both as of now, with so many answers at the baseline to start with.
    pub(crate) fn read(&mut self, prior: f64, now: Timestamp) -> ZoneComparison {
        let slowdown = |[sum, answers]: [f64; 2]| (sum + prior) / (answers + prior);
        ZoneComparison {
            own: slowdown(self.own.read(now)),
            other: slowdown(self.other.read(now)),
        }
    }
}

/// Slowdowns by zone, as of one time.
pub(crate) struct ZoneComparison {
    /// Of this instance's zone.
    pub(crate) own: f64,
    /// Of other zones.
    pub(crate) other: f64,
}

/// One member of a pool that is not empty.
pub(crate) fn draw(random: &mut Rand64, pool: &[usize]) -> usize {
    pool[(random.rand_u64() % pool.len() as u64) as usize]
}

/// The policy of one instance. Its host feeds it with events and calls [`Balancer::step`].
///
/// Parts that tests look into are public; a host uses the methods.
pub struct Balancer {
    /// The told settings.
    pub settings: Settings,
    /// Where the newest build stands, once the platform has told.
    pub rollout: Option<Rollout>,
    /// Time.
    pub clock: Clock,
    /// When this instance ends, once it is known; all requests have their answers by then.
    pub shutdown_deadline: Timestamp,
    /// Source of all random draws.
    pub random: Rand64,
    /// Endpoints and hardware classes.
    pub endpoints: Endpoints,
    /// Open requests and their attempts.
    pub requests: Requests,
    /// Requests and attempts within the exposure window.
    pub exposure: Exposure,
    /// The latest build that has answered an idempotency key, where keys must not go back.
    pub key_builds: BTreeMap<String, u32>,
    /// Baseline latencies by route.
    pub latency: LatencyBaselines,
    /// How the own zone compares with others.
    pub zone_slowdowns: ZoneSlowdowns,
    /// Evidence and what was found by it.
    pub evaluation: EvaluationState,
    /// Votes.
    pub voting: VotingState,
    /// Traffic of this instance, and the limit on it.
    pub traffic: Traffic,
    /// What is due when.
    pub schedule: Schedule,
}

impl Balancer {
    /// An instance that starts now and knows nothing yet.
    pub fn new(settings: Settings, seed: u64, now: Timestamp) -> Self {
        let DecayTimes {
            rates, baselines, ..
        } = DECAY_TIMES;
        let zone = DecayingSums::new(rates);
        let routes = settings.routes.len();
        Balancer {
            rollout: None,
            clock: Clock {
                now,
                started_at: now,
                stalled: false,
            },
            shutdown_deadline: Timestamp::MAX,
            random: Rand64::new(u128::from(seed)),
            endpoints: Endpoints::new(DECAY_TIMES),
            requests: Requests::default(),
            exposure: Exposure::default(),
            key_builds: BTreeMap::new(),
            latency: LatencyBaselines::new(routes, baselines, MIN_LATENCY_ANSWERS),
            zone_slowdowns: ZoneSlowdowns {
                own: zone,
                other: zone,
            },
            evaluation: EvaluationState::new(EVIDENCE_PARAMETERS),
            voting: VotingState::new(now),
            traffic: Traffic::new(DECAY_TIMES),
            schedule: Schedule::new(now, settings.poll_endpoints),
            settings,
        }
    }

    /// State and load of an endpoint, if it is known.
    pub fn endpoint_status(&self, name: &str) -> Option<EndpointStatus> {
        let endpoint = &self.endpoints[self.endpoints.find(name)?];
        Some(EndpointStatus {
            state: endpoint.state,
            in_flight: endpoint.in_flight,
            reported_load: endpoint.reported_load.in_flight,
        })
    }

    /// A route's latency objective in microseconds.
    pub(crate) fn objective_micros(&self, route: usize) -> u64 {
        whole_micros(self.settings.routes[route].latency_objective)
    }

    /// What an endpoint works on; reports of long ago give way to the mean of its class.
    pub(crate) fn endpoint_load(&mut self, index: usize) -> EndpointLoad {
        self.endpoints
            .load(index, self.clock.now, LOAD_REPORT_DECAY_TIME)
    }

    /// What is usual on endpoints of this one's class.
    pub(crate) fn class_baseline(
        &mut self,
        index: usize,
        route: usize,
        cost: f64,
    ) -> Option<ClassBaseline> {
        let now = self.clock.now;
        let expected = self.latency.expected(route, cost, now)?;
        let [slowdown, load, answers] = self.endpoints.class_of(index).baseline.read(now);
        let answers = answers + CLASS_PRIOR;
        Some(ClassBaseline {
            latency: expected * (slowdown + CLASS_PRIOR) / answers,
            load: (load + CLASS_PRIOR) / answers,
        })
    }

    /// The fraction of its capacity that an endpoint has for certain while it warms up.
    pub(crate) fn warm_up_fraction(&self, endpoint: &Endpoint) -> f64 {
        let Some(started_at) = endpoint.started_at else {
            return 1.0;
        };
        let start = self.settings.warm_up_start;
        let age = self.clock.now.micros_since(started_at) as f64;
        let progress = age / whole_micros(self.settings.warm_up_time) as f64;
        (start + (1.0 - start) * progress).min(1.0)
    }

    /// Seconds that sums stand for on this instance, which counts as having run for some time at
    /// least.
    pub(crate) fn span_seconds(&self, sums: &DecayingSums<1>, at_least_micros: u64) -> f64 {
        let lived = self.clock.now.micros_since(self.clock.started_at);
        sums.span_seconds(lived.max(at_least_micros))
    }

    /// The build counts as under evaluation: the rollout has not named it, or not as released.
    /// Without any rollout told, that is each build but the oldest listed.
    pub(crate) fn is_under_evaluation(&self, build: u32) -> bool {
        match self.rollout {
            Some(rollout) => {
                let unreleased = rollout.phase != RolloutPhase::Released;
                build > rollout.build || (build == rollout.build && unreleased)
            }
            None => {
                let listed = self
                    .endpoints
                    .iter()
                    .filter(|e| e.state != EndpointState::Removed);
                listed
                    .map(|endpoint| endpoint.build)
                    .any(|oldest| oldest < build)
            }
        }
    }

    /// Drops evidence that says nothing any more, keys that bind nothing, and names of endpoints
    /// that are gone and that nothing refers to: they come and go for as long as an instance lives.
    pub(crate) fn forget_expired(&mut self) {
        self.evaluation.forget_expired(self.clock.now);
        let listed = self
            .endpoints
            .iter()
            .filter(|e| e.state != EndpointState::Removed);
        if let Some(oldest) = listed.map(|endpoint| endpoint.build).min() {
            self.key_builds.retain(|_, build| *build > oldest);
        }
        let evaluation = &self.evaluation;
        let requests = &self.requests;
        let is_referenced = |index| evaluation.refers_to(index) || requests.refer_to(index);
        self.endpoints.forget_unreferenced(is_referenced);
    }
}
