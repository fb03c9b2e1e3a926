//! Ending exchanges: forwarding responses to clients and notifying the policy.

use std::time::Duration;

use tidescale_policy::Balancer;
use tidescale_policy::types::{AttemptOutcome, AttemptResult, RequestId};

use super::connection::EndpointConnection;
use super::exchange::{EndedExchange, Exchange, ExchangeKind};
use super::outcomes::{AttemptError, AttemptErrorCause, RequestProgress, ResponseError};
use super::{ExchangeContext, Upstream, set_deadline};
use crate::clients::Clients;
use crate::ids::EndpointConnectionKey;
use crate::log_lines;

impl Upstream {
    /// Records an exchange that has ended without an event on its connection;
    /// [`Upstream::notify_ended_exchanges`] notifies the policy of it.
    pub(super) fn queue_ended_exchange(
        &mut self,
        kind: ExchangeKind,
        endpoint: &str,
        outcome: AttemptOutcome,
    ) {
        self.ended.push(EndedExchange {
            kind,
            endpoint: endpoint.to_string(),
            outcome,
            duration: Duration::ZERO,
            load: None,
        });
    }

    /// Notifies the policy of the exchanges that have ended without an event on their connection.
    pub fn notify_ended_exchanges(&mut self, clients: &mut Clients, policy: &mut Balancer) {
        for ended in std::mem::take(&mut self.ended) {
            ended.notify(clients, policy);
        }
    }

    /// Ends the exchange of a connection if its outcome is known. The connection then waits for
    /// ReadyForQuery, at most for the configured connect timeout. It is closed if the endpoint has
    /// responded before the whole request was written.
    pub(super) fn finish_completed(
        &mut self,
        key: EndpointConnectionKey,
        context: &mut ExchangeContext<'_>,
    ) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Some(outcome) = connection.exchange().and_then(|exchange| exchange.outcome) else {
            return;
        };
        let Some(exchange) = connection.take_exchange() else {
            return;
        };
        let endpoint = connection.endpoint.clone();
        if exchange.progress == RequestProgress::PartlyWritten {
            // The endpoint waits for the rest of the request, which must not be executed any more.
            self.close(key, context.io);
        } else {
            let deadline = context.io.now + self.settings.connect_timeout;
            set_deadline(key, deadline, context.io);
        }
        exchange.finish(endpoint, outcome, context);
    }

    /// Closes a connection that has failed, and ends its exchange.
    pub(super) fn fail(
        &mut self,
        key: EndpointConnectionKey,
        cause: AttemptErrorCause,
        context: &mut ExchangeContext<'_>,
    ) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let was_stale = is_stale(connection, &cause);
        let exchange = connection.take_exchange();
        let endpoint = connection.endpoint.clone();
        if was_stale {
            self.last_stale_at = Some(context.io.now);
        }
        if let AttemptErrorCause::Malformed(error) = &cause {
            log_lines::invalid_endpoint_message(&context.io.log, &endpoint, error);
        }
        self.close(key, context.io);
        if let Some(exchange) = exchange {
            let error = AttemptError {
                progress: exchange.progress,
                cause,
            };
            log_lines::exchange_failed(&context.io.log, &endpoint, &error);
            exchange.finish(endpoint, error.outcome(), context);
        }
    }

    /// Closes a connection whose handler has panicked.
    pub fn close_after_panic(
        &mut self,
        key: EndpointConnectionKey,
        context: &mut ExchangeContext<'_>,
    ) {
        let cause = AttemptErrorCause::Malformed(ResponseError::Panicked);
        self.fail(key, cause, context);
    }

    /// Closes a connection whose deadline has expired: that for connecting, for a response, for
    /// ReadyForQuery or for being idle.
    pub fn on_deadline(&mut self, key: EndpointConnectionKey, context: &mut ExchangeContext<'_>) {
        self.fail(key, AttemptErrorCause::TimedOut, context);
    }
}

/// Whether a reused connection was lost after its request had been written and before any part of
/// the response: it may have been broken already.
fn is_stale(connection: &EndpointConnection, cause: &AttemptErrorCause) -> bool {
    let awaits_response = connection.exchange().is_some_and(Exchange::awaits_response);
    let is_connection_lost = matches!(
        cause,
        AttemptErrorCause::ConnectionBroken(_) | AttemptErrorCause::ConnectionClosed
    );
    connection.is_reused && awaits_response && is_connection_lost
}

impl Exchange {
    /// Notifies the policy that the exchange has ended. Before that, if the exchange is an attempt,
    /// forwards the response to the client if the attempt succeeded, or rejects the client's
    /// request if the endpoint found it invalid.
    fn finish(
        mut self,
        endpoint: String,
        outcome: AttemptOutcome,
        context: &mut ExchangeContext<'_>,
    ) {
        if let ExchangeKind::Attempt(id) = self.kind {
            match outcome {
                AttemptOutcome::Succeeded => self.forward_response(id.request, context),
                AttemptOutcome::InvalidRequest => {
                    context.clients.reject_invalid_request(id.request);
                }
                _ => {}
            }
        }
        let ended = EndedExchange {
            kind: self.kind,
            endpoint,
            outcome,
            duration: context.io.now - self.started_at,
            load: self.load,
        };
        ended.notify(context.clients, context.policy);
    }

    /// Forwards the response to the client. If clients have read so little that there is no memory
    /// for a long response, the request fails instead.
    fn forward_response(&mut self, request: RequestId, context: &mut ExchangeContext<'_>) {
        let response = &mut self.response;
        if context.io.output_buffers.has_room_for(response.len()) {
            return context.clients.complete_request(request, response);
        }
        log_lines::output_buffers_exhausted(&context.io.log, response.len());
        context.clients.fail_request(request);
    }
}

impl EndedExchange {
    fn notify(self, clients: &mut Clients, policy: &mut Balancer) {
        match self.kind {
            ExchangeKind::Attempt(id) => {
                let result = AttemptResult {
                    outcome: self.outcome,
                    duration: self.duration,
                    request_finished: !clients.is_waiting(id.request),
                    load: self.load,
                };
                policy.on_attempt_result(id, result);
                clients.on_attempt_ended(id, self.outcome);
            }
            ExchangeKind::HealthCheck => {
                policy.on_health_check(&self.endpoint, self.outcome, self.load);
            }
        }
    }
}
