//! Validating client statements and passing their requests to the policy.

use std::time::Duration;

use thiserror::Error;
use tidescale_policy::settings::Idempotency;
use tidescale_policy::types::{IncomingRequest, RouteIndex, Timestamp};

use super::Clients;
use super::connection::ClientState;
use super::pending_requests::PendingRequest;
use crate::context::EventContext;
use crate::ids::ClientKey;
use crate::log_lines;
use crate::postgres::statement::StatementError;
use crate::postgres::{self, ClientStatement};
use crate::statement_buffers::StatementBuffers;

/// Why a client statement is rejected.
///
/// The texts are part of the wire format: they are sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
enum RequestError {
    #[error(transparent)]
    Statement(#[from] StatementError),
    /// The statement names a route that is not configured.
    #[error("an unknown route")]
    UnknownRoute,
    /// The route requires an idempotency key, and the statement has none.
    #[error("no key")]
    MissingKey,
    /// Another pending request has the same id.
    #[error("the id of an open req")]
    IdInUse,
    /// An earlier request with the same id has finished, may have been executed, and must not be
    /// executed again.
    #[error("the id of a req that may have run")]
    IdExecuted,
}

/// A query as received from a client.
#[derive(Clone, Copy)]
pub(super) struct ReceivedQuery<'a> {
    pub(super) text: &'a str,
    /// When its last byte was received.
    pub(super) arrived_at: Timestamp,
}

struct ValidStatement<'a> {
    text: &'a str,
    statement: ClientStatement<'a>,
    route: RouteIndex,
    idempotency: Idempotency,
    /// How long a client waits in all, over all of its tries.
    longest_wait: Duration,
}

impl ValidStatement<'_> {
    /// Returns the request with a copy of its statement, or `None` if there is no memory for the
    /// copy.
    fn to_pending_request(
        &self,
        client: ClientKey,
        arrived_at: Timestamp,
        buffers: &StatementBuffers,
    ) -> Option<PendingRequest> {
        let may_repeat = self.idempotency == Idempotency::Idempotent;
        Some(PendingRequest {
            client: Some(client),
            client_request_id: self.statement.request_id.to_string(),
            is_repeatable: self.idempotency != Idempotency::NotIdempotent,
            statement: buffers.store(self.text)?,
            time_limit_range: self.statement.time_limit_range.clone(),
            attempt_connections: Vec::new(),
            may_have_executed: false,
            no_repeat_until: (!may_repeat).then_some(arrived_at + self.longest_wait),
        })
    }
}

impl Clients {
    /// Passes the request in a query to the policy. Responds with the reason if the statement is
    /// invalid, and rejects the request if there is no memory for its statement.
    pub(super) fn handle_query(
        &mut self,
        key: ClientKey,
        query: ReceivedQuery<'_>,
        context: &mut EventContext<'_>,
    ) {
        let validated = self.validate_statement(query.text);
        let Some(client) = self.connections.get_mut(key) else {
            return;
        };
        let valid = match validated {
            Ok(valid) => valid,
            Err(error) => {
                log_lines::statement_rejected(&context.io.log, &error);
                return client.reject_statement(&error.to_string());
            }
        };
        let statement = &valid.statement;
        let time_waited = context.io.now - query.arrived_at;
        let request = IncomingRequest {
            route: valid.route,
            idempotency_key: Some(statement.code),
            time_remaining: statement.time_limit.saturating_sub(time_waited),
            cost_hint: None,
        };
        let buffers = &context.io.statement_buffers;
        let Some(pending) = valid.to_pending_request(key, query.arrived_at, buffers) else {
            log_lines::statement_buffers_exhausted(&context.io.log, query.text.len());
            return client.reject_request(context.policy.retry_after(valid.route));
        };
        if let Some(id) = self.requests.insert(pending) {
            client.state = ClientState::AwaitingResponse { request: id };
            context.policy.on_request(id, request);
        }
    }

    fn validate_statement<'a>(&self, text: &'a str) -> Result<ValidStatement<'a>, RequestError> {
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
        if self.requests.has_client_request_id(statement.request_id) {
            return Err(RequestError::IdInUse);
        }
        if self.requests.may_have_executed(statement.request_id) {
            return Err(RequestError::IdExecuted);
        }
        Ok(ValidStatement {
            text,
            route: RouteIndex::new(route),
            idempotency: settings.idempotency,
            longest_wait: settings.client_deadline.max(statement.time_limit),
            statement,
        })
    }
}
