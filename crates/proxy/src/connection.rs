//! A non-blocking socket with the bytes that wait on either side of it, and what every part of the node needs
//! to keep one.

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

/// Whose socket or deadline it is: a part of the node, and a slot of its table where it has one.
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

/// What the loop found ready in a turn.
#[derive(Default)]
pub struct TurnEvents {
    pub sockets: Vec<(Owner, Readiness)>,
    pub stop: bool,
    pub reload: bool,
}

pub struct IoContext {
    pub handle: LoopHandle<'static, TurnEvents>,
    /// What machines send, and all that is sent on.
    pub pool: Pool,
    /// What clients send: however much that is, machines' answers are still read.
    pub clients_pool: Pool,
    /// What discovery and the platform send.
    pub streams_pool: Pool,
    pub deadlines: Deadlines<Owner>,
    pub log: Logger,
    pub now: Timestamp,
}

impl IoContext {
    pub fn register(
        &self,
        socket: Rc<impl std::os::fd::AsFd + 'static>,
        owner: Owner,
    ) -> io::Result<RegistrationToken> {
        let source = Generic::new(socket, Interest::BOTH, Mode::Edge);
        let inserted = self
            .handle
            .insert_source(source, move |readiness, _, ready| {
                ready.sockets.push((owner, readiness));
                Ok(PostAction::Continue)
            });
        inserted.map_err(|e| io::Error::other(e.error))
    }
}

pub struct Connection {
    socket: Rc<TcpStream>,
    token: RegistrationToken,
    handle: LoopHandle<'static, TurnEvents>,
    pub input: Chain,
    pub output: Chain,
    /// The loop tells of a socket once; what was not read then is still there.
    readable: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}

impl Connection {
    pub fn open(context: &IoContext, to: SocketAddr, owner: Owner) -> io::Result<Connection> {
        let pool = if owner.component == Component::Endpoint {
            &context.pool
        } else {
            &context.streams_pool
        };
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Err(e) if e.raw_os_error() != Some(EINPROGRESS) => Err(e),
            _ => Connection::over(context, socket.into(), owner, pool),
        }
    }

    /// What comes in takes its buffers from this pool.
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
        let (input, output) = (Chain::new(pool), Chain::new(&context.pool));
        // A client that has just come may have sent all it wants to ask.
        let readable = owner.component == Component::Client;
        Ok(Connection {
            socket,
            token,
            handle: context.handle.clone(),
            input,
            output,
            readable,
        })
    }

    pub fn on_ready(&mut self, readiness: Readiness) {
        self.readable |= readiness.readable || readiness.error;
    }

    /// Reads until `most` bytes are held.
    pub fn read(&mut self, most: usize) -> io::Result<Fill> {
        if !self.readable {
            return Ok(Fill::Drained);
        }
        let fill = self.input.fill(&mut &*self.socket, most)?;
        self.readable = matches!(fill, Fill::Enough | Fill::Starved);
        Ok(fill)
    }

    /// There may be more to read, though the loop does not tell again.
    pub fn has_more(&self) -> bool {
        self.readable
    }

    pub fn end_sending(&self) {
        // One that is gone already needs no end.
        let _ = self.socket.shutdown(Shutdown::Write);
    }

    /// Reads up to `most` bytes and drops them; how many, and whether the far side has ended.
    pub fn discard(&mut self, most: usize) -> (usize, bool) {
        let (mut scratch, mut dropped) = ([0; 16 * 1024], 0);
        self.input.skip(self.input.len());
        while self.readable && dropped < most {
            match (&*self.socket).read(&mut scratch) {
                Ok(0) => return (dropped, true),
                Ok(n) => dropped += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.readable = false,
                Err(_) => return (dropped, true),
            }
        }
        (dropped, false)
    }

    /// Writes what is taken; the rest goes when the loop finds room.
    pub fn flush(&mut self) -> io::Result<()> {
        match self.output.drain(&mut &*self.socket) {
            // Not up yet.
            Err(e) if e.kind() == io::ErrorKind::NotConnected => Ok(()),
            other => other,
        }
    }

    pub fn has_hung_up(&self) -> bool {
        hung_up(&self.socket)
    }

    /// Nothing has come that was not asked for, not even an end.
    pub fn is_quiet(&self) -> bool {
        self.input.is_empty() && self.is_silent()
    }

    /// The same beyond what has been read.
    pub fn is_silent(&self) -> bool {
        matches!(self.socket.peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Whether the far side has ended its sending, also behind what has not been read yet.
fn hung_up(socket: &TcpStream) -> bool {
    let mut one = [PollFd::new(socket, PollFlags::RDHUP)];
    let told = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    // Where the system can't tell, the end shows once all before it has been read.
    poll(&mut one, Some(&Timespec::default())).is_ok() && one[0].revents().intersects(told)
}

/// Linux's; the standard library has a kind for it only on newer tool chains.
const EINPROGRESS: i32 = 115;
