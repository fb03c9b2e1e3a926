//! One simulated endpoint: cores, a queue, a warm-up after its start, and impairments.

use std::collections::VecDeque;
use std::time::Duration;

use tidescale_policy::types::{
    BuildNumber, EndpointState, HardwareClassIndex, Timestamp, fractional_micros,
};

use crate::ids::ZoneIndex;
use crate::parameters::{
    CANDIDATE_BUILD, HARDWARE, HardwareModel, QUEUE_LENGTH, WARM_UP_START, WARM_UP_TIME,
};

/// An impairment of an endpoint that its build does not cause.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Impairment {
    /// The time for a request is multiplied by this factor.
    pub(crate) slowdown: f64,
    /// Share of the requests that fail.
    pub(crate) failure_probability: f64,
    /// The endpoint does not respond, not even to health checks.
    pub(crate) unresponsive: bool,
}

impl Impairment {
    /// A healthy endpoint.
    pub(crate) const NONE: Impairment = Impairment {
        slowdown: 1.0,
        failure_probability: 0.0,
        unresponsive: false,
    };
}

/// What a request costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RequestCost {
    /// Microseconds of a warm core of the faster hardware class, under the baseline.
    pub(crate) core_micros: CoreMicros,
    /// Multiple of it under the build that the endpoint runs.
    pub(crate) build_factor: f64,
}

/// Microseconds of a warm core of the faster hardware class, not necessarily whole.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CoreMicros(pub(crate) f64);

/// How an endpoint responds to a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// Its queue is full.
    Rejected,
    /// It will never respond.
    Unanswered,
    /// It executes the request.
    Served {
        /// When the execution ends.
        finished_at: Timestamp,
        /// Requests in flight there, including this one.
        in_flight: usize,
    },
}

/// Zone and hardware of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Placement {
    /// Its zone.
    pub(crate) zone: ZoneIndex,
    /// Index into [`HARDWARE`].
    pub(crate) hardware_class: HardwareClassIndex,
}

/// One simulated endpoint.
pub(crate) struct SimulatedEndpoint {
    /// Its name in the endpoint list.
    pub(crate) name: String,
    /// Its zone and hardware.
    pub(crate) placement: Placement,
    /// The build that it runs.
    pub(crate) build: BuildNumber,
    /// When it started, possibly in the future; `None` if it started long before the trial.
    pub(crate) started_at: Option<Timestamp>,
    /// Its state in the endpoint list, once it is listed.
    pub(crate) state: EndpointState,
    /// Its current impairment.
    pub(crate) impairment: Impairment,
    /// When each core becomes free.
    cores_free_at: Vec<Timestamp>,
    /// When the requests in flight will be finished, the earliest first.
    finish_times: VecDeque<Timestamp>,
}

impl SimulatedEndpoint {
    /// An idle, healthy endpoint.
    pub(crate) fn new(
        name: String,
        placement: Placement,
        build: BuildNumber,
        started_at: Option<Timestamp>,
    ) -> SimulatedEndpoint {
        let cores = HARDWARE[placement.hardware_class.get()].cores;
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
        &HARDWARE[self.placement.hardware_class.get()]
    }

    /// Whether it runs the build that is rolled out.
    pub(crate) fn runs_candidate(&self) -> bool {
        self.build == CANDIDATE_BUILD
    }

    /// Whether it has been removed.
    pub(crate) fn is_removed(&self) -> bool {
        self.state == EndpointState::Removed
    }

    /// Time since its start.
    pub(crate) fn uptime(&self, now: Timestamp) -> Duration {
        now - self.started_at.unwrap_or(Timestamp::ZERO)
    }

    /// Requests in flight there.
    pub(crate) fn in_flight(&mut self, now: Timestamp) -> usize {
        while self.finish_times.front().is_some_and(|at| *at <= now) {
            self.finish_times.pop_front();
        }
        self.finish_times.len()
    }

    /// Takes a request or rejects it.
    pub(crate) fn admit(&mut self, cost: RequestCost, now: Timestamp) -> Admission {
        if self.impairment.unresponsive {
            return Admission::Unanswered;
        }
        let in_flight = self.in_flight(now);
        if in_flight >= self.cores_free_at.len() + QUEUE_LENGTH {
            return Admission::Rejected;
        }
        let finished_at = self.occupy_core(now, self.service_time(cost, now));
        let position = self.finish_times.partition_point(|at| *at <= finished_at);
        self.finish_times.insert(position, finished_at);
        Admission::Served {
            finished_at,
            in_flight: in_flight + 1,
        }
    }

    /// How long a core executes a request.
    fn service_time(&self, cost: RequestCost, now: Timestamp) -> Duration {
        let slowdown = cost.build_factor * self.impairment.slowdown / self.warm_up_fraction(now)
            * self.hardware().cost_factor;
        let CoreMicros(core_micros) = cost.core_micros;
        Duration::from_micros((core_micros * slowdown) as u64)
    }

    /// Share of its full capacity that it has now.
    fn warm_up_fraction(&self, now: Timestamp) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let progress = fractional_micros(now - started_at) / fractional_micros(WARM_UP_TIME);
        (WARM_UP_START + (1.0 - WARM_UP_START) * progress).min(1.0)
    }

    /// Puts a request on the core that becomes free first, and returns when it is finished.
    fn occupy_core(&mut self, now: Timestamp, service_time: Duration) -> Timestamp {
        let Some(free_at) = self.cores_free_at.iter_mut().min() else {
            return now + service_time;
        };
        *free_at = now.max(*free_at) + service_time;
        *free_at
    }
}
