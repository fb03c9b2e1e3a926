//! Receives the endpoint list over a persistent stream, tracks its version, and applies changes to
//! the policy and to the endpoint connections.

use std::net::SocketAddr;
use std::time::Duration;

use calloop::Readiness;
use tidescale_policy::types::Timestamp;

use crate::context::{Component, EventContext, IoContext};
use crate::endpoint_list::{self, EndpointList};
use crate::ids::SlotKey;
use crate::log_lines;
use crate::stream::{LineError, PersistentStream, StreamTimeouts};
use crate::upstream::{EndpointListing, Upstream};

/// A stream of the local agent that sends no line for this long is reopened. This is three times
/// the interval of the keep-alive lines that discovery sends while nothing changes.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(6000);
/// Time limits for a service that all instances share. It accepts few calls a second and queues the
/// others, so that short limits would cause a retry storm: the service would do work whose result
/// is discarded, and be called again. Long limits are excluded, because an instance is required to
/// apply what the service has sent from 6 s after the last line of its stream on.
const SHARED_SERVICE_TIMEOUTS: StreamTimeouts = StreamTimeouts {
    keep_alive: Duration::from_millis(3500),
    response_start: Duration::from_millis(4000),
    max_backoff: Duration::from_millis(2000),
    renewal_interval: None,
};
/// Time limits for an agent on the host of this instance, which responds immediately and to which
/// calls are cheap. Once the keep-alive timeout has passed, the instance is required to apply the
/// latest list of the agent within a grace period, so `response_start` and `max_backoff` together
/// have to be shorter than that period.
const LOCAL_AGENT_TIMEOUTS: StreamTimeouts = StreamTimeouts {
    response_start: Duration::from_millis(500),
    max_backoff: Duration::from_millis(200),
    ..StreamTimeouts::responsive_server(KEEP_ALIVE_TIMEOUT)
};
/// Maximum time until a change of the list has arrived over every stream.
const PROPAGATION_TIME: Duration = Duration::from_millis(6000);

/// The kind of server that provides the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// An agent on the host of this instance, which pushes changes.
    LocalAgent,
    /// One service for all instances, which queues their requests. It sends the list over a stream,
    /// too, but its stream is not renewed at intervals, because each request is expensive.
    SharedService,
}

impl ListSource {
    fn timeouts(self) -> StreamTimeouts {
        match self {
            ListSource::LocalAgent => LOCAL_AGENT_TIMEOUTS,
            ListSource::SharedService => SHARED_SERVICE_TIMEOUTS,
        }
    }
}

/// The version of the current list, and when it was confirmed and changed.
#[derive(Default)]
struct ListVersionState {
    version: u64,
    /// When discovery last confirmed the list by sending a line; [`Timestamp::ZERO`] before the
    /// first line.
    confirmed_at: Timestamp,
    /// When the version last changed.
    changed_at: Timestamp,
}

impl ListVersionState {
    /// Whether a received list should be applied. While a new stream replaces another, one of them
    /// may deliver older versions, which are ignored. A complete list that is still older after the
    /// propagation time is accepted: discovery has restarted its version numbers.
    fn accepts(&self, list: &EndpointList, now: Timestamp) -> bool {
        let is_older = list.version < self.version;
        let has_settled = now >= self.changed_at + PROPAGATION_TIME;
        !is_older || list.is_complete && has_settled
    }

    fn advance(&mut self, version: u64, now: Timestamp) {
        if version != self.version {
            self.changed_at = now;
        }
        self.version = version;
    }
}

/// The stream of the endpoint list and the version of the list.
pub struct Discovery {
    stream: PersistentStream,
    list: ListVersionState,
}

impl Discovery {
    /// Creates the stream without opening it.
    pub fn new(address: SocketAddr, source: ListSource, seed: u64) -> Discovery {
        let timeouts = source.timeouts();
        Discovery {
            stream: PersistentStream::new(Component::EndpointList, address, timeouts, seed),
            list: ListVersionState::default(),
        }
    }

    /// Applies the list from the configuration, which is used until the stream delivers one.
    pub fn apply_configured_list(
        &mut self,
        list: &EndpointList,
        upstream: &mut Upstream,
        context: &mut EventContext<'_>,
    ) {
        self.list.version = list.version;
        apply(list, upstream, context);
    }

    /// Returns the version of the current list.
    pub fn list_version(&self) -> u64 {
        self.list.version
    }

    /// Returns when discovery last confirmed the list by sending a line; [`Timestamp::ZERO`] before
    /// the first line.
    pub fn list_confirmed_at(&self) -> Timestamp {
        self.list.confirmed_at
    }

    fn path(&self) -> String {
        format!("/discovery/hosts?follow=1&since={}", self.list.version)
    }

    /// Opens the stream, which delivers changes since the current version.
    pub fn open(&mut self, context: &mut IoContext) {
        self.stream.open(&self.path(), context);
    }

    /// Switches the stream to another address. Returns whether it differs from the current one.
    pub fn change_address(&mut self, address: SocketAddr, context: &mut IoContext) -> bool {
        self.stream.change_address(address, &self.path(), context)
    }

    /// Handles an expired deadline of the stream.
    pub fn on_deadline(&mut self, slot: SlotKey, context: &mut IoContext) {
        if self.stream.on_deadline(slot, context) {
            self.open(context);
        }
    }

    /// Records that a socket of the stream became ready.
    pub fn on_ready(&mut self, slot: SlotKey, readiness: Readiness) {
        self.stream.on_ready(slot, readiness);
    }

    /// Reads from the stream and applies the received lists.
    pub fn serve(&mut self, upstream: &mut Upstream, context: &mut EventContext<'_>) {
        let list_state = &mut self.list;
        let policy = &mut *context.policy;
        let on_line = |line: &str, partial: &mut String, io: &mut IoContext| {
            list_state.confirmed_at = io.now;
            let Some(list) = endpoint_list::add_line(partial, line)? else {
                return Ok::<(), LineError>(());
            };
            if list_state.accepts(&list, io.now) {
                list_state.advance(list.version, io.now);
                apply(&list, upstream, &mut EventContext { io, policy });
            } else {
                let current_version = list_state.version;
                log_lines::stale_endpoint_list_ignored(&io.log, list.version, current_version);
            }
            Ok(())
        };
        self.stream.serve(context.io, on_line);
    }
}

/// Passes the listed endpoints to the policy, and updates the connections to them.
fn apply(list: &EndpointList, upstream: &mut Upstream, context: &mut EventContext<'_>) {
    if list.is_complete {
        context.policy.on_complete_endpoint_list();
        for name in upstream.endpoint_names() {
            if !list.contains(&name) {
                upstream.update_endpoint(&name, EndpointListing::Removed, context.io);
            }
        }
    }
    for endpoint in &list.endpoints {
        upstream.update_endpoint(&endpoint.name, endpoint.listing(), context.io);
        context.policy.on_endpoint(endpoint.entry());
    }
}
