//! One client's connection: its life as a state machine, and what it does with each message that needs no table.

use tidescale_policy::types::Timestamp;

use super::arrivals::Arrivals;
use super::stages::Stage;
use crate::buffers::{Pool, SIZE};
use crate::connection::Connection;
use crate::postgres::framing::{MESSAGE_HEAD, STARTUP_HEAD};
use crate::postgres::{
    self, ClientMessage, ProtocolError, Severity, StartupKind, frame_head, sqlstate, startup_frame,
    whole_frame,
};

/// Bytes that are read while a request is pending, and bytes of answers that may wait for a client that sends request
/// after request without reading.
const READ_AHEAD: usize = SIZE;
/// Bytes that are read ahead while buffers are ample: only what has been read is known to have come, and a request's
/// time runs from then.
const FAR_READ_AHEAD: usize = 16 * SIZE;
/// After an error, so many bytes of what still comes are dropped, so that the connection's end does not overtake the
/// error.
const MAX_DISCARDED: usize = 256 * 1024;
/// Bytes dropped in one event-loop iteration.
const DISCARDED_AT_ONCE: usize = MAX_DISCARDED / 4;

/// Where a client's connection is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientState {
    /// The startup message has not come.
    Opening {
        /// It was accepted after SIGTERM, so that its first request is still waited for.
        accepted_in_shutdown: bool,
    },
    /// Open; no message has come since.
    AwaitingFirstRequest {
        /// As for `Opening`.
        accepted_in_shutdown: bool,
    },
    /// Open, and the next message is taken.
    Idle,
    /// An extended query was refused: all up to its Sync goes with it.
    SkippingToSync,
    /// The next message is taken once the pending request has its response.
    AwaitingResponse {
        /// The request's number.
        request: u64,
    },
    /// Closes once all is written and read; what still comes is dropped.
    Closing {
        /// Bytes dropped so far.
        discarded: usize,
    },
}

/// What came of the next message.
pub(super) enum MessageStep {
    /// It has not come whole.
    Incomplete,
    /// It has been dealt with.
    Handled,
    /// It is a query, whose body has been copied.
    Query {
        /// When its last byte came.
        arrived_at: Timestamp,
    },
}

pub(super) struct ClientConnection {
    pub(super) connection: Connection,
    pub(super) state: ClientState,
    pub(super) arrivals: Arrivals,
}

impl ClientConnection {
    pub(super) fn new(connection: Connection, accepted_in_shutdown: bool) -> ClientConnection {
        ClientConnection {
            connection,
            state: ClientState::Opening {
                accepted_in_shutdown,
            },
            arrivals: Arrivals::default(),
        }
    }

    /// Its stage, as its state and the bytes on either side make it.
    pub(super) fn stage(&self) -> Stage {
        let has_unwritten = !self.connection.output.is_empty();
        let has_unused = !self.connection.input.is_empty();
        match self.state {
            ClientState::Closing { .. } => Stage::Closing,
            _ if has_unwritten => Stage::Writing,
            ClientState::AwaitingResponse { .. } => Stage::AwaitingResponse,
            ClientState::Opening { .. } => Stage::Opening,
            _ if has_unused => Stage::ReceivingMessage,
            ClientState::AwaitingFirstRequest { .. } => Stage::AwaitingFirstRequest,
            ClientState::Idle | ClientState::SkippingToSync => Stage::Idle,
        }
    }

    pub(super) fn is_closing(&self) -> bool {
        matches!(self.state, ClientState::Closing { .. })
    }

    /// The number of the request whose response it awaits.
    pub(super) fn pending_request(&self) -> Option<u64> {
        match self.state {
            ClientState::AwaitingResponse { request } => Some(request),
            _ => None,
        }
    }

    /// During shutdown it closes here: it is between requests, and did not come after SIGTERM to send its first.
    pub(super) fn is_done_at_shutdown(&self) -> bool {
        match self.stage() {
            Stage::Idle => true,
            Stage::AwaitingFirstRequest => !matches!(
                self.state,
                ClientState::AwaitingFirstRequest {
                    accepted_in_shutdown: true
                }
            ),
            _ => false,
        }
    }

    /// Whether its next message may be looked at. The answers of a client that sends on and on without reading would
    /// pile up.
    pub(super) fn takes_messages(&self) -> bool {
        let is_awaiting = self.pending_request().is_some();
        !is_awaiting && !self.is_closing() && self.connection.output.len() < READ_AHEAD
    }

    fn is_open(&self) -> bool {
        !matches!(
            self.state,
            ClientState::Opening { .. } | ClientState::Closing { .. }
        )
    }

    /// There may be another message to look at.
    pub(super) fn may_have_message(&self) -> bool {
        let next = || whole_frame::<ClientMessage>(&self.connection.input);
        self.connection.has_more() || self.is_open() && next() != Ok(None)
    }

    /// How many bytes have to be held to look at the next message. Of what follows a pending request only the
    /// beginning is read.
    pub(super) fn bytes_wanted(&self, pool: &Pool) -> usize {
        let read_ahead = if self.is_open() && pool.is_ample() {
            FAR_READ_AHEAD
        } else {
            READ_AHEAD
        };
        if !self.is_open() || !self.takes_messages() {
            return read_ahead;
        }
        match frame_head::<ClientMessage>(&self.connection.input) {
            Ok(Some(frame)) => frame.length.max(read_ahead),
            Ok(None) | Err(_) => read_ahead,
        }
    }

    /// Tells the client why its connection ends. It closes once the client has read that.
    pub(super) fn refuse(&mut self, code: &str, reason: &str) {
        let Connection { input, output, .. } = &mut self.connection;
        postgres::put_error(output, Severity::Fatal, code, reason, "");
        input.skip(input.len());
        self.state = ClientState::Closing { discarded: 0 };
    }

    /// Drops what a closing client still sends. Whether the connection may be closed.
    pub(super) fn discard_input(&mut self) -> bool {
        if !self.connection.output.is_empty() {
            return false;
        }
        let ClientState::Closing { discarded } = &mut self.state else {
            return false;
        };
        // Beyond the limit one more part goes whenever the event loop reports more.
        let limit = match MAX_DISCARDED.checked_sub(*discarded) {
            Some(left) => left.min(DISCARDED_AT_ONCE),
            None => DISCARDED_AT_ONCE,
        };
        let dropped = self.connection.discard(limit);
        *discarded += dropped.bytes;
        dropped.ended
    }

    /// There is more to drop, without waiting for the event loop to report it.
    pub(super) fn has_more_to_discard(&self) -> bool {
        let is_within_limit = match self.state {
            ClientState::Closing { discarded } => discarded < MAX_DISCARDED,
            _ => false,
        };
        is_within_limit && self.connection.has_more()
    }

    /// Deals with the next message, if it is whole; `body` holds its body afterwards.
    ///
    /// # Errors
    /// What came is no message.
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
        let arrived_at = self.take_body(MESSAGE_HEAD, frame.length, body, now);
        let is_skipping = self.state == ClientState::SkippingToSync;
        match frame.kind {
            ClientMessage::Terminate => self.state = ClientState::Closing { discarded: 0 },
            ClientMessage::Sync => {
                self.state = ClientState::Idle;
                postgres::put_ready(&mut self.connection.output);
            }
            ClientMessage::Flush
            | ClientMessage::CopyData
            | ClientMessage::CopyDone
            | ClientMessage::CopyFail => {}
            ClientMessage::ExtendedQuery | ClientMessage::FunctionCall | ClientMessage::Query
                if is_skipping => {}
            ClientMessage::ExtendedQuery => {
                self.state = ClientState::SkippingToSync;
                self.put_unsupported("simple queries only");
            }
            ClientMessage::FunctionCall => {
                self.put_unsupported("no function calls");
                postgres::put_ready(&mut self.connection.output);
            }
            ClientMessage::Query => return Ok(MessageStep::Query { arrived_at }),
        }
        Ok(MessageStep::Handled)
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
        self.take_body(STARTUP_HEAD, frame.length, body, now);
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
            // Encryption is refused; the client goes on without.
            StartupKind::Encryption => self.connection.output.push(b"N"),
            StartupKind::Cancel => self.state = ClientState::Closing { discarded: 0 },
        }
        Ok(MessageStep::Handled)
    }

    /// Takes a message out of the input, and gives the time at which its last byte came.
    fn take_body(
        &mut self,
        head: usize,
        length: usize,
        body: &mut Vec<u8>,
        now: Timestamp,
    ) -> Timestamp {
        let input = &mut self.connection.input;
        body.clear();
        input.copy(head..length, body);
        input.skip(length);
        self.arrivals.take(length, now)
    }

    /// Answers a query without a statement.
    pub(super) fn answer_empty_query(&mut self) {
        let output = &mut self.connection.output;
        postgres::put_empty_query(output);
        postgres::put_ready(output);
    }

    /// Tells the client why its statement cannot be served; the connection goes on.
    pub(super) fn reject_statement(&mut self, reason: &str) {
        let output = &mut self.connection.output;
        let code = sqlstate::SYNTAX_ERROR;
        postgres::put_error(output, Severity::Error, code, reason, "");
        postgres::put_ready(output);
    }

    fn put_unsupported(&mut self, reason: &str) {
        postgres::put_error(
            &mut self.connection.output,
            Severity::Error,
            sqlstate::FEATURE_NOT_SUPPORTED,
            reason,
            "",
        );
    }
}
