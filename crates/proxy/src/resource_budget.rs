//! Divides file descriptors and buffer memory among clients, endpoints and control connections:
//! those for the endpoint list, the rollout status and the votes. Statements of pending requests
//! have memory of their own.

use crate::buffers::{self, Pool};
use crate::statement_buffers::StatementBuffers;

/// Descriptors for the standard streams, the event loop and the listener, and some spare ones.
const RESERVED_DESCRIPTORS: usize = 32;
/// Descriptors for the endpoint list, the rollout status and the votes: two each, because a new
/// connection may be opened before the old one is closed.
const CONTROL_DESCRIPTORS: usize = 6;
/// The descriptors that are neither reserved nor for control connections, divided by this, are for
/// endpoints; the others are for clients. Clients use at most a third of all descriptors for
/// requests; the rest of their half is for clients that have to be sent an error before they are
/// closed.
const ENDPOINT_DESCRIPTOR_DIVISOR: usize = 2;
/// The descriptor limit divided by this is the maximum number of idle clients. An eighth of all
/// descriptors is less than half of the third that clients use for requests.
const IDLE_CLIENT_DIVISOR: usize = 8;
/// Buffers for input may use the memory limit of the process divided by this.
const BUFFER_MEMORY_DIVISOR: usize = 3;
/// Buffers for output may use the memory limit of the process divided by this.
const OUTPUT_MEMORY_DIVISOR: usize = 8;
/// Size in bytes of a buffer for output. Many connections may each have a short message to write.
const OUTPUT_BUFFER_BYTES: usize = 4 * 1024;
/// Number of buffers for input from discovery and the platform. They are taken from the half of all
/// buffers that is not for clients; endpoints get the rest of that half.
const CONTROL_BUFFERS: usize = 64;
/// The statements of pending requests may use the memory limit of the process divided by this.
const STATEMENT_MEMORY_DIVISOR: usize = 4;
/// Bytes in one MiB.
const MEBIBYTE: usize = 1024 * 1024;

/// Maximum number of connections of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionBudget {
    /// Maximum number of connections to all endpoints together.
    pub endpoints: usize,
    /// Maximum number of open client connections, including idle ones.
    pub clients: usize,
    /// Maximum number of client connections that are idle between requests.
    pub idle_clients: usize,
}

impl ConnectionBudget {
    /// Splits a limit on file descriptors. Returns `None` if it leaves no descriptors for clients
    /// or endpoints.
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

/// The buffer pools among which the memory for buffers is divided.
pub struct BufferBudget {
    /// For input from endpoints.
    pub endpoints: Pool,
    /// For the output of all connections.
    pub output: Pool,
    /// For input from clients.
    pub clients: Pool,
    /// For input from discovery and the platform.
    pub control: Pool,
    /// For the statements of pending requests.
    pub statements: StatementBuffers,
}

impl BufferBudget {
    /// Creates the pools from the part of the process's memory limit, `memory_mib` in MiB, that
    /// buffers may use. `max_clients` is the maximum number of client connections, and so of
    /// clients that wait for a response.
    pub fn split(memory_mib: usize, max_clients: usize) -> BufferBudget {
        let memory_bytes = memory_mib.saturating_mul(MEBIBYTE);
        let buffers = memory_bytes / BUFFER_MEMORY_DIVISOR / buffers::BUFFER_BYTES;
        let for_clients = buffers / 2;
        let for_output = memory_bytes / OUTPUT_MEMORY_DIVISOR / OUTPUT_BUFFER_BYTES;
        let for_endpoints = buffers.saturating_sub(for_clients + CONTROL_BUFFERS);
        BufferBudget {
            endpoints: Pool::new(for_endpoints.max(1)),
            output: Pool::with_buffer_bytes(for_output, OUTPUT_BUFFER_BYTES),
            clients: Pool::new(for_clients.max(1)),
            control: Pool::new(CONTROL_BUFFERS),
            statements: StatementBuffers::new(memory_bytes / STATEMENT_MEMORY_DIVISOR, max_clients),
        }
    }
}
