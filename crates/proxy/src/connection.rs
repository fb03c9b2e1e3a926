//! A non-blocking socket with its input and output buffers.
//!
//! The event loop reports a socket only once when it becomes ready (edge triggered). A
//! [`Connection`] therefore remembers that there may be more to read until a read has found nothing
//! more.

use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::{LoopHandle, Readiness, RegistrationToken};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::{Domain, Protocol, Socket, Type};

use crate::buffers::{Chain, FillStatus, Pool};
use crate::context::{Component, IoContext, Owner, ReadyEvents};

/// The error code of Linux for a connect that continues in the background. The standard library has
/// an error kind for it only on newer toolchains.
const EINPROGRESS: i32 = 115;
/// Bytes read by one system call when input is discarded.
const DISCARD_SIZE: usize = 16 * 1024;

/// The result of discarding input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Discarded {
    /// Bytes discarded.
    pub bytes: usize,
    /// The peer has finished sending, or the connection broke.
    pub ended: bool,
}

/// A registered socket with its buffers. Dropping it removes the socket from the event loop.
pub struct Connection {
    socket: Rc<TcpStream>,
    token: RegistrationToken,
    handle: LoopHandle<'static, ReadyEvents>,
    /// Bytes that were read and not yet processed.
    pub input: Chain,
    /// Bytes that were not written yet.
    pub output: Chain,
    /// The last read did not reach the end of the available bytes.
    readable: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}

impl Connection {
    /// Starts to connect. [`flush`](Connection::flush) writes nothing before the connection is
    /// established.
    ///
    /// # Errors
    /// The system has no socket left, or the address cannot be connected to.
    pub fn connect(context: &IoContext, to: SocketAddr, owner: Owner) -> io::Result<Connection> {
        let pool = if owner.component == Component::Endpoint {
            &context.endpoint_pool
        } else {
            &context.control_pool
        };
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Err(error) if error.raw_os_error() != Some(EINPROGRESS) => Err(error),
            _ => Connection::from_socket(context, socket.into(), owner, pool),
        }
    }

    /// A connection over an existing socket; `pool` provides the buffers for its input.
    ///
    /// # Errors
    /// The socket cannot be set up or registered.
    pub fn from_socket(
        context: &IoContext,
        socket: TcpStream,
        owner: Owner,
        pool: &Pool,
    ) -> io::Result<Connection> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let socket = Rc::new(socket);
        let token = context.register(socket.clone(), owner)?;
        Ok(Connection {
            socket,
            token,
            handle: context.handle.clone(),
            input: Chain::new(pool),
            output: Chain::new(&context.endpoint_pool),
            // An accepted client may already have sent its first request.
            readable: owner.component == Component::Client,
        })
    }

    /// Records a readiness report of the event loop.
    pub fn on_ready(&mut self, readiness: Readiness) {
        self.readable |= readiness.readable || readiness.error;
    }

    /// Reads until the input holds `wanted` bytes.
    ///
    /// # Errors
    /// The connection broke.
    pub fn read(&mut self, wanted: usize) -> io::Result<FillStatus> {
        if !self.readable {
            return Ok(FillStatus::WouldBlock);
        }
        let fill = self.input.fill(&mut &*self.socket, wanted)?;
        self.readable = matches!(fill, FillStatus::Complete | FillStatus::PoolExhausted);
        Ok(fill)
    }

    /// There may be more to read, although the event loop will not report it again.
    pub fn may_be_readable(&self) -> bool {
        self.readable
    }

    /// Closes the sending direction; the peer may still send.
    pub fn shutdown_write(&self) {
        // This fails only if the peer has already closed the connection.
        let _ = self.socket.shutdown(Shutdown::Write);
    }

    /// Discards the input, then reads and discards about `limit` more bytes.
    pub fn discard(&mut self, limit: usize) -> Discarded {
        self.input.skip(self.input.len());
        let mut scratch = [0; DISCARD_SIZE];
        let mut bytes = 0;
        while self.readable && bytes < limit {
            match (&*self.socket).read(&mut scratch) {
                Ok(0) => return Discarded { bytes, ended: true },
                Ok(count) => bytes += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.readable = false,
                Err(_) => return Discarded { bytes, ended: true },
            }
        }
        Discarded {
            bytes,
            ended: false,
        }
    }

    /// Writes as much as the system accepts; the rest is written when the socket is ready again.
    ///
    /// # Errors
    /// The connection broke.
    pub fn flush(&mut self) -> io::Result<()> {
        match self.output.write_to(&mut &*self.socket) {
            // The connection is not established yet.
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(()),
            other => other,
        }
    }

    /// The peer has finished sending, even if bytes before that end are still unread.
    pub fn has_hung_up(&self) -> bool {
        let mut polled = [PollFd::new(&*self.socket, PollFlags::RDHUP)];
        let hung_up = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        // If the system cannot answer, the end is found once all bytes before it have been read.
        let is_polled = poll(&mut polled, Some(&Timespec::default())).is_ok();
        is_polled && polled.iter().any(|fd| fd.revents().intersects(hung_up))
    }

    /// There is no unprocessed input and nothing to read, not even an end of the stream.
    pub fn has_no_pending_input(&self) -> bool {
        self.input.is_empty() && self.read_would_block()
    }

    /// There is nothing to read, not even an end of the stream.
    pub fn read_would_block(&self) -> bool {
        matches!(self.socket.peek(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}
