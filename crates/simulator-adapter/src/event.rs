//! What a line tells one instance of the policy: an [`Event`] for each message of the bench.

use std::time::Duration;

use tidescale_policy::types::{
    AttemptId, AttemptIndex, AttemptOutcome, AttemptResult, BuildNumber, IncomingRequest,
    LoadReport, RequestId, RolloutPhase, RolloutStatus, RouteIndex, StageIndex, VoteResult,
};
use tidescale_settings::{parse_duration, parse_flag, parse_number};

use crate::batch::EventLine;
use crate::endpoint_list::{EndpointListUpdate, parse_endpoint_list};
use crate::error::AdapterError;
use crate::fields::{fields, message_name, optional, parse_load_report, parse_outcome};

/// One event for the policy; names borrow from the lines.
pub enum Event<'a> {
    /// A client sent a request (`ASK`).
    Request {
        request_id: RequestId,
        request: IncomingRequest<'a>,
    },
    /// An attempt ended (`OUTCOME`).
    AttemptFinished {
        attempt: AttemptId,
        result: AttemptResult,
    },
    /// A client no longer waits for its request (`WITHDRAWN`).
    ClientDisconnected { request_id: RequestId },
    /// The first bytes of an answer arrived (`OPENED`).
    ResponseStarted { attempt: AttemptId },
    /// A health check ended (`ECHO`).
    HealthCheckFinished {
        endpoint: &'a str,
        outcome: AttemptOutcome,
        load: Option<LoadReport>,
    },
    /// A client found an earlier answer of the endpoint to be wrong (`CONTESTED`).
    AnswerFlagged { endpoint: &'a str, age: Duration },
    /// News of the rollout, an answer to this instance's vote, or both (`PHASE_TOLD`).
    Rollout {
        /// Only in an answer to a vote.
        vote_result: Option<VoteResult>,
        /// Only where the platform has accepted.
        status: Option<RolloutStatus>,
    },
    /// The endpoint list has changed, or could not be fetched (`ROSTER_CHANGE`).
    EndpointList(EndpointListUpdate<'a>),
    /// Well-formed, and nothing that the policy uses (`WAKEUP`, `SCORECARD`, `MESSAGE`).
    Unused,
}

impl<'a> Event<'a> {
    /// Parses an event's line for an instance with these routes.
    pub fn parse(event_line: &'a EventLine, route_names: &[String]) -> Result<Self, AdapterError> {
        let line = event_line.line.as_str();
        match message_name(line) {
            "ASK" => parse_request(line, route_names),
            "OUTCOME" => parse_attempt_result(line),
            "WITHDRAWN" => {
                let [request_id] = fields(line)?;
                let request_id = parse_request_id(request_id)?;
                Ok(Event::ClientDisconnected { request_id })
            }
            "OPENED" => parse_response_start(line),
            "ECHO" => parse_health_check(line),
            "CONTESTED" => parse_flagged_answer(line, route_names),
            "PHASE_TOLD" => parse_rollout(line),
            "ROSTER_CHANGE" => {
                let rows = event_line.endpoint_rows.as_ref();
                Ok(Event::EndpointList(parse_endpoint_list(line, rows)?))
            }
            "WAKEUP" => {
                let [token] = fields(line)?;
                parse_number::<u64>(token)?;
                Ok(Event::Unused)
            }
            "SCORECARD" => check_scorecard(line, route_names),
            "MESSAGE" => {
                let [_sender, _body] = fields(line)?;
                Ok(Event::Unused)
            }
            _ => Err(AdapterError::UnknownMessage {
                line: line.to_string(),
            }),
        }
    }
}

fn parse_request_id(text: &str) -> Result<RequestId, AdapterError> {
    Ok(RequestId::new(parse_number(text)?))
}

fn parse_attempt_id(request_id: &str, attempt_index: &str) -> Result<AttemptId, AdapterError> {
    Ok(AttemptId {
        request: parse_request_id(request_id)?,
        index: AttemptIndex::new(parse_number(attempt_index)?),
    })
}

fn parse_build(text: &str) -> Result<BuildNumber, AdapterError> {
    Ok(BuildNumber::new(parse_number(text)?))
}

fn route_index(name: &str, route_names: &[String]) -> Result<RouteIndex, AdapterError> {
    route_names
        .iter()
        .position(|route_name| route_name == name)
        .map(RouteIndex::new)
        .ok_or_else(|| AdapterError::UnknownRoute {
            name: name.to_string(),
        })
}

fn parse_request<'a>(line: &'a str, route_names: &[String]) -> Result<Event<'a>, AdapterError> {
    let [
        request_id,
        route,
        _team,
        idempotency_key,
        time_remaining,
        cost_hint,
        is_repeat,
        is_update,
    ] = fields(line)?;
    let cost_hint = optional(cost_hint).map(parse_number).transpose()?;
    parse_flag(is_repeat)?;
    parse_flag(is_update)?;
    let request = IncomingRequest {
        route: route_index(route, route_names)?,
        idempotency_key: optional(idempotency_key),
        time_remaining: parse_duration(time_remaining)?,
        cost_hint,
    };
    Ok(Event::Request {
        request_id: parse_request_id(request_id)?,
        request,
    })
}

fn parse_attempt_result(line: &str) -> Result<Event<'_>, AdapterError> {
    let [
        request_id,
        attempt_index,
        _endpoint,
        outcome,
        duration,
        request_finished,
        load,
    ] = fields(line)?;
    let duration = optional(duration).map_or(Ok(Duration::ZERO), parse_duration)?;
    let result = AttemptResult {
        outcome: parse_outcome(outcome)?,
        duration,
        request_finished: parse_flag(request_finished)?,
        load: parse_load_report(load)?,
    };
    Ok(Event::AttemptFinished {
        attempt: parse_attempt_id(request_id, attempt_index)?,
        result,
    })
}

fn parse_response_start(line: &str) -> Result<Event<'_>, AdapterError> {
    let [request_id, duration, _endpoint, attempt_index] = fields(line)?;
    parse_duration(duration)?;
    Ok(Event::ResponseStarted {
        attempt: parse_attempt_id(request_id, attempt_index)?,
    })
}

fn parse_health_check(line: &str) -> Result<Event<'_>, AdapterError> {
    let [endpoint, outcome, _duration, load] = fields(line)?;
    Ok(Event::HealthCheckFinished {
        endpoint,
        outcome: parse_outcome(outcome)?,
        load: parse_load_report(load)?,
    })
}

fn parse_flagged_answer<'a>(
    line: &'a str,
    route_names: &[String],
) -> Result<Event<'a>, AdapterError> {
    let [endpoint, route, age] = fields(line)?;
    route_index(route, route_names)?;
    Ok(Event::AnswerFlagged {
        endpoint,
        age: parse_duration(age)?,
    })
}

fn parse_rollout(line: &str) -> Result<Event<'_>, AdapterError> {
    let [stage, result, reason, phase, age, traffic_cap, build] = fields(line)?;
    let answers_a_vote = parse_number::<u8>(reason)? == 1;
    let result = parse_vote_result(result)?;
    let vote_result = answers_a_vote.then_some(result);
    // Without acceptance the other fields hold nothing of use.
    if result != VoteResult::Accepted {
        return Ok(Event::Rollout {
            vote_result,
            status: None,
        });
    }
    let phase = parse_rollout_phase(phase)?;
    let status = RolloutStatus {
        build: parse_build(build)?,
        stage: StageIndex::new(parse_number(stage)?),
        phase,
        traffic_cap: parse_number(traffic_cap)?,
        age: parse_duration(age)?,
    };
    Ok(Event::Rollout {
        vote_result,
        status: Some(status),
    })
}

fn parse_vote_result(text: &str) -> Result<VoteResult, AdapterError> {
    match text {
        "done" => Ok(VoteResult::Accepted),
        "skipped" => Ok(VoteResult::Superseded),
        "busy" => Ok(VoteResult::Busy),
        "err" => Ok(VoteResult::Failed),
        "etimedout" => Ok(VoteResult::Unknown),
        unknown => Err(AdapterError::UnknownVoteResult {
            text: unknown.to_string(),
        }),
    }
}

fn parse_rollout_phase(text: &str) -> Result<RolloutPhase, AdapterError> {
    match text {
        "0" => Ok(RolloutPhase::Canary),
        "1" => Ok(RolloutPhase::RollingBack),
        "2" => Ok(RolloutPhase::Released),
        "3" => Ok(RolloutPhase::Withdrawn),
        unknown => Err(AdapterError::UnknownRolloutPhase {
            text: unknown.to_string(),
        }),
    }
}

fn check_scorecard<'a>(line: &'a str, route_names: &[String]) -> Result<Event<'a>, AdapterError> {
    let [route, duration, age, outcomes, lost, build] = fields(line)?;
    if let Some(duration) = optional(duration) {
        parse_duration(duration)?;
    }
    parse_duration(age)?;
    route_index(route, route_names)?;
    parse_build(build)?;
    parse_number::<f64>(outcomes)?;
    parse_number::<f64>(lost)?;
    Ok(Event::Unused)
}
