//! How an attempt ends: by the endpoint's queue, by the build that it runs, and by the endpoint's own trouble.

use std::time::Duration;

use tidescale_policy::types::{AttemptOutcome, Timestamp};

use crate::build_behavior::BuildBehavior;
use crate::endpoint::{Admission, SimulatedEndpoint};
use crate::fleet::Fleet;
use crate::parameters::ROUTES;
use crate::random_stream::{RandomStream, stream};

/// How long an endpoint takes for an attempt that it fails: errors come fast.
const FAILURE_TIME: Duration = Duration::from_millis(2);
/// Share of the wrong answers that clients flag.
const FLAGGED_SHARE: f64 = 0.5;

/// An attempt on its way to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Attempt {
    /// Index of the endpoint.
    pub(crate) endpoint: usize,
    /// Index of the request's route.
    pub(crate) route: usize,
    /// When it was sent.
    pub(crate) sent_at: Timestamp,
    /// When it has timed out.
    pub(crate) deadline: Timestamp,
}

/// How an attempt will end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptEnd {
    /// How.
    pub(crate) outcome: AttemptOutcome,
    /// When.
    pub(crate) at: Timestamp,
    /// A complete answer, but a wrong one.
    pub(crate) wrong_answer: bool,
    /// Requests that the endpoint reports to hold.
    pub(crate) reported_in_flight: usize,
}

/// What an endpoint does with a request that it takes, when its queue is left aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Treatment {
    Answered,
    Failed,
    NeverAnswered,
}

/// What the build and the endpoint's own trouble do to a request.
struct Effect {
    cost_factor: f64,
    treatment: Treatment,
    wrong_answer: bool,
}

/// Where and when a request meets a build.
struct Circumstances<'a> {
    fleet: &'a Fleet,
    endpoint: &'a SimulatedEndpoint,
    route: usize,
    in_flight: usize,
    now: Timestamp,
}

/// Draws costs and ends of attempts.
pub(crate) struct AttemptModel {
    candidate: BuildBehavior,
    costs: RandomStream,
    outcomes: RandomStream,
}

impl AttemptModel {
    /// Attempts where the candidate behaves like this.
    pub(crate) fn new(seed: u64, candidate: BuildBehavior) -> AttemptModel {
        AttemptModel {
            candidate,
            costs: RandomStream::new(seed, stream::COSTS),
            outcomes: RandomStream::new(seed, stream::OUTCOMES),
        }
    }

    /// Puts an attempt on its endpoint and says how it will end. `draw_hop` draws the time of one way there.
    pub(crate) fn resolve(
        &mut self,
        attempt: Attempt,
        fleet: &mut Fleet,
        draw_hop: impl FnOnce() -> Duration,
    ) -> AttemptEnd {
        let now = attempt.sent_at;
        let cost_micros = ROUTES[attempt.route].mean_cost_micros * self.costs.cost_factor();
        let in_flight = fleet.endpoint_mut(attempt.endpoint).in_flight(now);
        let effect = self.draw_effect(&Circumstances {
            fleet,
            endpoint: fleet.endpoint(attempt.endpoint),
            route: attempt.route,
            in_flight,
            now,
        });
        let hop = draw_hop();
        let endpoint = fleet.endpoint_mut(attempt.endpoint);
        if endpoint.is_removed() {
            return AttemptEnd {
                outcome: AttemptOutcome::Refused,
                at: now + hop,
                wrong_answer: effect.wrong_answer,
                reported_in_flight: 0,
            };
        }
        let admission = endpoint.admit(cost_micros, effect.cost_factor, now + hop);
        end_of(attempt, &effect, admission, hop)
    }

    /// Whether a client flags a wrong answer.
    pub(crate) fn draw_flagged(&mut self) -> bool {
        self.outcomes.happens(FLAGGED_SHARE)
    }

    /// Two draws for each attempt, whatever the build: a pair of trials differs by the build alone.
    fn draw_effect(&mut self, circumstances: &Circumstances) -> Effect {
        let build_draw = self.outcomes.uniform();
        let endpoint_draw = self.outcomes.uniform();
        let mut effect = self.build_effect(build_draw, circumstances);
        if endpoint_draw < circumstances.endpoint.impairment.failure_probability {
            effect.treatment = Treatment::Failed;
        }
        effect
    }

    /// What the build alone does to a request.
    fn build_effect(&self, draw: f64, circumstances: &Circumstances) -> Effect {
        let mut effect = Effect {
            cost_factor: 1.0,
            treatment: Treatment::Answered,
            wrong_answer: false,
        };
        if let BuildBehavior::SlowsFleet(factor) = self.candidate {
            effect.cost_factor = 1.0 + (factor - 1.0) * circumstances.fleet.candidate_share();
        }
        if !circumstances.endpoint.runs_candidate() {
            return effect;
        }
        if draw < failure_probability(self.candidate, circumstances) {
            effect.treatment = Treatment::Failed;
        }
        match self.candidate {
            BuildBehavior::CostFactor(factor) => effect.cost_factor = factor,
            BuildBehavior::WrongAnswers(probability) => effect.wrong_answer = draw < probability,
            BuildBehavior::NeverAnswers(probability) if draw < probability => {
                effect.treatment = Treatment::NeverAnswered;
            }
            _ => {}
        }
        effect
    }
}

/// Share of the requests that fail at an endpoint that runs this build.
fn failure_probability(build: BuildBehavior, circumstances: &Circumstances) -> f64 {
    let endpoint = circumstances.endpoint;
    let (applies, probability) = match build {
        BuildBehavior::FailsOnRoute { route, probability } => {
            (route == circumstances.route, probability)
        }
        BuildBehavior::FailsWhenBusy(probability) => (
            circumstances.in_flight > endpoint.hardware().cores,
            probability,
        ),
        BuildBehavior::FailsAfterUptime {
            after_seconds,
            probability,
        } => (
            endpoint.uptime_seconds(circumstances.now) > after_seconds,
            probability,
        ),
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

/// Brings together what the queue and what the build make of an attempt.
fn end_of(attempt: Attempt, effect: &Effect, admission: Admission, hop: Duration) -> AttemptEnd {
    let there_and_back = attempt.sent_at + hop + hop;
    let timed_out = AttemptEnd {
        outcome: AttemptOutcome::TimedOut,
        at: attempt.deadline,
        wrong_answer: effect.wrong_answer,
        reported_in_flight: 0,
    };
    let (finished_at, in_flight) = match admission {
        Admission::Rejected => {
            return AttemptEnd {
                outcome: AttemptOutcome::Overloaded,
                at: there_and_back,
                ..timed_out
            };
        }
        Admission::Unanswered => return timed_out,
        Admission::Served {
            finished_at,
            in_flight,
        } => (finished_at, in_flight),
    };
    let answered_at = finished_at + hop;
    match effect.treatment {
        Treatment::Failed => AttemptEnd {
            outcome: AttemptOutcome::Failed,
            at: there_and_back + FAILURE_TIME,
            reported_in_flight: in_flight,
            ..timed_out
        },
        Treatment::Answered if answered_at < attempt.deadline => AttemptEnd {
            outcome: AttemptOutcome::Succeeded,
            at: answered_at,
            reported_in_flight: in_flight,
            ..timed_out
        },
        Treatment::Answered | Treatment::NeverAnswered => timed_out,
    }
}
