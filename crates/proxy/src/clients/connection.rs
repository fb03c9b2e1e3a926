//! The connection of one client: its states, and how much of its input is read.

use tidescale_policy::types::RequestId;

use super::arrivals::Arrivals;
use super::stages::Stage;
use crate::buffers::{BUFFER_SIZE, Pool};
use crate::connection::Connection;
use crate::postgres::{self, ClientMessage, Severity, frame_head, whole_frame};

/// Bytes read ahead while a request is pending. Also the most bytes of responses that may wait for
/// a client that sends requests without reading.
const READ_AHEAD: usize = BUFFER_SIZE;
/// Bytes read ahead while many buffers are free. The time of a request starts when it is read, so
/// that reading early measures it more exactly.
const FAR_READ_AHEAD: usize = 16 * BUFFER_SIZE;
/// Bytes discarded after an error without waiting for readiness. Closing a socket with unread input
/// resets the connection, and the client could not read the error.
const MAX_DISCARDED: usize = 256 * 1024;
/// Bytes discarded in one event-loop iteration.
const DISCARDED_PER_ITERATION: usize = MAX_DISCARDED / 4;

/// The state of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientState {
    /// The startup message was not received yet.
    Opening {
        /// It was accepted after SIGTERM, so that shutdown waits for its first request.
        accepted_in_shutdown: bool,
    },
    /// Open; no message was received since.
    AwaitingFirstRequest {
        /// As for `Opening`.
        accepted_in_shutdown: bool,
    },
    /// Open; the next message is handled.
    Idle,
    /// An extended query was refused: all messages up to its Sync are skipped.
    SkippingToSync,
    /// The next message is handled once the pending request has its response.
    AwaitingResponse {
        /// The pending request.
        request: RequestId,
    },
    /// Closes once all output is written; input is discarded.
    Closing {
        /// Bytes discarded so far.
        discarded: usize,
    },
}

/// The connection of one client.
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

    /// Its stage, which follows from its state and its buffers.
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

    /// The request whose response it waits for.
    pub(super) fn pending_request(&self) -> Option<RequestId> {
        match self.state {
            ClientState::AwaitingResponse { request } => Some(request),
            _ => None,
        }
    }

    /// Shutdown may close it now: it is between requests, and was not accepted after SIGTERM for a
    /// first request.
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

    /// Whether its next message may be handled. The limit on output keeps the responses of a client
    /// that sends without reading from piling up.
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

    /// There may be another message to handle.
    pub(super) fn may_have_message(&self) -> bool {
        let next = || whole_frame::<ClientMessage>(&self.connection.input);
        self.connection.may_be_readable() || self.is_open() && next() != Ok(None)
    }

    /// How many bytes of input are needed to handle the next message. Behind a pending request only
    /// the start of the next message is read.
    pub(super) fn bytes_wanted(&self, pool: &Pool) -> usize {
        let read_ahead = if self.is_open() && pool.is_mostly_free() {
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

    /// Sends the reason why the connection ends. It closes once the client has read that.
    pub(super) fn refuse(&mut self, code: &str, reason: &str) {
        let Connection { input, output, .. } = &mut self.connection;
        postgres::put_error(output, Severity::Fatal, code, reason, "");
        input.skip(input.len());
        self.state = ClientState::Closing { discarded: 0 };
    }

    /// Discards the input of a closing connection. Returns whether the connection may be closed.
    pub(super) fn discard_input(&mut self) -> bool {
        if !self.connection.output.is_empty() {
            return false;
        }
        let ClientState::Closing { discarded } = &mut self.state else {
            return false;
        };
        // Beyond the limit, another part is discarded each time the event loop reports more.
        let limit = match MAX_DISCARDED.checked_sub(*discarded) {
            Some(remaining) => remaining.min(DISCARDED_PER_ITERATION),
            None => DISCARDED_PER_ITERATION,
        };
        let result = self.connection.discard(limit);
        *discarded += result.bytes;
        result.ended
    }

    /// There is more to discard without waiting for a report of the event loop.
    pub(super) fn has_more_to_discard(&self) -> bool {
        let is_within_limit = match self.state {
            ClientState::Closing { discarded } => discarded < MAX_DISCARDED,
            _ => false,
        };
        is_within_limit && self.connection.may_be_readable()
    }
}
