//! One simulated endpoint: cores, a queue, a warm-up after its start, and trouble of its own.

use std::collections::VecDeque;
use std::time::Duration;

use tidescale_policy::types::{EndpointState, Timestamp, whole_micros};

use crate::parameters::{
    CANDIDATE_BUILD, HARDWARE, HardwareModel, QUEUE_LENGTH, WARM_UP_START, WARM_UP_TIME,
};

/// What ails an endpoint, whatever build it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Impairment {
    /// Requests take so many times as long.
    pub(crate) slowdown: f64,
    /// Share of the requests that fail.
    pub(crate) failure_probability: f64,
    /// Nothing is answered, health checks included.
    pub(crate) unresponsive: bool,
}

impl Impairment {
    /// Nothing ails it.
    pub(crate) const NONE: Impairment = Impairment {
        slowdown: 1.0,
        failure_probability: 0.0,
        unresponsive: false,
    };
}

/// What an endpoint makes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// Its queue is full.
    Rejected,
    /// It will never answer.
    Unanswered,
    /// It will be done with it.
    Served {
        /// When.
        finished_at: Timestamp,
        /// Requests that it then holds, this one included.
        in_flight: usize,
    },
}

/// Where an endpoint stands and what it runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Placement {
    /// Index of its zone.
    pub(crate) zone: usize,
    /// Index into [`HARDWARE`].
    pub(crate) hardware_class: usize,
}

/// One simulated endpoint.
pub(crate) struct SimulatedEndpoint {
    /// Its name in the endpoint list.
    pub(crate) name: String,
    /// Where it stands.
    pub(crate) placement: Placement,
    /// The build that it runs.
    pub(crate) build: u32,
    /// When it started, possibly in the future; none where it has run since long before the trial.
    pub(crate) started_at: Option<Timestamp>,
    /// What discovery says of it once it has been listed.
    pub(crate) state: EndpointState,
    /// What ails it.
    pub(crate) impairment: Impairment,
    /// When each core is free.
    cores_free_at: Vec<Timestamp>,
    /// When what it holds will be finished, the earliest first.
    finish_times: VecDeque<Timestamp>,
}

impl SimulatedEndpoint {
    /// An idle endpoint in good health.
    pub(crate) fn new(
        name: String,
        placement: Placement,
        build: u32,
        started_at: Option<Timestamp>,
    ) -> SimulatedEndpoint {
        let cores = HARDWARE[placement.hardware_class].cores;
        SimulatedEndpoint {
            name,
            placement,
            build,
            started_at,
            state: EndpointState::Ready,
            impairment: Impairment::NONE,
            cores_free_at: vec![Timestamp::ZERO; cores],
            finish_times: VecDeque::new(),
        }
    }

    /// Its hardware.
    pub(crate) fn hardware(&self) -> &'static HardwareModel {
        &HARDWARE[self.placement.hardware_class]
    }

    /// Whether it runs the build that is rolled out.
    pub(crate) fn runs_candidate(&self) -> bool {
        self.build == CANDIDATE_BUILD
    }

    /// Whether it has been taken away.
    pub(crate) fn is_removed(&self) -> bool {
        self.state == EndpointState::Removed
    }

    /// Seconds since its start.
    pub(crate) fn uptime_seconds(&self, now: Timestamp) -> f64 {
        let started_at = self.started_at.unwrap_or(Timestamp::ZERO);
        now.micros_since(started_at) as f64 / 1e6
    }

    /// Requests that it holds.
    pub(crate) fn in_flight(&mut self, now: Timestamp) -> usize {
        while self.finish_times.front().is_some_and(|at| *at <= now) {
            self.finish_times.pop_front();
        }
        self.finish_times.len()
    }

    /// Takes a request that costs so many microseconds of a warm core, times `cost_factor` for the build.
    pub(crate) fn admit(
        &mut self,
        cost_micros: f64,
        cost_factor: f64,
        now: Timestamp,
    ) -> Admission {
        if self.impairment.unresponsive {
            return Admission::Unanswered;
        }
        let in_flight = self.in_flight(now);
        if in_flight >= self.cores_free_at.len() + QUEUE_LENGTH {
            return Admission::Rejected;
        }
        let slowdown = cost_factor * self.impairment.slowdown / self.warm_up_fraction(now)
            * self.hardware().cost_factor;
        let service_time = Duration::from_micros((cost_micros * slowdown) as u64);
        let finished_at = self.occupy_core(now, service_time);
        let position = self.finish_times.partition_point(|at| *at <= finished_at);
        self.finish_times.insert(position, finished_at);
        Admission::Served {
            finished_at,
            in_flight: in_flight + 1,
        }
    }

    /// Share of its capacity that it has.
    fn warm_up_fraction(&self, now: Timestamp) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let progress = now.micros_since(started_at) as f64 / whole_micros(WARM_UP_TIME) as f64;
        (WARM_UP_START + (1.0 - WARM_UP_START) * progress).min(1.0)
    }

    /// Puts a request on the core that is free first, and returns when it is finished.
    fn occupy_core(&mut self, now: Timestamp, service_time: Duration) -> Timestamp {
        let Some(free_at) = self.cores_free_at.iter_mut().min() else {
            return now + service_time;
        };
        *free_at = now.max(*free_at) + service_time;
        *free_at
    }
}
