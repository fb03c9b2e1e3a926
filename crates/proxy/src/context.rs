//! State that all components of the proxy share: the event loop, buffers, deadlines and the log,
//! and the policy while events are delivered.

use std::io;
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use slog::Logger;
use tidescale_policy::Balancer;
use tidescale_policy::types::Timestamp;

use crate::buffers::Pool;
use crate::deadlines::Deadlines;
use crate::ids::{ClientKey, EndpointConnectionKey, SlotKey};
use crate::statement_buffers::StatementBuffers;

/// The parts of the proxy that own sockets or deadlines. Deadlines that expire at the same time are
/// handled in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Component {
    /// The wake-up requested by the policy.
    Policy,
    /// The shutdown of the process.
    Shutdown,
    /// The listening socket for clients.
    Listener,
    /// Client connections.
    Client,
    /// Endpoint connections.
    Endpoint,
    /// The stream of the endpoint list.
    EndpointList,
    /// The stream of the rollout status.
    RolloutStatus,
    /// The connection for votes.
    Votes,
}

/// The owner of a socket or a deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Owner {
    /// The component to which the socket or the deadline belongs.
    pub component: Component,
    /// The connection, stream or deadline within the component; 0 if the component has only one.
    pub slot: SlotKey,
}

impl Owner {
    /// Creates the owner for a connection, stream or deadline of a component.
    pub const fn new(component: Component, slot: SlotKey) -> Owner {
        Owner { component, slot }
    }

    /// Creates the owner for a component that has only one socket or deadline.
    pub const fn only(component: Component) -> Owner {
        Owner::new(component, SlotKey::new(0))
    }

    /// Creates the owner for the connection of a client.
    pub fn client(key: ClientKey) -> Owner {
        Owner::new(Component::Client, key.into())
    }

    /// Creates the owner for a connection to an endpoint.
    pub fn endpoint(key: EndpointConnectionKey) -> Owner {
        Owner::new(Component::Endpoint, key.into())
    }
}

/// What the event loop reported in one iteration.
#[derive(Default)]
pub struct ReadyEvents {
    /// Sockets that became ready, in the order of the reports.
    pub sockets: Vec<(Owner, Readiness)>,
    /// SIGTERM was received.
    pub stop: bool,
    /// SIGHUP was received.
    pub reload: bool,
}

/// Resources for I/O that all components share.
pub struct IoContext {
    /// The event loop in which sockets are registered.
    pub handle: LoopHandle<'static, ReadyEvents>,
    /// Buffers for input from endpoints, which includes the responses to requests until they are
    /// complete.
    pub endpoint_buffers: Pool,
    /// Buffers for the output of all connections. The pool is separate so that clients that do not
    /// read their responses cannot use up the buffers needed to read from endpoints.
    pub output_buffers: Pool,
    /// Buffers for input from clients and for nothing else. The pool is separate so that clients
    /// cannot use up the buffers needed to read the responses of endpoints.
    pub client_buffers: Pool,
    /// Memory for the statements of pending requests. It is separate so that requests that wait
    /// for endpoints cannot use up the buffers needed to read the responses of endpoints.
    pub statement_buffers: StatementBuffers,
    /// Buffers for input from discovery and the platform, and for nothing else.
    pub control_buffers: Pool,
    /// The deadlines of all components.
    pub deadlines: Deadlines<Owner>,
    /// The logger of all components.
    pub log: Logger,
    /// The time of the current event-loop iteration.
    pub now: Timestamp,
}

impl IoContext {
    /// Registers a socket in the event loop, which reports its readiness with its owner.
    ///
    /// # Errors
    /// The event loop cannot register the socket.
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

/// What a component needs while events are delivered: its I/O, and the policy to notify.
pub struct EventContext<'a> {
    /// The shared resources for I/O.
    pub io: &'a mut IoContext,
    /// The policy, which is notified of the events.
    pub policy: &'a mut Balancer,
}
