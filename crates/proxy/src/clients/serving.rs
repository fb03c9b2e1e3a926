//! Reading what clients send, taking their requests, and closing their connections in time.

use std::io;
use std::ops::ControlFlow;

use slog::{debug, info};
use thiserror::Error;
use tidescale_policy::Balancer;
use tidescale_policy::settings::Idempotency;
use tidescale_policy::types::{IncomingRequest, Timestamp};

use super::connection::{ClientState, MessageStep};
use super::pending_requests::PendingRequest;
use super::stages::{Stage, WRITING_LIMIT};
use super::{Clients, RECENT};
use crate::buffers::{Chain, Fill};
use crate::connection::{Component, IoContext, Owner};
use crate::postgres::statement::StatementError;
use crate::postgres::{self, ClientStatement, ProtocolError, sqlstate};

/// Reads from one connection in one event-loop iteration, so that others are served too.
const READS_AT_ONCE: usize = 4;

/// Why a statement of a client cannot be served.
///
/// Its text goes to the client that sent it, so that a change of it changes the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
enum RequestError {
    #[error(transparent)]
    Statement(#[from] StatementError),
    #[error("an unknown route")]
    UnknownRoute,
    #[error("no key")]
    MissingKey,
    /// Two clients would await the response to one id.
    #[error("the id of an open req")]
    IdInUse,
}

/// A statement that can be served.
struct AcceptedStatement<'a> {
    statement: ClientStatement<'a>,
    /// Index of its route.
    route: usize,
    is_repeatable: bool,
}

impl AcceptedStatement<'_> {
    fn to_pending(&self, client: u64, text: &str, context: &IoContext) -> PendingRequest {
        let mut statement = Chain::new(&context.pool);
        statement.push(text.as_bytes());
        PendingRequest {
            client: Some(client),
            request_id: self.statement.request_id.to_string(),
            is_repeatable: self.is_repeatable,
            statement,
            wait_range: self.statement.wait_range.clone(),
            attempts: Vec::new(),
        }
    }
}

impl Clients {
    /// Reads what a client has sent, and passes its requests to the policy.
    pub fn serve(&mut self, key: u64, context: &mut IoContext, policy: &mut Balancer) {
        for _ in 0..READS_AT_ONCE {
            if self.serve_once(key, context, policy).is_break() {
                break;
            }
        }
        self.settle(key, context, policy);
    }

    /// Reads once and deals with what has come; goes on where there may be more.
    fn serve_once(
        &mut self,
        key: u64,
        context: &mut IoContext,
        policy: &mut Balancer,
    ) -> ControlFlow<()> {
        let Some(client) = self.connections.get_mut(key) else {
            return ControlFlow::Break(());
        };
        // One that has gone reads no response, whatever it sent before.
        if client.connection.flush().is_err() {
            self.close(key, context, policy);
            return ControlFlow::Break(());
        }
        if client.is_closing() {
            if client.discard_input() {
                self.close(key, context, policy);
            }
            return ControlFlow::Break(());
        }
        let Ok(fill) = self.read(key, context) else {
            self.close(key, context, policy);
            return ControlFlow::Break(());
        };
        if fill == Fill::Starved {
            self.starved.push(key);
            self.free_buffers(key, context, policy);
        }
        if let Err(error) = self.handle_messages(key, context, policy) {
            info!(context.log, "client sent what can't be read"; "why" => %error);
            self.refuse(key, sqlstate::PROTOCOL_VIOLATION, &error.to_string());
        }
        let may_read_on = self
            .connections
            .get(key)
            .is_some_and(|client| client.takes_messages() && client.connection.has_more());
        if may_read_on && fill != Fill::Starved {
            ControlFlow::Continue(())
        } else {
            ControlFlow::Break(())
        }
    }

    /// Reads what a client has sent; an end of the connection is an error.
    fn read(&mut self, key: u64, context: &IoContext) -> io::Result<Fill> {
        let Some(client) = self.connections.get_mut(key) else {
            return Err(io::ErrorKind::NotFound.into());
        };
        let wanted = client.bytes_wanted(&context.clients_pool);
        let held_before = client.connection.input.len();
        let read = client.connection.read(wanted);
        let count = client.connection.input.len() - held_before;
        client.arrivals.record(count, context.now);
        match read? {
            Fill::Ended => Err(io::ErrorKind::UnexpectedEof.into()),
            // The end can stand behind more than is read ahead.
            Fill::Enough if client.connection.has_hung_up() => {
                Err(io::ErrorKind::UnexpectedEof.into())
            }
            fill => Ok(fill),
        }
    }

    /// Refuses the connection that has held buffers longest for a message that does not end.
    fn free_buffers(&mut self, wanted_by: u64, context: &mut IoContext, policy: &mut Balancer) {
        let longest = self
            .stages
            .in_stage_before(Stage::ReceivingMessage, context.now - RECENT)
            .find(|key| *key != wanted_by);
        if let Some(key) = longest {
            info!(
                context.log,
                "buffers are short, an unfinished message gives way"
            );
            // The rest of it may stand unread: the client must hear that it has not been executed.
            self.refuse(
                key,
                sqlstate::TOO_MANY_CONNECTIONS,
                "too many unfinished messages",
            );
            self.settle(key, context, policy);
        }
    }

    fn refuse(&mut self, key: u64, code: &str, reason: &str) {
        if let Some(client) = self.connections.get_mut(key) {
            client.refuse(code, reason);
        }
    }

    /// Deals with messages in their order, up to the next request, which has to be answered first.
    fn handle_messages(
        &mut self,
        key: u64,
        context: &IoContext,
        policy: &mut Balancer,
    ) -> Result<(), ProtocolError> {
        let mut body = Vec::new();
        while let Some(client) = self
            .connections
            .get_mut(key)
            .filter(|client| client.takes_messages())
        {
            match client.handle_message(&mut body, context.now)? {
                MessageStep::Incomplete => return Ok(()),
                MessageStep::Handled => {}
                MessageStep::Query { arrived_at } => {
                    let text = postgres::query(&body)?;
                    if text.trim().is_empty() {
                        client.answer_empty_query();
                    } else {
                        self.handle_query(key, text, arrived_at, context, policy);
                    }
                }
            }
        }
        Ok(())
    }

    /// Passes a client's request to the policy, or tells the client why it cannot be served.
    fn handle_query(
        &mut self,
        key: u64,
        text: &str,
        arrived_at: Timestamp,
        context: &IoContext,
        policy: &mut Balancer,
    ) {
        let accepted = self.accept_statement(text);
        let Some(client) = self.connections.get_mut(key) else {
            return;
        };
        let accepted = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                info!(context.log, "client sent a statement that can't be served"; "why" => %error);
                return client.reject_statement(&error.to_string());
            }
        };
        let statement = &accepted.statement;
        let request = IncomingRequest {
            route: accepted.route.into(),
            idempotency_key: Some(statement.code),
            time_remaining: statement.wait.saturating_sub(context.now - arrived_at),
            cost_hint: None,
        };
        let pending = accepted.to_pending(key, text, context);
        if let Some(number) = self.requests.insert(pending) {
            client.state = ClientState::AwaitingResponse { request: number };
            policy.on_request(number.into(), request);
        }
    }

    fn accept_statement<'a>(&self, text: &'a str) -> Result<AcceptedStatement<'a>, RequestError> {
        let statement = postgres::parse_statement(text)?;
        let (route, settings) = self
            .routes
            .iter()
            .enumerate()
            .find(|(_, route)| route.name == statement.route)
            .ok_or(RequestError::UnknownRoute)?;
        let needs_key = matches!(settings.idempotency, Idempotency::IdempotencyKey { .. });
        if needs_key && statement.key.is_none() {
            return Err(RequestError::MissingKey);
        }
        if self.requests.has_request_id(statement.request_id) {
            return Err(RequestError::IdInUse);
        }
        Ok(AcceptedStatement {
            statement,
            route,
            is_repeatable: settings.idempotency != Idempotency::NotIdempotent,
        })
    }

    /// Writes what waits, closes what is done, and notes the connection's stage.
    pub(super) fn settle(&mut self, key: u64, context: &mut IoContext, policy: &mut Balancer) {
        let Some(client) = self.connections.get_mut(key) else {
            return;
        };
        if client.connection.flush().is_err() {
            return self.close(key, context, policy);
        }
        // Whoever has sent something since has a request on its way.
        let is_done = self.is_shutting_down && client.is_done_at_shutdown();
        if is_done && client.connection.is_silent() {
            return self.close(key, context, policy);
        }
        let stage = client.stage();
        if stage == Stage::Closing {
            if client.connection.output.is_empty() {
                client.connection.end_sending();
            }
            // What it sends beyond the limit stays unread.
            if client.has_more_to_discard() {
                self.pending.push(key);
            }
        } else if client.takes_messages()
            && client.may_have_message()
            && !self.starved.contains(&key)
        {
            self.pending.push(key);
        }
        self.place(key, stage, context);
        while self.stages.idle_count() > self.max_idle && self.close_longest_idle(context, policy) {
        }
    }

    /// Notes a connection's stage, and its time limit where the stage is another one than before.
    pub(super) fn place(&mut self, key: u64, stage: Stage, context: &mut IoContext) {
        if !self.stages.place(key, stage, context.now) {
            return;
        }
        let owner = Owner::new(Component::Client, key);
        match stage.time_limit() {
            Some(limit) => context.deadlines.set(owner, context.now + limit),
            None => context.deadlines.clear(owner),
        }
    }

    /// Clients hold only so many connections, and some send one request and keep theirs for good. Whether one was
    /// closed.
    fn close_longest_idle(&mut self, context: &mut IoContext, policy: &mut Balancer) -> bool {
        let has_sent_nothing = |key: &u64| {
            self.connections
                .get(*key)
                .is_some_and(|client| client.connection.is_silent())
        };
        let longest = self
            .stages
            .in_stage_before(Stage::Idle, context.now - RECENT)
            .find(has_sent_nothing);
        let Some(key) = longest else {
            return false;
        };
        debug!(
            context.log,
            "too many clients are idle, the longest is closed"
        );
        self.close(key, context, policy);
        true
    }

    /// A connection has been in its stage for as long as it may.
    pub fn on_deadline(&mut self, key: u64, context: &mut IoContext, policy: &mut Balancer) {
        // After a stall of the proxy itself, what was waited for may have come.
        self.serve(key, context, policy);
        let Some(client) = self.connections.get(key) else {
            return;
        };
        let Some(placement) = self.stages.get(key) else {
            return;
        };
        let Some(limit) = placement.stage.time_limit() else {
            return;
        };
        // A client that awaits a response is kept until it goes away.
        let is_awaiting = client.pending_request().is_some();
        let due = if placement.stage == Stage::Writing && is_awaiting {
            context.now + WRITING_LIMIT
        } else {
            placement.since + limit
        };
        let owner = Owner::new(Component::Client, key);
        if context.now < due {
            return context.deadlines.set(owner, due);
        }
        if placement.stage != Stage::Closing && !client.connection.is_silent() {
            // What has come was not read, for want of buffers or of reads: there may be a whole request in it.
            return context.deadlines.set(owner, context.now + RECENT);
        }
        if placement.stage != Stage::ReceivingMessage {
            return self.close(key, context, policy);
        }
        info!(context.log, "client did not finish a message in time");
        self.refuse(
            key,
            sqlstate::PROTOCOL_VIOLATION,
            "a message without its end",
        );
        self.settle(key, context, policy);
    }

    pub(super) fn close(&mut self, key: u64, context: &mut IoContext, policy: &mut Balancer) {
        context.deadlines.clear(Owner::new(Component::Client, key));
        let Some(client) = self.connections.remove(key) else {
            return;
        };
        self.stages.remove(key);
        if let Some(request) = client.pending_request() {
            self.forget_client(request, policy);
        }
    }

    fn forget_client(&mut self, request: u64, policy: &mut Balancer) {
        if let Some(pending) = self.requests.get_mut(request) {
            pending.client = None;
            policy.on_client_disconnected(request.into());
            self.requests.remove_if_finished(request);
        }
    }

    /// Ends a connection whose handling has panicked.
    pub fn close_after_panic(&mut self, key: u64, context: &mut IoContext, policy: &mut Balancer) {
        self.close(key, context, policy);
    }
}
