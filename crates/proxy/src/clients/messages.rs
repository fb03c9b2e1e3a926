//! Handling one message of a client, as far as that needs nothing but its connection.

use std::ops::Range;

use tidescale_policy::types::Timestamp;

use super::connection::{ClientConnection, ClientState};
use crate::postgres::framing::{MESSAGE_HEAD, STARTUP_HEAD};
use crate::postgres::{
    self, ClientMessage, ProtocolError, Severity, StartupKind, sqlstate, startup_frame, whole_frame,
};

/// The result of handling the next message.
pub(super) enum MessageStep {
    /// It was not received completely.
    Incomplete,
    /// It was handled.
    Handled,
    /// It is a query; its body was copied.
    Query {
        /// When its last byte was received.
        arrived_at: Timestamp,
    },
}

impl ClientConnection {
    /// Handles the next message if it is complete; `body` holds its body afterwards.
    ///
    /// # Errors
    /// The input is not a valid message.
    pub(super) fn handle_message(
        &mut self,
        body: &mut Vec<u8>,
        now: Timestamp,
    ) -> Result<MessageStep, ProtocolError> {
        if let ClientState::Opening {
            accepted_in_shutdown,
        } = self.state
        {
            return self.handle_startup(accepted_in_shutdown, body, now);
        }
        let Some(frame) = whole_frame::<ClientMessage>(&self.connection.input)? else {
            return Ok(MessageStep::Incomplete);
        };
        if matches!(self.state, ClientState::AwaitingFirstRequest { .. }) {
            self.state = ClientState::Idle;
        }
        let arrived_at = self.take_body(MESSAGE_HEAD..frame.length, body, now);
        let is_skipping = self.state == ClientState::SkippingToSync;
        match frame.kind {
            ClientMessage::Query if !is_skipping => Ok(MessageStep::Query { arrived_at }),
            ClientMessage::Query | ClientMessage::ExtendedQuery | ClientMessage::FunctionCall
                if is_skipping =>
            {
                Ok(MessageStep::Handled)
            }
            kind => {
                self.handle_other(kind);
                Ok(MessageStep::Handled)
            }
        }
    }

    /// Handles a message that is neither a query nor skipped.
    fn handle_other(&mut self, kind: ClientMessage) {
        match kind {
            ClientMessage::Terminate => self.state = ClientState::Closing { discarded: 0 },
            ClientMessage::Sync => {
                self.state = ClientState::Idle;
                postgres::put_ready(&mut self.connection.output);
            }
            ClientMessage::ExtendedQuery => {
                self.state = ClientState::SkippingToSync;
                self.put_unsupported("simple queries only");
            }
            ClientMessage::FunctionCall => {
                self.put_unsupported("no function calls");
                postgres::put_ready(&mut self.connection.output);
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
    ) -> Result<MessageStep, ProtocolError> {
        let Some(frame) = startup_frame(&self.connection.input)? else {
            return Ok(MessageStep::Incomplete);
        };
        self.take_body(STARTUP_HEAD..frame.length, body, now);
        match frame.kind {
            StartupKind::Startup => {
                if !postgres::names_user(body)? {
                    return Err(ProtocolError::NoUser);
                }
                postgres::put_welcome(&mut self.connection.output);
                self.state = ClientState::AwaitingFirstRequest {
                    accepted_in_shutdown,
                };
            }
            // Encryption is refused; the client may continue without it.
            StartupKind::Encryption => self.connection.output.push(b"N"),
            StartupKind::Cancel => self.state = ClientState::Closing { discarded: 0 },
        }
        Ok(MessageStep::Handled)
    }

    /// Removes a message from the input and copies its body, which is at `range`. Returns when its
    /// last byte was received.
    fn take_body(&mut self, range: Range<usize>, body: &mut Vec<u8>, now: Timestamp) -> Timestamp {
        let length = range.end;
        let input = &mut self.connection.input;
        body.clear();
        input.copy_to(range, body);
        input.skip(length);
        self.arrivals.take(length, now)
    }

    /// Answers a query without a statement.
    pub(super) fn answer_empty_query(&mut self) {
        let output = &mut self.connection.output;
        postgres::put_empty_query(output);
        postgres::put_ready(output);
    }

    /// Tells the client why its statement cannot be served; the connection stays open.
    pub(super) fn reject_statement(&mut self, reason: &str) {
        let output = &mut self.connection.output;
        let code = sqlstate::SYNTAX_ERROR;
        postgres::put_error(output, Severity::Error, code, reason, "");
        postgres::put_ready(output);
    }

    fn put_unsupported(&mut self, reason: &str) {
        let code = sqlstate::FEATURE_NOT_SUPPORTED;
        let output = &mut self.connection.output;
        postgres::put_error(output, Severity::Error, code, reason, "");
    }
}
