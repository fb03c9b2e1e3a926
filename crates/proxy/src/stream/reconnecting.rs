//! One HTTP response that never ends: opened again, after a backoff, when it ends or falls silent.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use calloop::Readiness;
use slog::info;

use super::backoff::Backoff;
use super::{LineError, StreamError, StreamTimeouts};
use crate::buffers::Fill;
use crate::connection::{Connection, IoContext, Owner};
use crate::http;

/// What has begun goes on at once, or has stopped short: the server may show life and send the rest to nobody.
const PARTIAL_MESSAGE_TIMEOUT: Duration = Duration::from_millis(400);
const READ_AHEAD: usize = 256 * 1024;

/// The stream's connection and what has come over it.
struct OpenStream {
    connection: Connection,
    response: http::Response,
    /// What of a message over several lines has come; kept by the consumer.
    partial_message: String,
}

enum State {
    /// Not opened yet, or waiting for its backoff to pass.
    Closed,
    /// Connecting, or reading the response.
    Open(Box<OpenStream>),
}

/// What a round of reading came to.
struct Received {
    /// How the last read ended.
    fill: io::Result<Fill>,
    /// Anything at all has come.
    any_bytes: bool,
    /// Whether the response is well-formed and not declined.
    response: Result<(), StreamError>,
}

impl OpenStream {
    fn receive(&mut self) -> Received {
        let mut any_bytes = false;
        let mut response = Ok(());
        let mut fill = Ok(Fill::Enough);
        while matches!(fill, Ok(Fill::Enough)) && response.is_ok() {
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

/// A stream from one address, opened again whenever it ends.
pub struct ReconnectingStream {
    owner: Owner,
    address: SocketAddr,
    timeouts: StreamTimeouts,
    backoff: Backoff,
    state: State,
    /// It has delivered a whole message since it was last opened.
    has_delivered: bool,
}

impl ReconnectingStream {
    /// A stream that is not open yet. Streams of one seed differ in their jitter if their owners differ.
    pub fn new(
        owner: Owner,
        address: SocketAddr,
        timeouts: StreamTimeouts,
        seed: u64,
    ) -> ReconnectingStream {
        let jitter_seed = seed ^ ((owner.component as u64) << 32) ^ owner.slot;
        ReconnectingStream {
            owner,
            address,
            timeouts,
            backoff: Backoff::new(timeouts.max_backoff, jitter_seed),
            state: State::Closed,
            has_delivered: false,
        }
    }

    /// Whose deadline and sockets it uses.
    pub(super) fn owner(&self) -> Owner {
        self.owner
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn timeouts(&self) -> StreamTimeouts {
        self.timeouts
    }

    /// Whether it has delivered a whole message since it was last opened.
    pub(super) fn has_delivered(&self) -> bool {
        self.has_delivered
    }

    /// Whether it has a connection, though it may not be up yet.
    pub(super) fn is_open(&self) -> bool {
        matches!(self.state, State::Open(_))
    }

    /// Whether its server has begun to respond.
    pub(super) fn is_responding(&self) -> bool {
        matches!(&self.state, State::Open(open) if open.response.has_head())
    }

    /// Connects and asks for `path`.
    pub fn open(&mut self, path: &str, context: &mut IoContext) {
        self.has_delivered = false;
        let mut connection = match Connection::open(context, self.address, self.owner) {
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

    /// Ends the connection; the stream is to be opened again after the backoff.
    pub(super) fn close_for_now(&mut self, reason: &StreamError, context: &mut IoContext) {
        let pause = self.backoff.next_pause();
        info!(context.log, "stream ended"; "part" => ?self.owner.component,
            "why" => %reason, "reconnect_ms" => pause.as_millis());
        self.state = State::Closed;
        context.deadlines.set(self.owner, context.now + pause);
    }

    /// Its deadline is due: it has been silent, or its backoff has passed. Whether it is to be opened now.
    pub fn on_deadline(&mut self, context: &mut IoContext) -> bool {
        match self.state {
            State::Open(_) => {
                self.close_for_now(&StreamError::Silent, context);
                false
            }
            State::Closed => true,
        }
    }

    /// Its socket has become ready.
    pub fn on_ready(&mut self, readiness: Readiness) {
        if let State::Open(open) = &mut self.state {
            open.connection.on_ready(readiness);
        }
    }

    /// Hands over the whole lines that have come; what is not read for want of buffers waits for the next call.
    ///
    /// `on_line` gets the line, what it has kept of an unfinished message, and the context. It leaves the second empty
    /// when the message is whole.
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
            // What follows something that cannot be used is worth no more than that.
            if result.is_ok() {
                result = on_line(line, partial_message, context);
            }
            // A part of a message takes no earlier stream's place.
            self.has_delivered |= result.is_ok() && partial_message.is_empty();
        });
        result.map_err(StreamError::Content)?;
        lines.map_err(StreamError::Http)
    }
}

/// Whether the connection is still open and the response goes on.
fn check_open(fill: io::Result<Fill>, is_complete: bool) -> Result<(), StreamError> {
    match fill? {
        Fill::Ended => Err(StreamError::Closed),
        _ if is_complete => Err(StreamError::Complete),
        Fill::Drained | Fill::Enough | Fill::Starved => Ok(()),
    }
}
