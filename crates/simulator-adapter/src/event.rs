//! The events of one instance: each message from the simulator is parsed to an [`Event`].

mod requests;
mod rollout;

use std::time::Duration;

use tidescale_policy::types::{
    AttemptId, AttemptOutcome, AttemptResult, IncomingRequest, LoadReport, RequestId,
    RolloutStatus, VoteResult,
};
use tidescale_settings::parse_number;

use crate::batch::EventLine;
use crate::endpoint_list::{EndpointListUpdate, parse_endpoint_list};
use crate::error::AdapterError;
use crate::fields::{fields, message_name};
use crate::route_names::RouteNames;

/// One event for the policy. Names are borrowed from the lines.
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
    /// A client no longer waits for the response to its request (`WITHDRAWN`).
    ClientDisconnected { request_id: RequestId },
    /// The first bytes of a response arrived (`OPENED`).
    ResponseStarted { attempt: AttemptId },
    /// A health check ended (`ECHO`).
    HealthCheckFinished {
        endpoint: &'a str,
        outcome: AttemptOutcome,
        load: Option<LoadReport>,
    },
    /// A client flagged an earlier response of the endpoint as wrong (`CONTESTED`).
    ResponseFlagged { endpoint: &'a str, age: Duration },
    /// A rollout status, the result of this instance's vote, or both (`PHASE_TOLD`).
    Rollout {
        /// `None` if the message is not a response to a vote.
        vote_result: Option<VoteResult>,
        /// `None` unless the result in the message is `done`.
        status: Option<RolloutStatus>,
    },
    /// The endpoint list has changed, or polling it has failed (`ROSTER_CHANGE`).
    EndpointList(EndpointListUpdate<'a>),
    /// A well-formed message that the policy does not use (`WAKEUP`, `SCORECARD`, `MESSAGE`).
    Unused,
}

impl<'a> Event<'a> {
    /// Parses the line of an event for an instance with these routes.
    pub fn parse(event_line: &'a EventLine, routes: &RouteNames) -> Result<Self, AdapterError> {
        let line = event_line.line.as_str();
        match message_name(line) {
            "ASK" => requests::parse_request(line, routes),
            "OUTCOME" => requests::parse_attempt_result(line),
            "WITHDRAWN" => requests::parse_disconnect(line),
            "OPENED" => requests::parse_response_start(line),
            "ECHO" => requests::parse_health_check(line),
            "CONTESTED" => requests::parse_flagged_response(line, routes),
            "PHASE_TOLD" => rollout::parse_rollout(line),
            "ROSTER_CHANGE" => {
                let rows = event_line.endpoint_rows.as_ref();
                Ok(Event::EndpointList(parse_endpoint_list(line, rows)?))
            }
            "WAKEUP" => check_wake_up(line),
            "SCORECARD" => rollout::check_scorecard(line, routes),
            "MESSAGE" => check_message(line),
            _ => Err(AdapterError::UnknownMessage {
                line: line.to_string(),
            }),
        }
    }
}

/// Validates `WAKEUP <token>`.
fn check_wake_up(line: &str) -> Result<Event<'_>, AdapterError> {
    let [token] = fields(line)?;
    parse_number::<u64>(token)?;
    Ok(Event::Unused)
}

/// Validates `MESSAGE <sender> <body>`.
fn check_message(line: &str) -> Result<Event<'_>, AdapterError> {
    let [_sender, _body] = fields(line)?;
    Ok(Event::Unused)
}
