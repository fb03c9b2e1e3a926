//! Splits the process's descriptors and buffer memory among clients, endpoints and control streams.

use crate::buffers::{self, Pool};

/// Descriptors of the process itself: standard streams, the loop's own, the listener, and some spare.
const RESERVED_DESCRIPTORS: usize = 32;
/// The endpoint list's stream, the rollout status stream, the votes' connection, and one of each that is being replaced.
const CONTROL_DESCRIPTORS: usize = 6;
/// Endpoints get one descriptor in so many of those left. Clients hold at most a third of all for requests; the rest of
/// their half is for clients that come to no good, which must be answered before they can be closed.
const ENDPOINT_SHARE: usize = 2;
/// One descriptor in so many of all may belong to an idle client: less than half of what clients hold for requests.
const IDLE_CLIENT_SHARE: usize = 8;
/// Buffers may take one part in so many of the memory.
const BUFFER_SHARE: usize = 3;
/// Buffers for what discovery and the platform send; of the rest half is for clients, half for endpoints.
const CONTROL_BUFFERS: usize = 64;

/// How many connections each side may have at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionBudget {
    /// Connections to endpoints.
    pub endpoints: usize,
    /// Clients' connections.
    pub clients: usize,
    /// Clients' connections that may be idle.
    pub idle_clients: usize,
}

impl ConnectionBudget {
    /// Splits a limit on descriptors; none where it is too small to serve at all.
    pub fn split(descriptor_limit: usize) -> Option<ConnectionBudget> {
        let available = descriptor_limit.saturating_sub(RESERVED_DESCRIPTORS + CONTROL_DESCRIPTORS);
        if available < ENDPOINT_SHARE {
            return None;
        }
        let endpoints = available / ENDPOINT_SHARE;
        Some(ConnectionBudget {
            endpoints,
            clients: available - endpoints,
            idle_clients: descriptor_limit / IDLE_CLIENT_SHARE,
        })
    }
}

/// The pools that received bytes take their buffers from.
pub struct BufferBudget {
    /// What endpoints send, and all that is sent on.
    pub endpoints: Pool,
    /// What clients send.
    pub clients: Pool,
    /// What discovery and the platform send.
    pub control: Pool,
}

impl BufferBudget {
    /// Splits the memory that the process may take, in MiB.
    pub fn split(memory_mb: usize) -> BufferBudget {
        let buffers = memory_mb.saturating_mul(1024 * 1024) / BUFFER_SHARE / buffers::SIZE;
        let for_clients = buffers / 2;
        let for_endpoints = buffers.saturating_sub(for_clients + CONTROL_BUFFERS);
        BufferBudget {
            endpoints: Pool::new(for_endpoints.max(1)),
            clients: Pool::new(for_clients.max(1)),
            control: Pool::new(CONTROL_BUFFERS),
        }
    }
}
