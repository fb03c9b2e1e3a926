//! A non-blocking socket with its input and output buffers.
//!
//! The event loop is edge-triggered: it reports a socket once when it becomes ready. A
//! [`Connection`] therefore remembers that there may be more to read, until a read would block.

use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::{LoopHandle, Readiness, RegistrationToken};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::{Domain, Protocol, Socket, Type};

use crate::buffers::{Chain, FillStatus, Pool};
use crate::context::{Component, IoContext, Owner, ReadyEvents};

/// The Linux error code for a non-blocking connect that is in progress. The standard library has an
/// `ErrorKind` for it only on newer toolchains.
const EINPROGRESS: i32 = 115;
/// Size of the buffer into which discarded input is read, and so the maximum per system call.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;

/// The result of discarding input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Discarded {
    /// Number of bytes read from the socket and discarded.
    pub bytes: usize,
    /// Whether the peer has finished sending or the connection failed.
    pub ended: bool,
}

/// A socket registered in the event loop, with its buffers. Dropping it removes the registration.
pub struct Connection {
    socket: Rc<TcpStream>,
    token: RegistrationToken,
    handle: LoopHandle<'static, ReadyEvents>,
    /// Bytes that were read but not yet processed.
    pub input: Chain,
    /// Bytes that are still to be written.
    pub output: Chain,
    /// Whether the socket may have unread bytes: no read has found it empty since it became
    /// readable.
    readable: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}

impl Connection {
    /// Starts a non-blocking connect. [`flush`](Connection::flush) writes nothing before the
    /// connection is established.
    ///
    /// # Errors
    /// The socket cannot be created, or the connect fails immediately.
    pub fn connect(context: &IoContext, to: SocketAddr, owner: Owner) -> io::Result<Connection> {
        let pool = if owner.component == Component::Endpoint {
            &context.endpoint_buffers
        } else {
            &context.control_buffers
        };
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Err(error) if error.raw_os_error() != Some(EINPROGRESS) => Err(error),
            _ => Connection::from_socket(context, socket.into(), owner, pool),
        }
    }

    /// Wraps an existing socket; `pool` provides the buffers for its input.
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
            output: Chain::new(&context.output_buffers),
            // An accepted client may already have sent its first message.
            readable: owner.component == Component::Client,
        })
    }

    /// Records a readiness report of the event loop.
    pub fn on_ready(&mut self, readiness: Readiness) {
        self.readable |= readiness.readable || readiness.error;
    }

    /// Reads until the input holds at least `wanted_bytes`, or until reading has to stop for
    /// another reason. Returns the reason.
    ///
    /// # Errors
    /// The connection failed.
    pub fn read(&mut self, wanted_bytes: usize) -> io::Result<FillStatus> {
        if !self.readable {
            return Ok(FillStatus::WouldBlock);
        }
        let status = self.input.fill(&mut &*self.socket, wanted_bytes)?;
        self.readable = matches!(status, FillStatus::Filled | FillStatus::PoolExhausted);
        Ok(status)
    }

    /// Whether there may be more to read that the event loop will not report again.
    pub fn may_be_readable(&self) -> bool {
        self.readable
    }

    /// Closes the sending direction. The peer may still send.
    pub fn shutdown_write(&self) {
        // This fails only if the peer has already closed the connection.
        let _ = self.socket.shutdown(Shutdown::Write);
    }

    /// Discards the input, then reads and discards until at least `max_bytes` have been read, a
    /// read would block, or the connection has ended.
    pub fn discard(&mut self, max_bytes: usize) -> Discarded {
        self.input.skip(self.input.len());
        let mut scratch = [0; DISCARD_BUFFER_BYTES];
        let mut bytes = 0;
        while self.readable && bytes < max_bytes {
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

    /// Writes as much of the output as the socket accepts. The rest stays in the output until the
    /// next call.
    ///
    /// # Errors
    /// The connection failed.
    pub fn flush(&mut self) -> io::Result<()> {
        match self.output.write_to(&mut &*self.socket) {
            // The connection is not established yet.
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(()),
            other => other,
        }
    }

    /// Lets `write` write to the socket without a copy in the output, which must be empty.
    pub fn write_directly<T>(&self, write: impl FnOnce(&mut &TcpStream) -> T) -> T {
        write(&mut &*self.socket)
    }

    /// Whether the peer has finished sending, even if bytes before the end are still unread.
    pub fn has_hung_up(&self) -> bool {
        let mut polled = [PollFd::new(&*self.socket, PollFlags::RDHUP)];
        let hung_up = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        // If `poll` fails, the end is found once all bytes before it have been read.
        let is_polled = poll(&mut polled, Some(&Timespec::default())).is_ok();
        is_polled && polled.iter().any(|fd| fd.revents().intersects(hung_up))
    }

    /// Whether there is no unprocessed input, and a read would block. At the end of the stream a
    /// read does not block.
    pub fn has_no_pending_input(&self) -> bool {
        self.input.is_empty() && self.read_would_block()
    }

    /// Whether a read would block: there are no bytes to read, and the stream has not ended.
    pub fn read_would_block(&self) -> bool {
        matches!(
            self.socket.peek(&mut [0]),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock
        )
    }
}
