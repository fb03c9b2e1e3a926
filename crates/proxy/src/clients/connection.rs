//! The state of one client connection, and its limits on input.
//!
//! A connection waits for the startup message, then for requests and for the response to each of
//! them. Messages of the client and sent responses change its state. An error, Terminate or a
//! cancel request changes it to closing.

use tidescale_policy::types::RequestId;

use super::arrivals::Arrivals;
use super::stages::Stage;
use crate::buffers::{BUFFER_BYTES, Pool};
use crate::connection::{Connection, Discarded};
use crate::postgres::{self, ClientMessage, ErrorFields, Severity, complete_frame, frame_header};

/// Number of buffered input bytes at which reading pauses if the next message cannot be handled
/// yet, for example while a request is pending. Also the number of unwritten output bytes at which
/// no further message is handled: the client sends requests without reading the responses.
const READ_AHEAD_BYTES: usize = BUFFER_BYTES;
/// Limit on buffered input that replaces [`READ_AHEAD_BYTES`] while more than half of the buffers
/// are free. A request's time limit counts from when it is read, so that reading early measures its
/// arrival more precisely.
const EXTENDED_READ_AHEAD_BYTES: usize = 16 * BUFFER_BYTES;
/// Maximum number of input bytes discarded after an error without waiting for another readiness
/// event. Input is discarded because closing a socket with unread input resets the connection, and
/// the client could not read the error.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Limit on the bytes discarded in one event-loop iteration.
const DISCARDED_BYTES_PER_ITERATION: usize = MAX_DISCARDED_BYTES / 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientState {
    /// Waits for the startup message.
    Opening {
        /// Whether the connection was accepted after SIGTERM; the shutdown then waits for its
        /// first request.
        accepted_in_shutdown: bool,
    },
    /// The startup is complete; no message was received since.
    AwaitingFirstRequest {
        /// As in `Opening`.
        accepted_in_shutdown: bool,
    },
    /// Between requests; the next message is handled.
    Idle,
    /// An extended query was rejected; its remaining messages up to Sync are skipped.
    SkippingToSync,
    /// Waits for the response to a request; later messages are handled after that.
    AwaitingResponse { request: RequestId },
    /// Closes once the output is written and the client has finished sending. Input is discarded.
    Closing {
        /// Bytes discarded so far.
        discarded_bytes: usize,
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

    /// Returns the stage, derived from the state and the buffers.
    pub(super) fn stage(&self) -> Stage {
        let has_unwritten_output = !self.connection.output.is_empty();
        let has_unhandled_input = !self.connection.input.is_empty();
        match self.state {
            ClientState::Closing { .. } => Stage::Closing,
            _ if has_unwritten_output => Stage::Writing,
            ClientState::AwaitingResponse { .. } => Stage::AwaitingResponse,
            ClientState::Opening { .. } => Stage::Opening,
            _ if has_unhandled_input => Stage::ReceivingMessage,
            ClientState::AwaitingFirstRequest { .. } => Stage::AwaitingFirstRequest,
            ClientState::Idle | ClientState::SkippingToSync => Stage::Idle,
        }
    }

    pub(super) fn is_closing(&self) -> bool {
        matches!(self.state, ClientState::Closing { .. })
    }

    /// Returns the request whose response the client waits for, or `None` if it waits for none.
    pub(super) fn pending_request(&self) -> Option<RequestId> {
        match self.state {
            ClientState::AwaitingResponse { request } => Some(request),
            _ => None,
        }
    }

    /// Whether the shutdown may close the connection: it is between requests, and does not wait for
    /// its first request after being accepted during the shutdown.
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

    /// Whether the next message may be handled. The limit on output bounds the memory used by a
    /// client that sends requests without reading responses.
    pub(super) fn accepts_messages(&self) -> bool {
        let is_awaiting = self.pending_request().is_some();
        !is_awaiting && !self.is_closing() && self.connection.output.len() < READ_AHEAD_BYTES
    }

    /// Whether the startup is complete and the connection is not closing.
    fn is_open(&self) -> bool {
        !matches!(
            self.state,
            ClientState::Opening { .. } | ClientState::Closing { .. }
        )
    }

    /// Whether there may be another message to handle.
    pub(super) fn may_have_message(&self) -> bool {
        let next = || complete_frame::<ClientMessage>(&self.connection.input);
        self.connection.may_be_readable() || self.is_open() && next() != Ok(None)
    }

    /// Returns the number of input bytes at which reading pauses: at least the length of the next
    /// message if that can be handled, otherwise only the limit on buffered input. Input that cannot
    /// be handled yet does not take the reserve of the pool: its buffers are freed only after a
    /// response, and messages of other clients need buffers before that.
    pub(super) fn bytes_wanted(&self, pool: &Pool) -> usize {
        let read_ahead = if self.is_open() && pool.is_mostly_free() {
            EXTENDED_READ_AHEAD_BYTES
        } else {
            READ_AHEAD_BYTES
        };
        if !self.accepts_messages() {
            let may_read_ahead = pool.has_more_than_reserve();
            return if may_read_ahead { read_ahead } else { 0 };
        }
        if !self.is_open() {
            return read_ahead;
        }
        match frame_header::<ClientMessage>(&self.connection.input) {
            Ok(Some(frame)) => frame.length.max(read_ahead),
            Ok(None) | Err(_) => read_ahead,
        }
    }

    /// Sends a fatal error and starts to close the connection. It stays open until the client has
    /// read the error.
    pub(super) fn close_with_error(&mut self, code: &str, reason: &str) {
        let Connection { input, output, .. } = &mut self.connection;
        let error = ErrorFields {
            severity: Severity::Fatal,
            code,
            message: reason,
            detail: "",
        };
        postgres::put_error(output, error);
        input.skip(input.len());
        self.state = ClientState::Closing { discarded_bytes: 0 };
    }

    /// Discards the input of a closing connection. It can be closed once the client has finished
    /// sending.
    pub(super) fn discard_input(&mut self) -> Discarded {
        let nothing = Discarded {
            bytes: 0,
            ended: false,
        };
        if !self.connection.output.is_empty() {
            return nothing;
        }
        let ClientState::Closing { discarded_bytes } = &mut self.state else {
            return nothing;
        };
        // Beyond `MAX_DISCARDED_BYTES`, each readiness event discards the limit of one iteration.
        let limit = match MAX_DISCARDED_BYTES.checked_sub(*discarded_bytes) {
            Some(remaining) => remaining.min(DISCARDED_BYTES_PER_ITERATION),
            None => DISCARDED_BYTES_PER_ITERATION,
        };
        let result = self.connection.discard(limit);
        *discarded_bytes += result.bytes;
        result
    }

    /// Whether there is more to discard without waiting for a readiness event.
    pub(super) fn has_more_to_discard(&self) -> bool {
        let is_within_limit = match self.state {
            ClientState::Closing { discarded_bytes } => discarded_bytes < MAX_DISCARDED_BYTES,
            _ => false,
        };
        is_within_limit && self.connection.may_be_readable()
    }
}
