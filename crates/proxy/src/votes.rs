//! Votes on the build under evaluation: calls to the platform, one at a time, over a connection of their own.
//!
//! Whatever becomes of a vote, the policy is notified exactly once. A vote whose bytes were all written may count even
//! if no response comes.

mod wire;

use std::net::SocketAddr;
use std::time::Duration;

use calloop::Readiness;
use slog::info;
use tidescale_policy::Balancer;
use tidescale_policy::types::{Ballot, VoteResult};

use crate::buffers::Fill;
use crate::connection::{Component, Connection, IoContext, Owner};
use crate::http;

pub use wire::{VoteResponse, parse_response};

const OWNER: Owner = Owner::new(Component::Votes, 0);
/// A connection is used again only well inside the time after which the platform may close it.
const IDLE_TIMEOUT: Duration = Duration::from_millis(3000);
const READ_AHEAD: usize = 64 * 1024;

/// A vote that waits for its response.
struct PendingVote {
    connection: Connection,
    response: http::Response,
    /// The platform has moved meanwhile: the connection leads to an earlier address.
    address_changed: bool,
}

/// How the wait for a response has ended.
enum CallEnd {
    /// With a response.
    Responded {
        /// The connection takes another call.
        reusable: bool,
    },
    /// Without one.
    Broken,
}

impl PendingVote {
    /// Writes and reads what the connection takes; none while the response is still due.
    fn progress(&mut self) -> Option<CallEnd> {
        let is_open = exchange(&mut self.connection);
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

    /// What is known of a vote without a response.
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
    /// No connection.
    Disconnected,
    /// The vote could not be sent; the policy has still to be notified.
    NotSent,
    /// The connection stands idle.
    Idle(Connection),
    /// A vote waits for its response.
    Waiting(Box<PendingVote>),
}

/// The caller of votes.
pub struct Votes {
    address: SocketAddr,
    response_timeout: Duration,
    state: State,
}

impl Votes {
    /// Sends votes to `address` and waits so long for each response.
    pub fn new(address: SocketAddr, response_timeout: Duration) -> Votes {
        Votes {
            address,
            response_timeout,
            state: State::Disconnected,
        }
    }

    /// The policy has to be notified of a vote that could not be sent.
    pub fn has_pending_work(&self) -> bool {
        matches!(self.state, State::NotSent)
    }

    /// The next vote goes to this address; one that waits for its response is settled where it went.
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

    /// Sends a vote.
    pub fn cast_vote(&mut self, ballot: Ballot, context: &mut IoContext) {
        let form = wire::form(ballot);
        let mut connection = match std::mem::replace(&mut self.state, State::Disconnected) {
            // Whatever has come unasked would be taken for this vote's response.
            State::Idle(connection) if connection.is_quiet() => connection,
            _ => {
                context.deadlines.clear(OWNER);
                match Connection::open(context, self.address, OWNER) {
                    Ok(connection) => connection,
                    Err(error) => {
                        info!(context.log, "cannot reach the platform"; "error" => %error);
                        self.state = State::NotSent;
                        return;
                    }
                }
            }
        };
        http::put_form(&mut connection.output, &self.address.to_string(), &form);
        // A failure shows at the next read.
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

    /// The connection has become ready.
    pub fn on_ready(&mut self, readiness: Readiness) {
        match &mut self.state {
            State::Idle(connection) => connection.on_ready(readiness),
            State::Waiting(pending) => pending.connection.on_ready(readiness),
            State::Disconnected | State::NotSent => {}
        }
    }

    /// Reads what has come and notifies the policy of the vote's result.
    pub fn serve(&mut self, context: &mut IoContext, policy: &mut Balancer) {
        match &mut self.state {
            State::Disconnected | State::NotSent => {}
            State::Idle(connection) => {
                let is_open = exchange(connection);
                if !is_open || !connection.input.is_empty() {
                    self.disconnect(context);
                }
            }
            State::Waiting(pending) => {
                if let Some(end) = pending.progress() {
                    self.finish_call(&end, context, policy);
                }
            }
        }
    }

    fn finish_call(&mut self, end: &CallEnd, context: &mut IoContext, policy: &mut Balancer) {
        let State::Waiting(pending) = std::mem::replace(&mut self.state, State::Disconnected)
        else {
            return;
        };
        let mut keep_connection = false;
        match end {
            CallEnd::Broken => notify(pending.result_without_response(), context, policy),
            CallEnd::Responded { reusable } => {
                let status = pending.response.status;
                if let Some(response) = parse_response(status, &pending.response.body) {
                    keep_connection = *reusable;
                    notify(response.result, context, policy);
                    if let Some(rollout_status) = response.rollout_status {
                        rollout_status.apply(policy);
                    }
                } else {
                    // Whatever comes next over the connection could be the rest of that.
                    info!(context.log, "cannot read the platform's response to a vote"; "status" => status);
                    notify(VoteResult::Unknown, context, policy);
                }
            }
        }
        if keep_connection {
            context.deadlines.set(OWNER, context.now + IDLE_TIMEOUT);
            self.state = State::Idle(pending.connection);
        } else {
            context.deadlines.clear(OWNER);
        }
    }

    /// No response in time, or no vote for a while.
    pub fn on_deadline(&mut self, context: &mut IoContext, policy: &mut Balancer) {
        match &self.state {
            State::Waiting(_) => self.finish_call(&CallEnd::Broken, context, policy),
            State::Idle(_) | State::Disconnected => self.disconnect(context),
            State::NotSent => {}
        }
    }
}

/// Writes and reads what the connection takes; whether it is still open.
fn exchange(connection: &mut Connection) -> bool {
    let flushed = connection.flush();
    let read = connection.read(READ_AHEAD);
    flushed.is_ok() && matches!(read, Ok(fill) if fill != Fill::Ended)
}

fn notify(result: VoteResult, context: &IoContext, policy: &mut Balancer) {
    if !matches!(result, VoteResult::Accepted | VoteResult::Superseded) {
        info!(context.log, "vote not counted"; "result" => ?result);
    }
    policy.on_vote_result(result);
}
