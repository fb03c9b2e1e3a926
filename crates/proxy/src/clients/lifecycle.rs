//! The lifecycle of a connection: updating its stage after each read, its timeout, and closing it.

use slog::debug;
use tidescale_policy::Balancer;
use tidescale_policy::types::{RequestId, Timestamp};

use super::connection::ClientConnection;
use super::stages::{Stage, StageEntry, WRITE_TIMEOUT};
use super::{Clients, MIN_STAGE_AGE};
use crate::context::{EventContext, IoContext, Owner};
use crate::ids::ClientKey;
use crate::log_lines;
use crate::postgres::sqlstate;

impl Clients {
    /// Writes pending output, and closes the connection or records its stage. Then closes the
    /// longest idle connections beyond the limit.
    pub(super) fn finish_serving(&mut self, key: ClientKey, context: &mut EventContext<'_>) {
        let Some(client) = self.connections.get_mut(key) else {
            return;
        };
        if client.connection.flush().is_err() {
            return self.close(key, context);
        }
        // With unread input, the connection stays open: the input may be a request.
        let is_done = self.is_shutting_down && client.is_done_at_shutdown();
        if is_done && client.connection.read_would_block() {
            return self.close(key, context);
        }
        let stage = client.stage();
        if stage == Stage::Closing && client.connection.output.is_empty() {
            client.connection.shutdown_write();
        }
        // A connection in `waiting_for_buffers` is read again once buffers are free.
        let waits_for_buffers =
            || stage != Stage::Closing && self.read_schedule.waits_for_buffers(key);
        if has_input_to_handle(client, stage) && !waits_for_buffers() {
            self.read_schedule.schedule(key);
        }
        self.set_stage(key, stage, context.io);
        while self.stages.idle_count() > self.max_idle_connections
            && self.close_longest_idle(context)
        {}
    }

    /// Records the stage of a connection, and restarts its timeout if the stage has changed.
    pub(super) fn set_stage(&mut self, key: ClientKey, stage: Stage, context: &mut IoContext) {
        if !self.stages.record(key, stage, context.now) {
            return;
        }
        let owner = Owner::client(key);
        match stage.timeout() {
            Some(timeout) => context.deadlines.set(owner, context.now + timeout),
            None => context.deadlines.clear(owner),
        }
    }

    /// Closes the connection that has been idle for longest. Returns whether one could be closed.
    /// Without the limit on idle connections, clients that send one request and never close their
    /// connection would use up all file descriptors.
    fn close_longest_idle(&mut self, context: &mut EventContext<'_>) -> bool {
        let has_no_unread_input = |key: &ClientKey| {
            self.connections
                .get(*key)
                .is_some_and(|client| client.connection.read_would_block())
        };
        let latest = context.io.now - MIN_STAGE_AGE;
        let longest = self
            .stages
            .entered_stage_before(Stage::Idle, latest)
            .find(has_no_unread_input);
        let Some(key) = longest else {
            return false;
        };
        debug!(context.io.log, "longest idle client closed");
        self.close(key, context);
        true
    }

    /// Handles the expired deadline of a connection.
    pub fn on_deadline(&mut self, key: ClientKey, context: &mut EventContext<'_>) {
        // If the process was stalled, what the connection waits for may be available already.
        self.serve(key, context);
        let Some(client) = self.connections.get(key) else {
            return;
        };
        let Some(entry) = self.stages.get(key) else {
            return;
        };
        let Some(deadline) = stage_deadline(client, entry, context.io.now) else {
            return;
        };
        let owner = Owner::client(key);
        if context.io.now < deadline {
            return context.io.deadlines.set(owner, deadline);
        }
        if entry.stage != Stage::Closing && !client.connection.read_would_block() {
            // No buffer was free, or the limit on reads was reached, so bytes are still unread. The
            // unread bytes may contain a complete request.
            let retry_at = context.io.now + MIN_STAGE_AGE;
            return context.io.deadlines.set(owner, retry_at);
        }
        if entry.stage != Stage::ReceivingMessage {
            return self.close(key, context);
        }
        log_lines::client_message_timed_out(&context.io.log);
        let code = sqlstate::PROTOCOL_VIOLATION;
        self.close_with_error(key, code, "a message without its end");
        self.finish_serving(key, context);
    }

    /// Sends a fatal error and starts to close the connection.
    pub(super) fn close_with_error(&mut self, key: ClientKey, code: &str, reason: &str) {
        if let Some(client) = self.connections.get_mut(key) {
            client.close_with_error(code, reason);
        }
    }

    /// Checks whether the client that waits for the response to a request has disconnected, even if
    /// the event loop has not reported that yet. If so, closes the connection.
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

    /// Closes a connection. If it has a pending request, notifies the policy that the client no
    /// longer waits for the response.
    pub(super) fn close(&mut self, key: ClientKey, context: &mut EventContext<'_>) {
        context.io.deadlines.clear(Owner::client(key));
        let Some(client) = self.connections.remove(key) else {
            return;
        };
        self.stages.remove(key);
        if let Some(request) = client.pending_request() {
            self.detach_client(request, context.policy);
        }
    }

    fn detach_client(&mut self, id: RequestId, policy: &mut Balancer) {
        if let Some(pending) = self.requests.get_mut(id) {
            pending.client = None;
            policy.on_client_disconnected(id);
            self.requests.remove_if_finished(id);
        }
    }

    /// Closes a connection after a panic in its handler.
    pub fn close_after_panic(&mut self, key: ClientKey, context: &mut EventContext<'_>) {
        self.close(key, context);
    }
}

/// Whether there is input to handle without waiting for a readiness event.
fn has_input_to_handle(client: &ClientConnection, stage: Stage) -> bool {
    if stage == Stage::Closing {
        // Input beyond the limit is discarded only on a readiness event.
        return client.has_more_to_discard();
    }
    client.accepts_messages() && client.may_have_message()
}

/// Returns when the timeout of a connection's stage expires; `None` if the stage has no timeout.
fn stage_deadline(
    client: &ClientConnection,
    entry: StageEntry,
    now: Timestamp,
) -> Option<Timestamp> {
    let timeout = entry.stage.timeout()?;
    // A connection with a pending request stays open until the client disconnects.
    let is_awaiting = client.pending_request().is_some();
    if entry.stage == Stage::Writing && is_awaiting {
        Some(now + WRITE_TIMEOUT)
    } else {
        Some(entry.since + timeout)
    }
}
