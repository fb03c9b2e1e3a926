//! A simulated endpoint: cores, a bounded queue, warm-up after the start, and impairments.

use std::collections::VecDeque;
use std::time::Duration;

use tidescale_policy::types::{
    BuildNumber, EndpointState, HardwareClassIndex, Timestamp, fractional_micros,
};

use crate::ids::ZoneIndex;
use crate::parameters::{
    CANDIDATE_BUILD, HARDWARE, HardwareModel, MAX_QUEUED_REQUESTS, WARM_UP_START, WARM_UP_TIME,
};

/// A degradation of an endpoint that its build does not cause.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Impairment {
    /// The service time of each request is multiplied by this factor.
    pub(crate) slowdown: f64,
    /// Probability that a request fails.
    pub(crate) failure_probability: f64,
    /// Whether the endpoint responds to nothing, including health checks.
    pub(crate) unresponsive: bool,
}

impl Impairment {
    pub(crate) const NONE: Impairment = Impairment {
        slowdown: 1.0,
        failure_probability: 0.0,
        unresponsive: false,
    };
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RequestCost {
    /// Cost under the baseline.
    pub(crate) core_micros: CoreMicros,
    /// Cost under the build that the endpoint runs, as a multiple of `core_micros`.
    pub(crate) build_factor: f64,
}

/// Microseconds on a warm core of the faster hardware class, possibly with a fraction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CoreMicros(pub(crate) f64);

/// How an endpoint responds to a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// The endpoint rejects it because its queue is full.
    Rejected,
    /// The endpoint never responds.
    Unanswered,
    /// The endpoint executes it.
    Served {
        /// When the execution ends.
        finished_at: Timestamp,
        /// Number of requests in flight at the endpoint, including this one.
        in_flight: usize,
    },
}

/// Zone and hardware of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Placement {
    /// Availability zone.
    pub(crate) zone: ZoneIndex,
    /// Index into [`HARDWARE`].
    pub(crate) hardware_class: HardwareClassIndex,
}

pub(crate) struct SimulatedEndpoint {
    /// Name in the endpoint list.
    pub(crate) name: String,
    /// Zone and hardware.
    pub(crate) placement: Placement,
    /// The build that the endpoint runs.
    pub(crate) build: BuildNumber,
    /// When the endpoint starts, which may be in the future; `None` if it started long before the
    /// trial.
    pub(crate) started_at: Option<Timestamp>,
    /// State in the endpoint list, once the endpoint is listed.
    pub(crate) state: EndpointState,
    pub(crate) impairment: Impairment,
    /// When each core becomes free.
    cores_free_at: Vec<Timestamp>,
    /// Completion times of the requests in flight, earliest first.
    finish_times: VecDeque<Timestamp>,
}

impl SimulatedEndpoint {
    /// Creates an endpoint without requests or impairment.
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

    pub(crate) fn hardware(&self) -> &'static HardwareModel {
        &HARDWARE[self.placement.hardware_class.get()]
    }

    /// Returns whether the endpoint runs the build that is being rolled out.
    pub(crate) fn runs_candidate(&self) -> bool {
        self.build == CANDIDATE_BUILD
    }

    pub(crate) fn is_removed(&self) -> bool {
        self.state == EndpointState::Removed
    }

    /// Returns the time since the endpoint's start. An endpoint without a start time counts as
    /// running since the clock's origin.
    pub(crate) fn uptime(&self, now: Timestamp) -> Duration {
        now - self.started_at.unwrap_or(Timestamp::ZERO)
    }

    /// Returns the number of requests in flight, after removal of the completed ones.
    pub(crate) fn in_flight(&mut self, now: Timestamp) -> usize {
        while self.finish_times.front().is_some_and(|at| *at <= now) {
            self.finish_times.pop_front();
        }
        self.finish_times.len()
    }

    /// Admits a request and computes its completion time, or rejects it if the queue is full. An
    /// unresponsive endpoint does neither.
    pub(crate) fn admit(&mut self, cost: RequestCost, now: Timestamp) -> Admission {
        if self.impairment.unresponsive {
            return Admission::Unanswered;
        }
        let in_flight = self.in_flight(now);
        if in_flight >= self.cores_free_at.len() + MAX_QUEUED_REQUESTS {
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

    /// Returns how long a core takes to execute a request.
    fn service_time(&self, cost: RequestCost, now: Timestamp) -> Duration {
        let slowdown = cost.build_factor * self.impairment.slowdown / self.warm_up_fraction(now)
            * self.hardware().cost_factor;
        let CoreMicros(core_micros) = cost.core_micros;
        Duration::from_micros((core_micros * slowdown) as u64)
    }

    /// Returns the fraction of the full capacity that is available, which grows linearly during
    /// warm-up.
    fn warm_up_fraction(&self, now: Timestamp) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let progress = fractional_micros(now - started_at) / fractional_micros(WARM_UP_TIME);
        (WARM_UP_START + (1.0 - WARM_UP_START) * progress).min(1.0)
    }

    /// Assigns a request to the core that becomes free first, and returns its completion time.
    fn occupy_core(&mut self, now: Timestamp, service_time: Duration) -> Timestamp {
        let Some(free_at) = self.cores_free_at.iter_mut().min() else {
            return now + service_time;
        };
        *free_at = now.max(*free_at) + service_time;
        *free_at
    }
}
