//! Reading from client connections and handling received messages.

use std::io;
use std::ops::ControlFlow;

use tidescale_policy::types::Timestamp;

use super::messages::MessageResult;
use super::requests::ReceivedQuery;
use super::stages::Stage;
use super::{Clients, MIN_STAGE_AGE, retry_after_min_stage_age};
use crate::buffers::FillStatus;
use crate::context::{EventContext, IoContext};
use crate::ids::ClientKey;
use crate::log_lines;
use crate::postgres::{self, ProtocolError, sqlstate};

/// Maximum number of reads from one connection in one event-loop iteration, so that one client that
/// sends without pause does not delay the others.
const MAX_READS_PER_ITERATION: usize = 4;
/// The stages in which a connection may hold buffers for an incomplete message and has no pending
/// request, in the order in which connections are closed to free buffers.
const BUFFER_HOLDING_STAGES: [Stage; 2] = [Stage::Opening, Stage::ReceivingMessage];

impl Clients {
    /// Reads from a connection and passes its requests to the policy.
    pub fn serve(&mut self, key: ClientKey, context: &mut EventContext<'_>) {
        for _ in 0..MAX_READS_PER_ITERATION {
            if self.serve_once(key, context).is_break() {
                break;
            }
        }
        self.finish_serving(key, context);
    }

    /// Reads once and handles the received messages. Continues if there may be more to read.
    fn serve_once(&mut self, key: ClientKey, context: &mut EventContext<'_>) -> ControlFlow<()> {
        self.flush_before_read(key, context)?;
        let Ok(status) = self.read(key, context.io) else {
            self.close(key, context);
            return ControlFlow::Break(());
        };
        if status == FillStatus::PoolExhausted {
            self.read_schedule.wait_for_buffers(key);
            self.free_buffers(key, context);
        }
        if let Err(error) = self.handle_messages(key, context) {
            log_lines::invalid_client_message(&context.io.log, &error);
            self.close_with_error(key, sqlstate::PROTOCOL_VIOLATION, &error.to_string());
        }
        let may_read_on = self
            .connections
            .get(key)
            .is_some_and(|client| client.accepts_messages() && client.connection.may_be_readable());
        if may_read_on && status != FillStatus::PoolExhausted {
            ControlFlow::Continue(())
        } else {
            ControlFlow::Break(())
        }
    }

    /// Writes pending output, and continues if the connection is to be read. If writing fails, the
    /// client cannot receive a response, and the connection closes without a read. The input of a
    /// closing connection is discarded.
    fn flush_before_read(
        &mut self,
        key: ClientKey,
        context: &mut EventContext<'_>,
    ) -> ControlFlow<()> {
        let Some(client) = self.connections.get_mut(key) else {
            return ControlFlow::Break(());
        };
        if client.connection.flush().is_err() {
            self.close(key, context);
            return ControlFlow::Break(());
        }
        if !client.is_closing() {
            return ControlFlow::Continue(());
        }
        let discarded = client.discard_input();
        self.read_schedule.record_read(discarded.bytes);
        if discarded.ended {
            self.close(key, context);
        }
        ControlFlow::Break(())
    }

    /// Reads from a connection; the end of the stream is an error.
    fn read(&mut self, key: ClientKey, context: &IoContext) -> io::Result<FillStatus> {
        let Some(client) = self.connections.get_mut(key) else {
            return Err(io::ErrorKind::NotFound.into());
        };
        let bytes_wanted = client.bytes_wanted(&context.client_buffers);
        let length_before = client.connection.input.len();
        let read = client.connection.read(bytes_wanted);
        let count = client.connection.input.len() - length_before;
        client.arrivals.record(count, context.now);
        self.read_schedule.record_read(count);
        match read? {
            FillStatus::EndOfStream => Err(io::ErrorKind::UnexpectedEof.into()),
            // The read stopped at the read-ahead limit, before the end of the stream.
            FillStatus::Filled if client.connection.has_hung_up() => {
                Err(io::ErrorKind::UnexpectedEof.into())
            }
            status => Ok(status),
        }
    }

    /// Closes a connection that holds buffers for an incomplete message, to make buffers available
    /// to `waiting`, which is not closed.
    fn free_buffers(&mut self, waiting: ClientKey, context: &mut EventContext<'_>) {
        if self.no_buffer_holder_at == Some(context.io.now) {
            return;
        }
        let Some(key) = self.first_buffer_holder(waiting, context.io.now) else {
            log_lines::no_client_buffers_to_free(&context.io.log);
            if !self.holds_buffers(waiting) {
                self.no_buffer_holder_at = Some(context.io.now);
            }
            return retry_after_min_stage_age(context.io);
        };
        log_lines::client_buffers_exhausted(&context.io.log);
        // Tells the client that its message, of which the rest may be unread, was not executed.
        let code = sqlstate::TOO_MANY_CONNECTIONS;
        self.close_with_error(key, code, "too many unfinished messages");
        self.finish_serving(key, context);
    }

    /// Returns the connection to close to free its buffers. Incomplete startup messages come first:
    /// a client usually sends the whole message at once. Within a stage, the connection that has
    /// been in it for longest comes first.
    fn first_buffer_holder(&self, waiting: ClientKey, now: Timestamp) -> Option<ClientKey> {
        let latest = now - MIN_STAGE_AGE;
        BUFFER_HOLDING_STAGES
            .into_iter()
            .flat_map(|stage| self.stages.entered_stage_before(stage, latest))
            .find(|key| *key != waiting && self.holds_buffers(*key))
    }

    /// Whether a connection holds buffers for input.
    fn holds_buffers(&self, key: ClientKey) -> bool {
        let client = self.connections.get(key);
        client.is_some_and(|client| !client.connection.input.is_empty())
    }

    /// Handles messages in order, up to a request. Later messages are handled after its response.
    fn handle_messages(
        &mut self,
        key: ClientKey,
        context: &mut EventContext<'_>,
    ) -> Result<(), ProtocolError> {
        let mut body = Vec::new();
        while let Some(client) = self
            .connections
            .get_mut(key)
            .filter(|client| client.accepts_messages())
        {
            match client.handle_message(&mut body, context.io.now)? {
                MessageResult::Incomplete => return Ok(()),
                MessageResult::Handled => {}
                MessageResult::Query { arrived_at } => {
                    let text = postgres::decode_query(&body)?;
                    if text.trim().is_empty() {
                        client.respond_to_empty_query();
                    } else {
                        self.handle_query(key, ReceivedQuery { text, arrived_at }, context);
                    }
                }
            }
        }
        Ok(())
    }
}
