//! The life of a connection after each time it was served: its stage, its time limit and its end.

use slog::debug;
use tidescale_policy::Balancer;
use tidescale_policy::types::{RequestId, Timestamp};

use super::connection::ClientConnection;
use super::stages::{Placement, Stage, WRITING_LIMIT};
use super::{Clients, MIN_STAGE_AGE};
use crate::context::{EventContext, IoContext, Owner};
use crate::ids::ClientKey;
use crate::log_lines;
use crate::postgres::sqlstate;

impl Clients {
    /// Writes pending output, closes the connection if it is done, and records its stage.
    pub(super) fn settle(&mut self, key: ClientKey, context: &mut EventContext<'_>) {
        let Some(client) = self.connections.get_mut(key) else {
            return;
        };
        if client.connection.flush().is_err() {
            return self.close(key, context);
        }
        // A client that has sent something since has a request in transit.
        let is_done = self.is_shutting_down && client.is_done_at_shutdown();
        if is_done && client.connection.read_would_block() {
            return self.close(key, context);
        }
        let stage = client.stage();
        if stage == Stage::Closing && client.connection.output.is_empty() {
            client.connection.shutdown_write();
        }
        // A starved connection is served again once buffers are free.
        let is_starved = || stage != Stage::Closing && self.starved.contains(&key);
        if has_input_to_handle(client, stage) && !is_starved() {
            self.pending.push(key);
        }
        self.set_stage(key, stage, context.io);
        while self.stages.idle_count() > self.max_idle && self.close_longest_idle(context) {}
    }

    /// Records the stage of a connection, and sets its time limit if the stage has changed.
    pub(super) fn set_stage(&mut self, key: ClientKey, stage: Stage, context: &mut IoContext) {
        if !self.stages.record(key, stage, context.now) {
            return;
        }
        let owner = Owner::client(key);
        match stage.time_limit() {
            Some(limit) => context.deadlines.set(owner, context.now + limit),
            None => context.deadlines.clear(owner),
        }
    }

    /// Closes the connection that has been idle for longest. Returns whether there was one. Some
    /// clients send one request and never close their connection; without this limit they would
    /// hold all descriptors.
    fn close_longest_idle(&mut self, context: &mut EventContext<'_>) -> bool {
        let has_sent_nothing = |key: &ClientKey| {
            self.connections
                .get(*key)
                .is_some_and(|client| client.connection.read_would_block())
        };
        let latest = context.io.now - MIN_STAGE_AGE;
        let longest = self
            .stages
            .in_stage_before(Stage::Idle, latest)
            .find(has_sent_nothing);
        let Some(key) = longest else {
            return false;
        };
        debug!(context.io.log, "longest idle client closed");
        self.close(key, context);
        true
    }

    /// The time limit of a connection's stage has expired.
    pub fn on_deadline(&mut self, key: ClientKey, context: &mut EventContext<'_>) {
        // If the process was stalled, what the connection waits for may have been received already.
        self.serve(key, context);
        let Some(client) = self.connections.get(key) else {
            return;
        };
        let Some(placement) = self.stages.get(key) else {
            return;
        };
        let Some(deadline) = stage_deadline(client, placement, context.io.now) else {
            return;
        };
        let owner = Owner::client(key);
        if context.io.now < deadline {
            return context.io.deadlines.set(owner, deadline);
        }
        if placement.stage != Stage::Closing && !client.connection.read_would_block() {
            // Received bytes were not read, for lack of buffers or because of the limit on reads:
            // they may hold a whole request.
            let retry_at = context.io.now + MIN_STAGE_AGE;
            return context.io.deadlines.set(owner, retry_at);
        }
        if placement.stage != Stage::ReceivingMessage {
            return self.close(key, context);
        }
        log_lines::client_message_timed_out(&context.io.log);
        let code = sqlstate::PROTOCOL_VIOLATION;
        self.refuse(key, code, "a message without its end");
        self.settle(key, context);
    }

    /// Sends an error after which the connection closes.
    pub(super) fn refuse(&mut self, key: ClientKey, code: &str, reason: &str) {
        if let Some(client) = self.connections.get_mut(key) {
            client.refuse(code, reason);
        }
    }

    /// Closes the connection of the client that waits for the response to a request if the client
    /// has disconnected, even if the event loop has not reported that yet.
    pub fn close_if_disconnected(&mut self, id: RequestId, context: &mut EventContext<'_>) {
        let waiting = self.requests.get_mut(id).and_then(|pending| pending.client);
        let Some(key) = waiting else {
            return;
        };
        let is_disconnected = self
            .connections
            .get(key)
            .is_some_and(|client| client.connection.has_hung_up());
        if is_disconnected {
            self.close(key, context);
        }
    }

    /// Closes a connection; the policy learns that the client no longer waits for its pending
    /// request.
    pub(super) fn close(&mut self, key: ClientKey, context: &mut EventContext<'_>) {
        context.io.deadlines.clear(Owner::client(key));
        let Some(client) = self.connections.remove(key) else {
            return;
        };
        self.stages.remove(key);
        if let Some(request) = client.pending_request() {
            self.forget_client(request, context.policy);
        }
    }

    fn forget_client(&mut self, id: RequestId, policy: &mut Balancer) {
        if let Some(pending) = self.requests.get_mut(id) {
            pending.client = None;
            policy.on_client_disconnected(id);
            self.requests.remove_if_finished(id);
        }
    }

    /// Closes a connection whose handler has panicked.
    pub fn close_after_panic(&mut self, key: ClientKey, context: &mut EventContext<'_>) {
        self.close(key, context);
    }
}

/// There is input that can be handled without a report of the event loop.
fn has_input_to_handle(client: &ClientConnection, stage: Stage) -> bool {
    if stage == Stage::Closing {
        // Input beyond the limit is discarded only when the event loop reports more.
        return client.has_more_to_discard();
    }
    client.takes_messages() && client.may_have_message()
}

/// When the time limit of a connection's stage expires; `None` if the stage has none.
fn stage_deadline(
    client: &ClientConnection,
    placement: Placement,
    now: Timestamp,
) -> Option<Timestamp> {
    let limit = placement.stage.time_limit()?;
    // A client that waits for a response is kept until it disconnects.
    let is_awaiting = client.pending_request().is_some();
    if placement.stage == Stage::Writing && is_awaiting {
        Some(now + WRITING_LIMIT)
    } else {
        Some(placement.since + limit)
    }
}
