//! Parses events about the rollout.

use tidescale_policy::types::{BuildNumber, RolloutPhase, RolloutStatus, StageIndex, VoteResult};
use tidescale_settings::{parse_duration, parse_number};

use super::Event;
use crate::error::AdapterError;
use crate::fields::{fields, optional_field};
use crate::route_names::RouteNames;

/// Value of the reason field of a `PHASE_TOLD` that is a response to a vote.
const RESPONSE_TO_VOTE: u8 = 1;

/// Parses `PHASE_TOLD <stage> <result> <reason> <phase> <age in ms> <traffic cap> <build>`.
pub(super) fn parse_rollout(line: &str) -> Result<Event<'_>, AdapterError> {
    let [stage, result, reason, phase, age, traffic_cap, build] = fields(line)?;
    let responds_to_vote = parse_number::<u8>(reason)? == RESPONSE_TO_VOTE;
    let result = parse_vote_result(result)?;
    let vote_result = responds_to_vote.then_some(result);
    // The other fields are only valid if the result is `done`.
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

/// Validates `SCORECARD <route> <duration in ms> <age in ms> <outcomes> <lost> <build>`.
pub(super) fn check_scorecard<'a>(
    line: &'a str,
    routes: &RouteNames,
) -> Result<Event<'a>, AdapterError> {
    let [route, duration, age, outcomes, lost, build] = fields(line)?;
    if let Some(duration) = optional_field(duration) {
        parse_duration(duration)?;
    }
    parse_duration(age)?;
    routes.index_of(route)?;
    parse_build(build)?;
    parse_number::<f64>(outcomes)?;
    parse_number::<f64>(lost)?;
    Ok(Event::Unused)
}

fn parse_build(text: &str) -> Result<BuildNumber, AdapterError> {
    Ok(BuildNumber::new(parse_number(text)?))
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
