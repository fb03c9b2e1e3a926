//! What the components of the proxy work with: the event loop, buffers, deadlines and the log, and
//! the policy while events are delivered.

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

/// The parts of the proxy that own sockets or deadlines. Deadlines at the same time are handled in
/// this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Component {
    /// The wake-up that the policy has requested.
    Policy,
    /// The end of the process.
    Shutdown,
    /// The listening socket for clients.
    Listener,
    /// Connections of clients.
    Client,
    /// Connections to endpoints.
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
    /// The component.
    pub component: Component,
    /// The connection or stream within the component; 0 if it has only one.
    pub slot: SlotKey,
}

impl Owner {
    /// A connection or stream of a component.
    pub const fn new(component: Component, slot: SlotKey) -> Owner {
        Owner { component, slot }
    }

    /// A component that has one socket or deadline only.
    pub const fn only(component: Component) -> Owner {
        Owner::new(component, SlotKey::new(0))
    }

    /// The connection of a client.
    pub fn client(key: ClientKey) -> Owner {
        Owner::new(Component::Client, key.into())
    }

    /// A connection to an endpoint.
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

/// Resources that all components share to serve their connections.
pub struct IoContext {
    /// Where sockets are registered.
    pub handle: LoopHandle<'static, ReadyEvents>,
    /// Buffers for input from endpoints and for all output.
    pub endpoint_pool: Pool,
    /// Buffers for input from clients. They are separate so that clients cannot keep the responses
    /// of endpoints from being read.
    pub client_pool: Pool,
    /// Buffers for input from discovery and the platform.
    pub control_pool: Pool,
    /// The deadlines of all components.
    pub deadlines: Deadlines<Owner>,
    /// The log.
    pub log: Logger,
    /// The time of this iteration.
    pub now: Timestamp,
}

impl IoContext {
    /// Makes the event loop report the readiness of a socket under its owner.
    ///
    /// # Errors
    /// The system cannot watch another socket.
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
    /// The policy.
    pub policy: &'a mut Balancer,
}
