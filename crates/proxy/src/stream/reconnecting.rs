//! One HTTP response without an end; it is opened again, after a backoff, when it ends or falls
//! silent.

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

/// Time limit for the rest of a message. A server that stops within a message may still send
/// keep-alives.
const PARTIAL_MESSAGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Bytes read before they are handled.
const READ_AHEAD: usize = 256 * 1024;

/// The connection of the stream and what was received over it.
struct OpenStream {
    connection: Connection,
    response: http::Response,
    /// The lines of an incomplete message; maintained by the consumer.
    partial_message: String,
}

enum State {
    /// Not opened yet, or waiting for the end of its backoff.
    Closed,
    /// Connecting, or reading the response.
    Open(Box<OpenStream>),
}

/// The result of reading all available bytes.
struct Received {
    /// How the last read ended.
    fill: io::Result<FillStatus>,
    /// At least one byte was received.
    any_bytes: bool,
    /// Whether the response is valid and has a status of success.
    response: Result<(), StreamError>,
}

impl OpenStream {
    fn receive(&mut self) -> Received {
        let mut any_bytes = false;
        let mut response = Ok(());
        let mut fill = Ok(FillStatus::Complete);
        while matches!(fill, Ok(FillStatus::Complete)) && response.is_ok() {
            fill = self.connection.read(READ_AHEAD);
            any_bytes |= !self.connection.input.is_empty();
            response = self.response.read(&mut self.connection.input);
        }
        Received {
            fill,
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

/// A stream from one address that is opened again whenever it ends.
pub struct ReconnectingStream {
    owner: Owner,
    address: SocketAddr,
    timeouts: StreamTimeouts,
    backoff: Backoff,
    state: State,
    /// It has delivered a complete message since it was last opened.
    has_delivered: bool,
}

impl ReconnectingStream {
    /// A stream that is not open yet. Streams with the same seed have different jitter if their
    /// owners differ.
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

    /// The owner of its deadline and its sockets.
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
            Err(error) => return self.close_for_now(&error.into(), context),
        };
        http::put_get(&mut connection.output, &self.address.to_string(), path);
        self.state = State::Open(Box::new(OpenStream {
            connection,
            response: http::Response::default(),
            partial_message: String::new(),
        }));
        let timeout = self.timeouts.silence.min(self.timeouts.response_start);
        context.deadlines.set(self.owner, context.now + timeout);
    }

    /// Closes the connection and starts the backoff.
    pub(super) fn close_for_now(&mut self, reason: &StreamError, context: &mut IoContext) {
        let pause = self.backoff.next_pause();
        log_lines::stream_ended(&context.log, self.owner.component, reason, pause);
        self.state = State::Closed;
        context.deadlines.set(self.owner, context.now + pause);
    }

    /// Its deadline has expired: it has been silent for too long, or its backoff has ended. Returns
    /// whether it has to be opened now.
    pub fn on_deadline(&mut self, context: &mut IoContext) -> bool {
        match self.state {
            State::Open(_) => {
                self.close_for_now(&StreamError::Silent, context);
                false
            }
            State::Closed => true,
        }
    }

    /// Its socket became ready.
    pub fn on_ready(&mut self, readiness: Readiness) {
        if let State::Open(open) = &mut self.state {
            open.connection.on_ready(readiness);
        }
    }

    /// Delivers the complete lines received; bytes that were not read for lack of buffers are left
    /// to the next call.
    ///
    /// `on_line` gets the line, the lines of an incomplete message that it has kept, and the
    /// context. It clears the second when the message is complete.
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
                self.timeouts.silence
            } else {
                PARTIAL_MESSAGE_TIMEOUT
            };
            context.deadlines.set(self.owner, context.now + timeout);
        }
        let is_complete = open.response.is_complete();
        let outcome = result
            .and(flushed.map_err(StreamError::Io))
            .and_then(|()| check_open(received.fill, is_complete));
        if let Err(reason) = outcome {
            self.close_for_now(&reason, context);
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
            // Lines after a rejected one are not delivered.
            if result.is_ok() {
                result = on_line(line, partial_message, context);
            }
            // Part of a message is not enough to replace another stream.
            self.has_delivered |= result.is_ok() && partial_message.is_empty();
        });
        result.map_err(StreamError::Content)?;
        lines.map_err(StreamError::Http)
    }
}

/// Whether the connection is still open and the response continues.
fn check_open(fill: io::Result<FillStatus>, is_complete: bool) -> Result<(), StreamError> {
    match fill? {
        FillStatus::EndOfStream => Err(StreamError::Closed),
        _ if is_complete => Err(StreamError::Complete),
        FillStatus::WouldBlock | FillStatus::Complete | FillStatus::PoolExhausted => Ok(()),
    }
}
