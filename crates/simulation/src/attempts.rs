//! Outcome and duration of an attempt, from the endpoint's queue, build and impairment.

use std::time::Duration;

use tidescale_policy::types::{AttemptOutcome, RouteIndex, Timestamp, fractional_micros};

use crate::build_behavior::BuildBehavior;
use crate::endpoint::{Admission, CoreMicros, RequestCost, SimulatedEndpoint};
use crate::fleet::Fleet;
use crate::ids::EndpointId;
use crate::parameters::ROUTES;
use crate::random_stream::{RandomStream, stream};

/// Time that an endpoint takes to respond with an error. Errors bypass the queue.
const FAILURE_TIME: Duration = Duration::from_millis(2);
/// Fraction of the wrong answers that clients report.
const FLAGGED_SHARE: f64 = 0.5;

/// An attempt to be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Attempt {
    /// The target endpoint.
    pub(crate) endpoint: EndpointId,
    /// The request's route.
    pub(crate) route: RouteIndex,
    /// When the attempt is sent.
    pub(crate) sent_at: Timestamp,
    /// When the attempt times out.
    pub(crate) deadline: Timestamp,
}

/// The end of an attempt, computed when the attempt is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptEnd {
    /// The outcome that is reported to the policy.
    pub(crate) outcome: AttemptOutcome,
    /// When the attempt ends.
    pub(crate) at: Timestamp,
    /// Whether an answer to this attempt is complete but wrong.
    pub(crate) wrong_answer: bool,
    /// Number of requests in flight that the endpoint reports.
    pub(crate) reported_in_flight: usize,
}

/// How an endpoint responds to a request that it has admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseKind {
    Answered,
    Failed,
    NeverAnswered,
}

/// The combined effect of the build and of the endpoint's impairment on a request.
struct RequestEffect {
    cost_factor: f64,
    response: ResponseKind,
    wrong_answer: bool,
}

/// The conditions on which the behavior of a build depends.
struct ServingConditions<'a> {
    fleet: &'a Fleet,
    endpoint: &'a SimulatedEndpoint,
    route: RouteIndex,
    in_flight: usize,
    now: Timestamp,
}

/// Draws the costs and outcomes of attempts.
pub(crate) struct AttemptModel {
    candidate: BuildBehavior,
    costs: RandomStream,
    outcomes: RandomStream,
}

impl AttemptModel {
    /// Creates the model for a trial whose candidate has the given behavior.
    pub(crate) fn new(seed: u64, candidate: BuildBehavior) -> AttemptModel {
        AttemptModel {
            candidate,
            costs: RandomStream::new(seed, stream::COSTS),
            outcomes: RandomStream::new(seed, stream::OUTCOMES),
        }
    }

    /// Submits an attempt to its endpoint and returns its end. `draw_hop_delay` draws the one-way
    /// network delay.
    pub(crate) fn resolve(
        &mut self,
        attempt: Attempt,
        fleet: &mut Fleet,
        draw_hop_delay: impl FnOnce() -> Duration,
    ) -> AttemptEnd {
        let core_micros = self.draw_cost(attempt.route);
        let effect = self.draw_effect(attempt, fleet);
        let hop_delay = draw_hop_delay();
        let arrives_at = attempt.sent_at + hop_delay;
        let endpoint = fleet.endpoint_mut(attempt.endpoint);
        if endpoint.is_removed() {
            return AttemptEnd {
                outcome: AttemptOutcome::Refused,
                at: arrives_at,
                wrong_answer: effect.wrong_answer,
                reported_in_flight: 0,
            };
        }
        let cost = RequestCost {
            core_micros,
            build_factor: effect.cost_factor,
        };
        let admission = endpoint.admit(cost, arrives_at);
        attempt_end(attempt, &effect, admission, hop_delay)
    }

    /// Draws whether a client reports a wrong answer.
    pub(crate) fn draw_flagged(&mut self) -> bool {
        self.outcomes.bernoulli(FLAGGED_SHARE)
    }

    fn draw_cost(&mut self, route: RouteIndex) -> CoreMicros {
        let mean = fractional_micros(ROUTES[route.get()].mean_cost);
        CoreMicros(mean * self.costs.unit_mean_erlang())
    }

    /// Draws the effect on an attempt. Every attempt takes two draws, even if the build does not
    /// use them, so that the random numbers of paired trials stay aligned.
    fn draw_effect(&mut self, attempt: Attempt, fleet: &mut Fleet) -> RequestEffect {
        let now = attempt.sent_at;
        let in_flight = fleet.endpoint_mut(attempt.endpoint).in_flight(now);
        let conditions = ServingConditions {
            fleet,
            endpoint: fleet.endpoint(attempt.endpoint),
            route: attempt.route,
            in_flight,
            now,
        };
        let build_draw = self.outcomes.uniform();
        let endpoint_draw = self.outcomes.uniform();
        let mut effect = self.build_effect(build_draw, &conditions);
        if endpoint_draw < conditions.endpoint.impairment.failure_probability {
            effect.response = ResponseKind::Failed;
        }
        effect
    }

    /// Returns the effect of the build alone on a request.
    fn build_effect(&self, draw: f64, conditions: &ServingConditions) -> RequestEffect {
        let mut effect = RequestEffect {
            cost_factor: 1.0,
            response: ResponseKind::Answered,
            wrong_answer: false,
        };
        if let BuildBehavior::SlowsFleet(factor) = self.candidate {
            effect.cost_factor = 1.0 + (factor - 1.0) * conditions.fleet.candidate_share();
        }
        if !conditions.endpoint.runs_candidate() {
            return effect;
        }
        if draw < failure_probability(self.candidate, conditions) {
            effect.response = ResponseKind::Failed;
        }
        match self.candidate {
            BuildBehavior::CostFactor(factor) => effect.cost_factor = factor,
            BuildBehavior::WrongAnswers(probability) => effect.wrong_answer = draw < probability,
            BuildBehavior::NeverAnswers(probability) if draw < probability => {
                effect.response = ResponseKind::NeverAnswered;
            }
            _ => {}
        }
        effect
    }
}

/// Returns the probability that a request fails at an endpoint that runs this build.
fn failure_probability(build: BuildBehavior, conditions: &ServingConditions) -> f64 {
    let endpoint = conditions.endpoint;
    let (applies, probability) = match build {
        BuildBehavior::FailsOnRoute { route, probability } => {
            (route == conditions.route, probability)
        }
        BuildBehavior::FailsWhenBusy(probability) => (
            conditions.in_flight > endpoint.hardware().cores,
            probability,
        ),
        BuildBehavior::FailsAfterUptime {
            uptime,
            probability,
        } => (endpoint.uptime(conditions.now) > uptime, probability),
        BuildBehavior::FailsOnHardware {
            hardware_class,
            probability,
        } => (
            hardware_class == endpoint.placement.hardware_class,
            probability,
        ),
        BuildBehavior::CostFactor(_)
        | BuildBehavior::WrongAnswers(_)
        | BuildBehavior::NeverAnswers(_)
        | BuildBehavior::SlowsFleet(_) => return 0.0,
    };
    if applies { probability } else { 0.0 }
}

/// Combines the endpoint's admission of an attempt with the effect of its build and impairment.
fn attempt_end(
    attempt: Attempt,
    effect: &RequestEffect,
    admission: Admission,
    hop_delay: Duration,
) -> AttemptEnd {
    let round_trip_ends_at = attempt.sent_at + hop_delay + hop_delay;
    let timed_out = AttemptEnd {
        outcome: AttemptOutcome::TimedOut,
        at: attempt.deadline,
        wrong_answer: effect.wrong_answer,
        reported_in_flight: 0,
    };
    match admission {
        Admission::Rejected => AttemptEnd {
            outcome: AttemptOutcome::Overloaded,
            at: round_trip_ends_at,
            ..timed_out
        },
        Admission::Unanswered => timed_out,
        Admission::Served {
            finished_at,
            in_flight,
        } => match effect.response {
            ResponseKind::Failed => AttemptEnd {
                outcome: AttemptOutcome::Failed,
                at: round_trip_ends_at + FAILURE_TIME,
                reported_in_flight: in_flight,
                ..timed_out
            },
            ResponseKind::Answered if finished_at + hop_delay < attempt.deadline => AttemptEnd {
                outcome: AttemptOutcome::Succeeded,
                at: finished_at + hop_delay,
                reported_in_flight: in_flight,
                ..timed_out
            },
            ResponseKind::Answered | ResponseKind::NeverAnswered => timed_out,
        },
    }
}
