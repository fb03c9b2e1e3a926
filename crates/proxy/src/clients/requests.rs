//! Validating the statements of clients and passing the requests in them to the policy.

use thiserror::Error;
use tidescale_policy::settings::Idempotency;
use tidescale_policy::types::{IncomingRequest, RouteIndex, Timestamp};

use super::Clients;
use super::connection::ClientState;
use super::pending_requests::PendingRequest;
use crate::buffers::{Chain, Pool};
use crate::context::EventContext;
use crate::ids::ClientKey;
use crate::log_lines;
use crate::postgres::statement::StatementError;
use crate::postgres::{self, ClientStatement};

/// Why a statement of a client cannot be served.
///
/// The text is sent to the client, so that changing it changes the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
enum RequestError {
    #[error(transparent)]
    Statement(#[from] StatementError),
    #[error("an unknown route")]
    UnknownRoute,
    #[error("no key")]
    MissingKey,
    /// Two clients would wait for the response to the same id.
    #[error("the id of an open req")]
    IdInUse,
}

/// A query as received from a client.
#[derive(Clone, Copy)]
pub(super) struct ReceivedQuery<'a> {
    pub(super) text: &'a str,
    /// When its last byte was received.
    pub(super) arrived_at: Timestamp,
}

/// A statement that can be served.
struct AcceptedStatement<'a> {
    text: &'a str,
    statement: ClientStatement<'a>,
    route: RouteIndex,
    is_repeatable: bool,
}

impl AcceptedStatement<'_> {
    fn to_pending(&self, client: ClientKey, pool: &Pool) -> PendingRequest {
        let mut statement = Chain::new(pool);
        statement.push(self.text.as_bytes());
        PendingRequest {
            client: Some(client),
            client_request_id: self.statement.request_id.to_string(),
            is_repeatable: self.is_repeatable,
            statement,
            wait_range: self.statement.wait_range.clone(),
            attempts: Vec::new(),
        }
    }
}

impl Clients {
    /// Passes the request of a client to the policy, or tells the client why it cannot be served.
    pub(super) fn handle_query(
        &mut self,
        key: ClientKey,
        query: ReceivedQuery<'_>,
        context: &mut EventContext<'_>,
    ) {
        let accepted = self.accept_statement(query.text);
        let Some(client) = self.connections.get_mut(key) else {
            return;
        };
        let accepted = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log_lines::statement_rejected(&context.io.log, &error);
                return client.reject_statement(&error.to_string());
            }
        };
        let statement = &accepted.statement;
        let time_waited = context.io.now - query.arrived_at;
        let request = IncomingRequest {
            route: accepted.route,
            idempotency_key: Some(statement.code),
            time_remaining: statement.wait.saturating_sub(time_waited),
            cost_hint: None,
        };
        let pending = accepted.to_pending(key, &context.io.endpoint_pool);
        if let Some(id) = self.requests.insert(pending) {
            client.state = ClientState::AwaitingResponse { request: id };
            context.policy.on_request(id, request);
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
        if self.requests.has_client_request_id(statement.request_id) {
            return Err(RequestError::IdInUse);
        }
        Ok(AcceptedStatement {
            text,
            statement,
            route: RouteIndex::new(route),
            is_repeatable: settings.idempotency != Idempotency::NotIdempotent,
        })
    }
}
