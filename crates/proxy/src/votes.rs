//! Sends votes on the build under evaluation to the platform, one at a time, over a connection of
//! its own.
//!
//! The policy is notified exactly once of the result of each vote. A vote that was written
//! completely may count even if no response is received.

mod wire;

use std::net::SocketAddr;
use std::time::Duration;

use calloop::Readiness;
use tidescale_policy::Balancer;
use tidescale_policy::types::{Ballot, VoteResult};

use crate::buffers::FillStatus;
use crate::connection::Connection;
use crate::context::{Component, EventContext, IoContext, Owner};
use crate::http;
use crate::log_lines;

pub use wire::{VoteResponse, parse_response};

/// The owner of the connection and of its deadline.
const OWNER: Owner = Owner::only(Component::Votes);
/// How long an idle connection is kept; well below the time after which the platform may close it.
const IDLE_TIMEOUT: Duration = Duration::from_millis(3000);
/// Number of buffered input bytes at which reading pauses until they have been decoded.
const READ_AHEAD_BYTES: usize = 64 * 1024;

/// A vote that waits for its response, and its connection.
struct PendingVote {
    connection: Connection,
    response: http::Response,
    /// Whether the address of the platform has changed since the vote was sent.
    address_changed: bool,
}

/// How a call to the platform, the HTTP request that carries one vote, has ended.
enum CallEnd {
    /// A complete response was received.
    Responded {
        /// Whether the connection can be used for another call.
        reusable: bool,
    },
    /// The connection was lost, timed out or carried an invalid response.
    Broken,
}

impl PendingVote {
    /// Writes and reads as much as possible. Returns how the call ended, or `None` while it
    /// continues.
    fn advance(&mut self) -> Option<CallEnd> {
        let is_open = write_and_read(&mut self.connection);
        let decoded = self.response.read(&mut self.connection.input);
        if self.response.is_complete() || !is_open && self.response.is_complete_at_close() {
            let reusable = is_open
                && self.response.keep_alive
                && self.connection.input.is_empty()
                && !self.address_changed;
            return Some(CallEnd::Responded { reusable });
        }
        (decoded.is_err() || !is_open).then_some(CallEnd::Broken)
    }

    /// Returns the result of a vote whose call ended without a response: unknown if it was written
    /// completely.
    fn result_without_response(&self) -> VoteResult {
        let was_written = self.connection.output.is_empty();
        if was_written {
            VoteResult::Unknown
        } else {
            VoteResult::Failed
        }
    }
}

enum State {
    Disconnected,
    /// The vote could not be sent; the policy has to be notified.
    NotSent,
    /// There is a connection, kept for the next vote.
    Idle(Connection),
    /// A vote is waiting for its response.
    Waiting(Box<PendingVote>),
}

/// The connection for votes, and the vote that waits for its response, if any.
pub struct Votes {
    address: SocketAddr,
    response_timeout: Duration,
    state: State,
}

impl Votes {
    /// Creates a sender of votes to `address`, which waits for each response for at most
    /// `response_timeout`. No connection is open yet.
    pub fn new(address: SocketAddr, response_timeout: Duration) -> Votes {
        Votes {
            address,
            response_timeout,
            state: State::Disconnected,
        }
    }

    /// Whether the policy has to be notified of a vote that could not be sent.
    pub fn has_pending_work(&self) -> bool {
        matches!(self.state, State::NotSent)
    }

    /// Sets the address for the next vote. The response to a vote that was already sent is still
    /// awaited on its own connection.
    pub fn change_address(&mut self, address: SocketAddr, context: &mut IoContext) {
        let is_new = address != self.address;
        self.address = address;
        match &mut self.state {
            State::Waiting(pending) => pending.address_changed |= is_new,
            State::Idle(_) if is_new => self.disconnect(context),
            State::Idle(_) | State::Disconnected | State::NotSent => {}
        }
    }

    fn disconnect(&mut self, context: &mut IoContext) {
        self.state = State::Disconnected;
        context.deadlines.clear(OWNER);
    }

    /// Sends a vote, over the idle connection if there is one.
    pub fn cast_vote(&mut self, ballot: Ballot, context: &mut IoContext) {
        let form = wire::encode_form(ballot);
        let mut connection = match std::mem::replace(&mut self.state, State::Disconnected) {
            // Unexpected input would be taken for the response to this vote.
            State::Idle(connection) if connection.has_no_pending_input() => connection,
            _ => {
                context.deadlines.clear(OWNER);
                match Connection::connect(context, self.address, OWNER) {
                    Ok(connection) => connection,
                    Err(error) => {
                        log_lines::platform_connection_failed(&context.log, &error);
                        self.state = State::NotSent;
                        return;
                    }
                }
            }
        };
        http::write_form_request(&mut connection.output, &self.address.to_string(), &form);
        // A failure is reported by the next read.
        let _ = connection.flush();
        self.state = State::Waiting(Box::new(PendingVote {
            connection,
            response: http::Response::default(),
            address_changed: false,
        }));
        let response_deadline = context.now + self.response_timeout;
        context.deadlines.set(OWNER, response_deadline);
    }

    /// Notifies the policy of a vote that could not be sent.
    pub fn notify_failed_vote(&mut self, policy: &mut Balancer) {
        if matches!(self.state, State::NotSent) {
            self.state = State::Disconnected;
            policy.on_vote_result(VoteResult::Failed);
        }
    }

    /// Records that the connection has become ready.
    pub fn on_ready(&mut self, readiness: Readiness) {
        match &mut self.state {
            State::Idle(connection) => connection.on_ready(readiness),
            State::Waiting(pending) => pending.connection.on_ready(readiness),
            State::Disconnected | State::NotSent => {}
        }
    }

    /// Writes and reads as much as possible, and notifies the policy of the result of the vote once
    /// the call has ended.
    pub fn serve(&mut self, context: &mut EventContext<'_>) {
        match &mut self.state {
            State::Disconnected | State::NotSent => {}
            State::Idle(connection) => {
                let is_open = write_and_read(connection);
                if !is_open || !connection.input.is_empty() {
                    self.disconnect(context.io);
                }
            }
            State::Waiting(pending) => {
                if let Some(end) = pending.advance() {
                    self.finish_call(&end, context);
                }
            }
        }
    }

    fn finish_call(&mut self, end: &CallEnd, context: &mut EventContext<'_>) {
        let State::Waiting(pending) = std::mem::replace(&mut self.state, State::Disconnected)
        else {
            return;
        };
        let keep_connection = match end {
            CallEnd::Broken => {
                notify(pending.result_without_response(), context);
                false
            }
            CallEnd::Responded { reusable } => {
                apply_response(&pending.response, context) && *reusable
            }
        };
        if keep_connection {
            let close_at = context.io.now + IDLE_TIMEOUT;
            context.io.deadlines.set(OWNER, close_at);
            self.state = State::Idle(pending.connection);
        } else {
            context.io.deadlines.clear(OWNER);
        }
    }

    /// Handles an expired time limit: that for a response or that for an idle connection.
    pub fn on_deadline(&mut self, context: &mut EventContext<'_>) {
        match &self.state {
            State::Waiting(_) => self.finish_call(&CallEnd::Broken, context),
            State::Idle(_) | State::Disconnected => self.disconnect(context.io),
            State::NotSent => {}
        }
    }
}

/// Notifies the policy of the response to a vote. Returns whether the response was valid. Input
/// that follows an invalid response could still belong to it.
fn apply_response(response: &http::Response, context: &mut EventContext<'_>) -> bool {
    let Some(parsed) = parse_response(response.status, &response.body) else {
        log_lines::invalid_vote_response(&context.io.log, response.status);
        notify(VoteResult::Unknown, context);
        return false;
    };
    notify(parsed.result, context);
    if let Some(rollout_status) = parsed.rollout_status {
        rollout_status.apply(context.policy);
    }
    true
}

/// Writes and reads as much as possible. Returns whether the connection is still open.
fn write_and_read(connection: &mut Connection) -> bool {
    let flushed = connection.flush();
    let read = connection.read(READ_AHEAD_BYTES);
    flushed.is_ok() && matches!(read, Ok(status) if status != FillStatus::EndOfStream)
}

fn notify(result: VoteResult, context: &mut EventContext<'_>) {
    if !matches!(result, VoteResult::Accepted | VoteResult::Superseded) {
        log_lines::vote_not_counted(&context.io.log, result);
    }
    context.policy.on_vote_result(result);
}
