//! One endless HTTP response, which is requested again, after a backoff, when it ends or nothing is
//! received for too long.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use calloop::Readiness;

use super::backoff::Backoff;
use super::{LineError, StreamError, StreamTimeouts};
use crate::buffers::FillStatus;
use crate::connection::Connection;
use crate::context::{IoContext, Owner};
use crate::http;
use crate::log_lines;

/// Time limit for more input within a message. A server that stalls there may still send
/// keep-alives, so that the keep-alive timeout would not expire.
const PARTIAL_MESSAGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of buffered input bytes at which reading pauses until they have been decoded.
const READ_AHEAD_BYTES: usize = 256 * 1024;

/// The connection of an open stream and the response received over it.
struct OpenStream {
    connection: Connection,
    response: http::Response,
    /// The lines of an incomplete message, maintained by the consumer.
    partial_message: String,
}

enum State {
    /// Not opened yet, or waiting for its backoff to end.
    Closed,
    /// Connecting or reading the response.
    Open(Box<OpenStream>),
}

/// The result of reading all available bytes.
struct Received {
    /// How the last read ended.
    last_read: io::Result<FillStatus>,
    /// Whether at least one byte was received.
    any_bytes: bool,
    /// The result of decoding: an error if the response is invalid or its status code is not 200.
    response: Result<(), StreamError>,
}

impl OpenStream {
    fn receive(&mut self) -> Received {
        let mut any_bytes = false;
        let mut response = Ok(());
        let mut last_read = Ok(FillStatus::Filled);
        while matches!(last_read, Ok(FillStatus::Filled)) && response.is_ok() {
            last_read = self.connection.read(READ_AHEAD_BYTES);
            any_bytes |= !self.connection.input.is_empty();
            response = self.response.read(&mut self.connection.input);
        }
        Received {
            last_read,
            any_bytes,
            response: self.check_status().and(response.map_err(StreamError::Http)),
        }
    }

    fn check_status(&self) -> Result<(), StreamError> {
        if self.response.has_head() && self.response.status != 200 {
            return Err(StreamError::Status(self.response.status));
        }
        Ok(())
    }

    fn is_between_messages(&self) -> bool {
        self.partial_message.is_empty() && self.response.is_between_chunks()
    }
}

/// A stream from one address, opened again whenever it ends.
pub struct ReconnectingStream {
    owner: Owner,
    address: SocketAddr,
    timeouts: StreamTimeouts,
    backoff: Backoff,
    state: State,
    /// Whether it has delivered a complete message since it was last opened.
    has_delivered: bool,
}

impl ReconnectingStream {
    /// Creates a stream without opening it. Streams with the same seed but different owners have
    /// different jitter.
    pub fn new(
        owner: Owner,
        address: SocketAddr,
        timeouts: StreamTimeouts,
        seed: u64,
    ) -> ReconnectingStream {
        let jitter_seed = seed ^ ((owner.component as u64) << 32) ^ owner.slot.get();
        ReconnectingStream {
            owner,
            address,
            timeouts,
            backoff: Backoff::new(timeouts.max_backoff, jitter_seed),
            state: State::Closed,
            has_delivered: false,
        }
    }

    /// Returns the owner of the stream's deadline and socket.
    pub(super) fn owner(&self) -> Owner {
        self.owner
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn timeouts(&self) -> StreamTimeouts {
        self.timeouts
    }

    /// Whether it has delivered a complete message since it was last opened.
    pub(super) fn has_delivered(&self) -> bool {
        self.has_delivered
    }

    /// Whether it has a connection, which may not be established yet.
    pub(super) fn is_open(&self) -> bool {
        matches!(self.state, State::Open(_))
    }

    /// Whether its server has started to respond.
    pub(super) fn is_responding(&self) -> bool {
        matches!(&self.state, State::Open(open) if open.response.has_head())
    }

    /// Connects and requests `path`.
    pub fn open(&mut self, path: &str, context: &mut IoContext) {
        self.has_delivered = false;
        let mut connection = match Connection::connect(context, self.address, self.owner) {
            Ok(connection) => connection,
            Err(error) => return self.close_and_back_off(&error.into(), context),
        };
        http::write_get_request(&mut connection.output, &self.address.to_string(), path);
        self.state = State::Open(Box::new(OpenStream {
            connection,
            response: http::Response::default(),
            partial_message: String::new(),
        }));
        let timeout = self.timeouts.keep_alive.min(self.timeouts.response_start);
        context.deadlines.set(self.owner, context.now + timeout);
    }

    /// Closes the connection and starts the backoff.
    pub(super) fn close_and_back_off(&mut self, reason: &StreamError, context: &mut IoContext) {
        let delay = self.backoff.next_delay();
        log_lines::stream_ended(&context.log, self.owner.component, reason, delay);
        self.state = State::Closed;
        context.deadlines.set(self.owner, context.now + delay);
    }

    /// Handles an expired deadline: closes an open stream, on which nothing was received for too
    /// long. Returns whether the stream has to be opened now, because its backoff has ended.
    pub fn on_deadline(&mut self, context: &mut IoContext) -> bool {
        match self.state {
            State::Open(_) => {
                self.close_and_back_off(&StreamError::KeepAliveTimeout, context);
                false
            }
            State::Closed => true,
        }
    }

    /// Records that its socket has become ready.
    pub fn on_ready(&mut self, readiness: Readiness) {
        if let State::Open(open) = &mut self.state {
            open.connection.on_ready(readiness);
        }
    }

    /// Reads from the connection and delivers the complete lines. Bytes that cannot be read because
    /// no buffer is free are left to the next call.
    ///
    /// `on_line` gets the line, the text that it has kept of an incomplete message, and the
    /// context. It has to clear the text when the message is complete.
    pub fn serve(
        &mut self,
        context: &mut IoContext,
        on_line: impl FnMut(&str, &mut String, &mut IoContext) -> Result<(), LineError>,
    ) {
        let State::Open(open) = &mut self.state else {
            return;
        };
        let flushed = open.connection.flush();
        let received = open.receive();
        let mut result = received.response;
        if result.is_ok() {
            result = self.deliver_lines(context, on_line);
        }
        let State::Open(open) = &self.state else {
            return;
        };
        if received.any_bytes {
            let timeout = if open.is_between_messages() {
                self.timeouts.keep_alive
            } else {
                PARTIAL_MESSAGE_TIMEOUT
            };
            context.deadlines.set(self.owner, context.now + timeout);
        }
        let is_complete = open.response.is_complete();
        let outcome = result
            .and(flushed.map_err(StreamError::Io))
            .and_then(|()| check_open(received.last_read, is_complete));
        if let Err(reason) = outcome {
            self.close_and_back_off(&reason, context);
        }
    }

    fn deliver_lines(
        &mut self,
        context: &mut IoContext,
        mut on_line: impl FnMut(&str, &mut String, &mut IoContext) -> Result<(), LineError>,
    ) -> Result<(), StreamError> {
        let State::Open(open) = &mut self.state else {
            return Ok(());
        };
        let partial_message = &mut open.partial_message;
        let mut result = Ok(());
        let lines = open.response.take_lines(|line| {
            self.backoff.reset();
            // Lines after a rejected line are not delivered.
            if result.is_ok() {
                result = on_line(line, partial_message, context);
            }
            // Only a complete message allows this stream to replace the previous one.
            self.has_delivered |= result.is_ok() && partial_message.is_empty();
        });
        result.map_err(StreamError::Content)?;
        lines.map_err(StreamError::Http)
    }
}

/// Returns an error unless the connection is still open and the response continues.
fn check_open(last_read: io::Result<FillStatus>, is_complete: bool) -> Result<(), StreamError> {
    match last_read? {
        FillStatus::EndOfStream => Err(StreamError::Closed),
        _ if is_complete => Err(StreamError::Complete),
        FillStatus::WouldBlock | FillStatus::Filled | FillStatus::PoolExhausted => Ok(()),
    }
}
