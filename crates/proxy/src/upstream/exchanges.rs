//! Attempts and health checks: starting, writing and cancelling them, and notifying the policy of their ends.

use std::time::Duration;

use slog::{debug, info};
use tidescale_policy::Balancer;
use tidescale_policy::types::{AttemptId, AttemptOutcome, AttemptResult, Timestamp};

use super::connection::{Exchange, Job};
use super::outcomes::{AttemptError, AttemptErrorCause, RequestProgress};
use super::{EndedExchange, Upstream, set_deadline};
use crate::buffers::Chain;
use crate::clients::Clients;
use crate::connection::IoContext;
use crate::postgres;

/// The shortest wait that a statement can name.
const MIN_WAIT: Duration = Duration::from_millis(1);

impl Upstream {
    /// Starts the next attempt of a request at an endpoint.
    pub fn start_attempt(
        &mut self,
        request: u64,
        endpoint: &str,
        deadline: Timestamp,
        context: &mut IoContext,
        clients: &mut Clients,
    ) {
        let Some(pending) = clients.request(request) else {
            return;
        };
        let job = Job::Attempt {
            request,
            attempt_index: pending.attempts.len(),
        };
        let connection = self.start(job, endpoint, deadline, context, clients);
        if let Some(pending) = clients.request(request) {
            pending.attempts.push(connection);
        }
    }

    /// Starts a health check of an endpoint.
    pub fn start_health_check(
        &mut self,
        endpoint: &str,
        deadline: Timestamp,
        context: &mut IoContext,
        clients: &mut Clients,
    ) {
        self.start(Job::HealthCheck, endpoint, deadline, context, clients);
    }

    /// Starts an exchange, and gives the connection that carries it.
    fn start(
        &mut self,
        job: Job,
        endpoint: &str,
        deadline: Timestamp,
        context: &mut IoContext,
        clients: &mut Clients,
    ) -> Option<u64> {
        let choice = self.connection_choice(is_repeatable(job, clients), context.now);
        let key = match self.acquire(endpoint, choice, context) {
            Ok(Some(key)) => key,
            Ok(None) => {
                info!(context.log, "no descriptor for an attempt"; "endpoint" => endpoint);
                self.end_unstarted(job, endpoint, AttemptOutcome::NotSent);
                return None;
            }
            Err(error) => {
                info!(context.log, "cannot connect"; "endpoint" => endpoint, "error" => %error);
                self.end_unstarted(job, endpoint, AttemptOutcome::Refused);
                return None;
            }
        };
        let connection = self.connections.get_mut(key)?;
        let answer = Chain::new(&context.pool);
        connection.assign(Exchange::new(job, deadline, context.now, answer));
        connection.last_used_at = context.now;
        let connect_deadline = connection.connect_deadline();
        set_deadline(
            key,
            connect_deadline.map_or(deadline, |at| at.min(deadline)),
            context,
        );
        self.write(key, context, clients);
        Some(key)
    }

    fn end_unstarted(&mut self, job: Job, endpoint: &str, outcome: AttemptOutcome) {
        self.ended.push(EndedExchange {
            job,
            endpoint: endpoint.to_string(),
            outcome,
        });
    }

    /// Writes the request of a connection that can carry it, and what still waits.
    pub(super) fn write(&mut self, key: u64, context: &IoContext, clients: &mut Clients) {
        if self.put_request(key, context, clients).is_none() {
            return;
        }
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let flushed = connection.connection.flush();
        let is_written = connection.connection.output.is_empty();
        if let Some(exchange) = connection.exchange_mut() {
            // Bytes handed to the system on an open connection may arrive.
            if exchange.progress == RequestProgress::PartlyWritten && is_written {
                exchange.progress = RequestProgress::Written;
            }
        }
        // A failure to write shows at the next read, with what the endpoint may still have said before.
        if let Err(error) = flushed {
            debug!(context.log, "cannot write"; "endpoint" => &connection.endpoint, "error" => %error);
        }
    }

    /// Puts the request of a connection that can carry it to its output; none where the request is gone.
    fn put_request(&mut self, key: u64, context: &IoContext, clients: &mut Clients) -> Option<()> {
        let health_check = self.health_check_query();
        let connection = self.connections.get_mut(key)?;
        let Some(exchange) = connection.exchange_to_write() else {
            return Some(());
        };
        let job = exchange.job;
        let wait = (exchange.deadline - context.now).max(MIN_WAIT);
        let output = &mut connection.connection.output;
        match job {
            Job::Attempt { request, .. } => {
                let pending = clients.request(request)?;
                let statement = &pending.statement;
                postgres::put_statement(output, statement, &pending.wait_range, wait);
            }
            Job::HealthCheck => postgres::put_query(output, health_check.text()),
        }
        if let Some(exchange) = connection.exchange_mut() {
            exchange.progress = RequestProgress::PartlyWritten;
        }
        Some(())
    }

    /// Cancels an attempt; the policy is notified of its end in the next iteration, like of any other.
    pub fn cancel_attempt(
        &mut self,
        request: u64,
        attempt_index: usize,
        context: &mut IoContext,
        clients: &mut Clients,
    ) {
        let attempt = clients
            .request(request)
            .and_then(|pending| pending.attempts.get(attempt_index).copied().flatten());
        let Some(key) = attempt else {
            return;
        };
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Some(exchange) = connection.take_exchange() else {
            return;
        };
        let error = AttemptError {
            progress: exchange.progress,
            cause: AttemptErrorCause::Cancelled,
        };
        self.ended.push(EndedExchange {
            job: exchange.job,
            endpoint: connection.endpoint.clone(),
            outcome: error.outcome(),
        });
        self.close(key, context);
    }

    /// Notifies the policy of exchanges that ended outside the handling of events.
    pub fn notify_ended_attempts(&mut self, clients: &mut Clients, policy: &mut Balancer) {
        for ended in std::mem::take(&mut self.ended) {
            match ended.job {
                Job::Attempt {
                    request,
                    attempt_index,
                } => {
                    let result = AttemptResult {
                        outcome: ended.outcome,
                        duration: Duration::ZERO,
                        request_finished: !clients.is_waiting(request),
                        load: None,
                    };
                    policy.on_attempt_result(
                        AttemptId::new(request.into(), attempt_index.into()),
                        result,
                    );
                    clients.on_attempt_ended(request, attempt_index);
                }
                Job::HealthCheck => policy.on_health_check(&ended.endpoint, ended.outcome, None),
            }
        }
    }

    /// Passes a good answer on to the client, and notifies the policy of how an exchange ended.
    pub(super) fn notify_ended(
        &mut self,
        mut exchange: Exchange,
        endpoint: &str,
        outcome: AttemptOutcome,
        context: &IoContext,
        clients: &mut Clients,
        policy: &mut Balancer,
    ) {
        match exchange.job {
            Job::Attempt {
                request,
                attempt_index,
            } => {
                match outcome {
                    AttemptOutcome::Succeeded => {
                        clients.complete_request(request, &mut exchange.answer);
                    }
                    AttemptOutcome::InvalidRequest => clients.answer_invalid_request(request),
                    _ => {}
                }
                let result = AttemptResult {
                    outcome,
                    duration: context.now - exchange.started_at,
                    request_finished: !clients.is_waiting(request),
                    load: exchange.load,
                };
                policy.on_attempt_result(
                    AttemptId::new(request.into(), attempt_index.into()),
                    result,
                );
                clients.on_attempt_ended(request, attempt_index);
            }
            Job::HealthCheck => policy.on_health_check(endpoint, outcome, exchange.load),
        }
    }

    /// Ends a connection that cannot go on, with the exchange that it carries.
    pub(super) fn fail(
        &mut self,
        key: u64,
        cause: AttemptErrorCause,
        context: &mut IoContext,
        clients: &mut Clients,
        policy: &mut Balancer,
    ) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let exchange = connection.take_exchange();
        let endpoint = connection.endpoint.clone();
        let is_unanswered = exchange.as_ref().is_some_and(Exchange::is_unanswered);
        let is_connection_lost = matches!(
            cause,
            AttemptErrorCause::ConnectionBroken(_) | AttemptErrorCause::ConnectionClosed
        );
        if connection.has_served && is_unanswered && is_connection_lost {
            self.last_stale_at = Some(context.now);
        }
        if let AttemptErrorCause::Malformed(error) = &cause {
            info!(context.log, "endpoint sent what can't be read"; "endpoint" => &endpoint, "why" => %error);
        }
        self.close(key, context);
        if let Some(exchange) = exchange {
            let error = AttemptError {
                progress: exchange.progress,
                cause,
            };
            info!(context.log, "attempt or health check failed"; "endpoint" => &endpoint, "failure" => %error);
            self.notify_ended(
                exchange,
                &endpoint,
                error.outcome(),
                context,
                clients,
                policy,
            );
        }
    }
}

fn is_repeatable(job: Job, clients: &mut Clients) -> bool {
    match job {
        Job::Attempt { request, .. } => clients
            .request(request)
            .is_none_or(|pending| pending.is_repeatable),
        Job::HealthCheck => true,
    }
}
