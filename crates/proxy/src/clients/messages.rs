//! Handling one message of a client, with the state of its own connection only.

use std::ops::Range;
use std::time::Duration;

use tidescale_policy::types::Timestamp;

use super::connection::{ClientConnection, ClientState};
use super::responses::{error_without_detail, put_retryable_rejection};
use crate::postgres::framing::{MESSAGE_HEADER_BYTES, STARTUP_HEADER_BYTES};
use crate::postgres::{
    self, ClientMessage, ProtocolError, StartupKind, complete_frame, sqlstate, startup_frame,
};

/// The result of handling the next message.
pub(super) enum MessageResult {
    /// More input is needed.
    Incomplete,
    Handled,
    /// The message is a query, which the caller has to handle; its body was copied.
    Query {
        /// When the last byte of the message was received.
        arrived_at: Timestamp,
    },
}

impl ClientConnection {
    /// Handles the next message if it is complete, and copies its body to `body`.
    ///
    /// # Errors
    /// The input is not a valid message.
    pub(super) fn handle_message(
        &mut self,
        body: &mut Vec<u8>,
        now: Timestamp,
    ) -> Result<MessageResult, ProtocolError> {
        if let ClientState::Opening {
            accepted_in_shutdown,
        } = self.state
        {
            return self.handle_startup(accepted_in_shutdown, body, now);
        }
        let Some(frame) = complete_frame::<ClientMessage>(&self.connection.input)? else {
            return Ok(MessageResult::Incomplete);
        };
        if matches!(self.state, ClientState::AwaitingFirstRequest { .. }) {
            self.state = ClientState::Idle;
        }
        let arrived_at = self.take_body(MESSAGE_HEADER_BYTES..frame.length, body, now);
        let is_skipping = self.state == ClientState::SkippingToSync;
        match frame.kind {
            ClientMessage::Query if !is_skipping => Ok(MessageResult::Query { arrived_at }),
            ClientMessage::Query | ClientMessage::ExtendedQuery | ClientMessage::FunctionCall
                if is_skipping =>
            {
                Ok(MessageResult::Handled)
            }
            kind => {
                self.handle_non_query(kind);
                Ok(MessageResult::Handled)
            }
        }
    }

    /// Responds to a message that is not a query, or ignores it, and updates the state.
    fn handle_non_query(&mut self, kind: ClientMessage) {
        match kind {
            ClientMessage::Terminate => self.state = ClientState::Closing { discarded_bytes: 0 },
            ClientMessage::Sync => {
                self.state = ClientState::Idle;
                postgres::put_ready_for_query(&mut self.connection.output);
            }
            ClientMessage::ExtendedQuery => {
                self.state = ClientState::SkippingToSync;
                self.put_unsupported_error("simple queries only");
            }
            ClientMessage::FunctionCall => {
                self.put_unsupported_error("no function calls");
                postgres::put_ready_for_query(&mut self.connection.output);
            }
            ClientMessage::Query
            | ClientMessage::Flush
            | ClientMessage::CopyData
            | ClientMessage::CopyDone
            | ClientMessage::CopyFail => {}
        }
    }

    fn handle_startup(
        &mut self,
        accepted_in_shutdown: bool,
        body: &mut Vec<u8>,
        now: Timestamp,
    ) -> Result<MessageResult, ProtocolError> {
        let Some(frame) = startup_frame(&self.connection.input)? else {
            return Ok(MessageResult::Incomplete);
        };
        self.take_body(STARTUP_HEADER_BYTES..frame.length, body, now);
        match frame.kind {
            StartupKind::Startup => {
                if !postgres::startup_has_user(body)? {
                    return Err(ProtocolError::NoUser);
                }
                postgres::put_startup_response(&mut self.connection.output);
                self.state = ClientState::AwaitingFirstRequest {
                    accepted_in_shutdown,
                };
            }
            // Declines encryption; the client may continue without it.
            StartupKind::Encryption => self.connection.output.push(b"N"),
            StartupKind::Cancel => self.state = ClientState::Closing { discarded_bytes: 0 },
        }
        Ok(MessageResult::Handled)
    }

    /// Removes the next message from the input and copies its body, the bytes at `range`, to
    /// `body`. The message ends where `range` ends. Returns when its last byte was received.
    fn take_body(&mut self, range: Range<usize>, body: &mut Vec<u8>, now: Timestamp) -> Timestamp {
        let length = range.end;
        let input = &mut self.connection.input;
        body.clear();
        input.copy_to(range, body);
        input.skip(length);
        self.arrivals.consume(length, now)
    }

    /// Responds to a query without a statement.
    pub(super) fn respond_to_empty_query(&mut self) {
        let output = &mut self.connection.output;
        postgres::put_empty_query_response(output);
        postgres::put_ready_for_query(output);
    }

    /// Responds with the reason why the statement is rejected. The connection stays open.
    pub(super) fn reject_statement(&mut self, reason: &str) {
        let output = &mut self.connection.output;
        postgres::put_error(output, error_without_detail(sqlstate::SYNTAX_ERROR, reason));
        postgres::put_ready_for_query(output);
    }

    /// Responds that the client may retry its request, after `retry_after` if that is at least a
    /// millisecond. The connection stays open.
    pub(super) fn reject_request(&mut self, retry_after: Duration) {
        let output = &mut self.connection.output;
        put_retryable_rejection(output, retry_after);
        postgres::put_ready_for_query(output);
    }

    fn put_unsupported_error(&mut self, reason: &str) {
        let error = error_without_detail(sqlstate::FEATURE_NOT_SUPPORTED, reason);
        postgres::put_error(&mut self.connection.output, error);
    }
}
