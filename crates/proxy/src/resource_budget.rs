//! Splits descriptors and buffer memory among clients, endpoints and control streams.

use crate::buffers::{self, Pool};

/// Descriptors for standard streams, the event loop and the listener, and some spare ones.
const RESERVED_DESCRIPTORS: usize = 32;
/// Descriptors for the streams of the endpoint list and the rollout status and the connection for
/// votes, twice each for a hand-over.
const CONTROL_DESCRIPTORS: usize = 6;
/// Endpoints get one in this number of the remaining descriptors. Clients use at most a third of
/// all descriptors for requests; the rest of their half is for clients that have to be sent an
/// error before they are closed.
const ENDPOINT_DESCRIPTOR_DIVISOR: usize = 2;
/// Idle clients may hold one in this number of all descriptors: less than half of those that
/// clients use for requests.
const IDLE_CLIENT_DIVISOR: usize = 8;
/// Buffers may use one in this number of the bytes of memory.
const BUFFER_MEMORY_DIVISOR: usize = 3;
/// Buffers for input from discovery and the platform; of the rest, half is for clients and half for
/// endpoints.
const CONTROL_BUFFERS: usize = 64;

/// Most connections of each kind at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionBudget {
    /// Connections to endpoints.
    pub endpoints: usize,
    /// Connections of clients.
    pub clients: usize,
    /// Idle connections of clients.
    pub idle_clients: usize,
}

impl ConnectionBudget {
    /// Splits a limit on descriptors; `None` if it is too small to serve requests.
    pub fn split(descriptor_limit: usize) -> Option<ConnectionBudget> {
        let available = descriptor_limit.saturating_sub(RESERVED_DESCRIPTORS + CONTROL_DESCRIPTORS);
        if available < ENDPOINT_DESCRIPTOR_DIVISOR {
            return None;
        }
        let endpoints = available / ENDPOINT_DESCRIPTOR_DIVISOR;
        Some(ConnectionBudget {
            endpoints,
            clients: available - endpoints,
            idle_clients: descriptor_limit / IDLE_CLIENT_DIVISOR,
        })
    }
}

/// The pools of buffers for input.
pub struct BufferBudget {
    /// For input from endpoints, and for all output.
    pub endpoints: Pool,
    /// For input from clients.
    pub clients: Pool,
    /// For input from discovery and the platform.
    pub control: Pool,
}

impl BufferBudget {
    /// Splits the memory that the process may use, in MiB.
    pub fn split(memory_mb: usize) -> BufferBudget {
        let buffers =
            memory_mb.saturating_mul(1024 * 1024) / BUFFER_MEMORY_DIVISOR / buffers::BUFFER_SIZE;
        let for_clients = buffers / 2;
        let for_endpoints = buffers.saturating_sub(for_clients + CONTROL_BUFFERS);
        BufferBudget {
            endpoints: Pool::new(for_endpoints.max(1)),
            clients: Pool::new(for_clients.max(1)),
            control: Pool::new(CONTROL_BUFFERS),
        }
    }
}
