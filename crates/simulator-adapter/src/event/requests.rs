//! Parses events about requests, attempts and health checks.

use std::time::Duration;

use tidescale_policy::types::{AttemptId, AttemptIndex, AttemptResult, IncomingRequest, RequestId};
use tidescale_settings::{parse_duration, parse_flag, parse_number};

use super::Event;
use crate::error::AdapterError;
use crate::fields::{fields, optional_field, parse_load_report, parse_outcome};
use crate::route_names::RouteNames;

/// Parses `ASK <request> <route> <team> <idempotency key> <time remaining in ms> <cost hint>
/// <is repeat> <is update>`.
pub(super) fn parse_request<'a>(
    line: &'a str,
    routes: &RouteNames,
) -> Result<Event<'a>, AdapterError> {
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
    let cost_hint = optional_field(cost_hint).map(parse_number).transpose()?;
    parse_flag(is_repeat)?;
    parse_flag(is_update)?;
    let request = IncomingRequest {
        route: routes.index_of(route)?,
        idempotency_key: optional_field(idempotency_key),
        time_remaining: parse_duration(time_remaining)?,
        cost_hint,
    };
    Ok(Event::Request {
        request_id: parse_request_id(request_id)?,
        request,
    })
}

/// Parses `OUTCOME <request> <attempt> <endpoint> <outcome> <duration in ms> <request finished>
/// <load report>`.
pub(super) fn parse_attempt_result(line: &str) -> Result<Event<'_>, AdapterError> {
    let [
        request_id,
        attempt_index,
        _endpoint,
        outcome,
        duration,
        request_finished,
        load,
    ] = fields(line)?;
    let duration = optional_field(duration).map_or(Ok(Duration::ZERO), parse_duration)?;
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

/// Parses `WITHDRAWN <request>`.
pub(super) fn parse_disconnect(line: &str) -> Result<Event<'_>, AdapterError> {
    let [request_id] = fields(line)?;
    Ok(Event::ClientDisconnected {
        request_id: parse_request_id(request_id)?,
    })
}

/// Parses `OPENED <request> <duration in ms> <endpoint> <attempt>`.
pub(super) fn parse_response_start(line: &str) -> Result<Event<'_>, AdapterError> {
    let [request_id, duration, _endpoint, attempt_index] = fields(line)?;
    parse_duration(duration)?;
    Ok(Event::ResponseStarted {
        attempt: parse_attempt_id(request_id, attempt_index)?,
    })
}

/// Parses `ECHO <endpoint> <outcome> <duration in ms> <load report>`.
pub(super) fn parse_health_check(line: &str) -> Result<Event<'_>, AdapterError> {
    let [endpoint, outcome, _duration, load] = fields(line)?;
    Ok(Event::HealthCheckFinished {
        endpoint,
        outcome: parse_outcome(outcome)?,
        load: parse_load_report(load)?,
    })
}

/// Parses `CONTESTED <endpoint> <route> <age in ms>`.
pub(super) fn parse_flagged_response<'a>(
    line: &'a str,
    routes: &RouteNames,
) -> Result<Event<'a>, AdapterError> {
    let [endpoint, route, age] = fields(line)?;
    routes.index_of(route)?;
    Ok(Event::ResponseFlagged {
        endpoint,
        age: parse_duration(age)?,
    })
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
