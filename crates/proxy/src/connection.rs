//! A non-blocking socket with the bytes that wait on either side of it, and what every component needs to keep one.
//!
//! The event loop reports a socket once when it becomes ready (edge triggered): a [`Connection`] remembers that there
//! may be more to read until a read has found nothing more.

use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use slog::Logger;
use socket2::{Domain, Protocol, Socket, Type};

use tidescale_policy::types::Timestamp;

use crate::buffers::{Chain, Fill, Pool};
use crate::deadlines::Deadlines;

/// What a connect that goes on in the background returns on Linux; the standard library has a kind for it only on
/// newer toolchains.
const EINPROGRESS: i32 = 115;
/// Bytes that are read at once to be dropped.
const DISCARD_SIZE: usize = 16 * 1024;

/// The parts of the proxy that own sockets or deadlines, in the order in which their deadlines at one time are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Component {
    /// The policy's own wake-up.
    Policy,
    /// The end of the process.
    Shutdown,
    /// The socket that clients connect to.
    Listener,
    /// Clients' connections.
    Client,
    /// Connections to endpoints.
    Endpoint,
    /// The stream of the endpoint list.
    EndpointList,
    /// The stream of the newest build's rollout status.
    RolloutStatus,
    /// The connection that votes go over.
    Votes,
}

/// Whose socket or deadline it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Owner {
    /// The component.
    pub component: Component,
    /// A slot of its table, where it has one.
    pub slot: u64,
}

impl Owner {
    /// A component's slot.
    pub const fn new(component: Component, slot: u64) -> Owner {
        Owner { component, slot }
    }
}

/// What the event loop found ready in one iteration.
#[derive(Default)]
pub struct TurnEvents {
    /// Sockets, in the order in which they were reported.
    pub sockets: Vec<(Owner, Readiness)>,
    /// SIGTERM has come.
    pub stop: bool,
    /// SIGHUP has come.
    pub reload: bool,
}

/// What every component needs to serve its connections.
pub struct IoContext {
    /// Where sockets are registered.
    pub handle: LoopHandle<'static, TurnEvents>,
    /// Buffers for what endpoints send, and for all that is sent on.
    pub pool: Pool,
    /// Buffers for what clients send: however much that is, endpoints' answers are still read.
    pub clients_pool: Pool,
    /// Buffers for what discovery and the platform send.
    pub streams_pool: Pool,
    /// The deadlines of all components.
    pub deadlines: Deadlines<Owner>,
    /// The log.
    pub log: Logger,
    /// The time of this iteration.
    pub now: Timestamp,
}

impl IoContext {
    /// Has the event loop report a socket under its owner's name.
    ///
    /// # Errors
    /// The system takes no further socket.
    pub fn register(
        &self,
        socket: Rc<impl std::os::fd::AsFd + 'static>,
        owner: Owner,
    ) -> io::Result<RegistrationToken> {
        let source = Generic::new(socket, Interest::BOTH, Mode::Edge);
        let inserted = self
            .handle
            .insert_source(source, move |readiness, _, events| {
                events.sockets.push((owner, readiness));
                Ok(PostAction::Continue)
            });
        inserted.map_err(|error| io::Error::other(error.error))
    }
}

/// What came of reading to drop it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Discarded {
    /// Bytes dropped.
    pub bytes: usize,
    /// The far side has ended its sending, or the connection broke.
    pub ended: bool,
}

/// A registered socket and the bytes on either side of it. It leaves the event loop when it is dropped.
pub struct Connection {
    socket: Rc<TcpStream>,
    token: RegistrationToken,
    handle: LoopHandle<'static, TurnEvents>,
    /// What has been read and not been used.
    pub input: Chain,
    /// What has not been written yet.
    pub output: Chain,
    /// The last read did not find the end of what has come.
    readable: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}

impl Connection {
    /// Begins to connect. Until that is done, [`flush`](Connection::flush) leaves what is to be written.
    ///
    /// # Errors
    /// The system gives no socket, or the address cannot be connected to.
    pub fn open(context: &IoContext, to: SocketAddr, owner: Owner) -> io::Result<Connection> {
        let pool = if owner.component == Component::Endpoint {
            &context.pool
        } else {
            &context.streams_pool
        };
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Err(error) if error.raw_os_error() != Some(EINPROGRESS) => Err(error),
            _ => Connection::over(context, socket.into(), owner, pool),
        }
    }

    /// A connection over a connected socket; its input takes its buffers from this pool.
    ///
    /// # Errors
    /// The socket cannot be set up or registered.
    pub fn over(
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
            output: Chain::new(&context.pool),
            // A client that has just come may already have sent its first request.
            readable: owner.component == Component::Client,
        })
    }

    /// Takes a report of the event loop.
    pub fn on_ready(&mut self, readiness: Readiness) {
        self.readable |= readiness.readable || readiness.error;
    }

    /// Reads until `wanted` bytes are held.
    ///
    /// # Errors
    /// The connection broke.
    pub fn read(&mut self, wanted: usize) -> io::Result<Fill> {
        if !self.readable {
            return Ok(Fill::Drained);
        }
        let fill = self.input.fill(&mut &*self.socket, wanted)?;
        self.readable = matches!(fill, Fill::Enough | Fill::Starved);
        Ok(fill)
    }

    /// There may be more to read, though the event loop will not report it again.
    pub fn has_more(&self) -> bool {
        self.readable
    }

    /// Ends sending; the far side may still send.
    pub fn end_sending(&self) {
        // One that has gone already needs no end.
        let _ = self.socket.shutdown(Shutdown::Write);
    }

    /// Drops what has been read, then reads about `limit` bytes and drops them too.
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

    /// Writes what the system takes; the rest goes when the socket is ready again.
    ///
    /// # Errors
    /// The connection broke.
    pub fn flush(&mut self) -> io::Result<()> {
        match self.output.drain(&mut &*self.socket) {
            // It is still connecting.
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(()),
            other => other,
        }
    }

    /// The far side has ended its sending, also where that end stands behind bytes that have not been read yet.
    pub fn has_hung_up(&self) -> bool {
        let mut polled = [PollFd::new(&*self.socket, PollFlags::RDHUP)];
        let hung_up = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        // Where the system cannot say, the end shows once all before it has been read.
        let is_polled = poll(&mut polled, Some(&Timespec::default())).is_ok();
        is_polled && polled.iter().any(|fd| fd.revents().intersects(hung_up))
    }

    /// Nothing has come that was not used, not even an end.
    pub fn is_quiet(&self) -> bool {
        self.input.is_empty() && self.is_silent()
    }

    /// Nothing has come beyond what has been read, not even an end.
    pub fn is_silent(&self) -> bool {
        matches!(self.socket.peek(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}
