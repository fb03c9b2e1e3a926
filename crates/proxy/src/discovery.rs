//! The endpoint list, as a stream that always stands: keeps its version and passes changes on to the policy and to the
//! endpoints' connections.

use std::net::SocketAddr;
use std::time::Duration;

use calloop::Readiness;
use slog::info;
use tidescale_policy::Balancer;
use tidescale_policy::types::Timestamp;

use crate::connection::{Component, IoContext};
use crate::endpoint_list::{self, EndpointList};
use crate::stream::{LineError, PersistentStream, StreamTimeouts};
use crate::upstream::Upstream;

/// Three of the empty lines that come while nothing changes.
const SILENCE: Duration = Duration::from_millis(6000);
/// One service for all instances takes few calls a second, and has them wait in turn: whoever gives up early has had the
/// work done in vain, and asks for it again. An instance counts as notified of what it misses 6 s after its stream has
/// fallen silent.
const SHARED_SERVICE: StreamTimeouts = StreamTimeouts {
    silence: Duration::from_millis(3500),
    response_start: Duration::from_millis(4000),
    max_backoff: Duration::from_millis(2000),
    renewal_interval: None,
};
/// An agent on this instance's host responds at once and for nothing. After a silence the instance counts as notified
/// at once of all that the agent has got: a response's start and a backoff together stay under the grace period.
const LOCAL_AGENT: StreamTimeouts = StreamTimeouts {
    response_start: Duration::from_millis(500),
    max_backoff: Duration::from_millis(200),
    ..StreamTimeouts::responsive_server(SILENCE)
};
/// What discovery has to send arrives within this, by whichever way.
const PROPAGATION_TIME: Duration = Duration::from_millis(6000);

/// Who serves the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// An agent on this instance's host, which pushes changes.
    LocalAgent,
    /// One service for all instances, which has to be asked.
    SharedService,
}

impl ListSource {
    fn timeouts(self) -> StreamTimeouts {
        match self {
            ListSource::LocalAgent => LOCAL_AGENT,
            ListSource::SharedService => SHARED_SERVICE,
        }
    }
}

/// Which list is known, and since when.
#[derive(Default)]
struct ListProgress {
    version: u64,
    /// When discovery last confirmed the list; the origin of time if it never has.
    confirmed_at: Timestamp,
    /// When its version last changed.
    changed_at: Timestamp,
}

impl ListProgress {
    /// Whether a list counts. Two streams stand side by side for a while, and what one of them delivers may be behind
    /// the other. Only a complete list is believed that stays behind: then discovery has begun to count anew.
    fn accepts(&self, list: &EndpointList, now: Timestamp) -> bool {
        let is_behind = list.version < self.version;
        let has_settled = now >= self.changed_at + PROPAGATION_TIME;
        !is_behind || list.is_complete && has_settled
    }

    fn advance(&mut self, version: u64, now: Timestamp) {
        if version != self.version {
            self.changed_at = now;
        }
        self.version = version;
    }
}

/// The endpoint list's stream and what is known of the list.
pub struct Discovery {
    stream: PersistentStream,
    list: ListProgress,
}

impl Discovery {
    /// Not open yet.
    pub fn new(address: SocketAddr, source: ListSource, seed: u64) -> Discovery {
        let timeouts = source.timeouts();
        Discovery {
            stream: PersistentStream::new(Component::EndpointList, address, timeouts, seed),
            list: ListProgress::default(),
        }
    }

    /// Takes the list that this instance last had; it serves until the stream delivers.
    pub fn apply_known_list(
        &mut self,
        known: &EndpointList,
        context: &mut IoContext,
        upstream: &mut Upstream,
        policy: &mut Balancer,
    ) {
        self.list.version = known.version;
        apply(known, context, upstream, policy);
    }

    /// The list's version.
    pub fn list_version(&self) -> u64 {
        self.list.version
    }

    /// When discovery last confirmed the list; the origin of time if it never has.
    pub fn list_confirmed_at(&self) -> Timestamp {
        self.list.confirmed_at
    }

    fn path(&self) -> String {
        format!("/discovery/hosts?follow=1&since={}", self.list.version)
    }

    /// Opens the stream where the list stands.
    pub fn open(&mut self, context: &mut IoContext) {
        self.stream.open(&self.path(), context);
    }

    /// Moves to another address; returns whether it is another one.
    pub fn change_address(&mut self, address: SocketAddr, context: &mut IoContext) -> bool {
        self.stream.change_address(address, &self.path(), context)
    }

    /// A deadline of the stream's is due.
    pub fn on_deadline(&mut self, slot: u64, context: &mut IoContext) {
        if self.stream.on_deadline(slot, context) {
            self.open(context);
        }
    }

    /// A socket of the stream's has become ready.
    pub fn on_ready(&mut self, slot: u64, readiness: Readiness) {
        self.stream.on_ready(slot, readiness);
    }

    /// Reads what has come and applies the lists in it.
    pub fn serve(
        &mut self,
        context: &mut IoContext,
        upstream: &mut Upstream,
        policy: &mut Balancer,
    ) {
        let progress = &mut self.list;
        let on_line = |line: &str, partial: &mut String, context: &mut IoContext| {
            progress.confirmed_at = context.now;
            let Some(list) = endpoint_list::add_line(partial, line)? else {
                return Ok::<(), LineError>(());
            };
            if progress.accepts(&list, context.now) {
                progress.advance(list.version, context.now);
                apply(&list, context, upstream, policy);
            } else {
                info!(context.log, "ignored an endpoint list that is behind";
                    "version" => list.version, "known" => progress.version);
            }
            Ok(())
        };
        self.stream.serve(context, on_line);
    }
}

/// Notifies the policy, and the connections of where the endpoints are.
fn apply(
    list: &EndpointList,
    context: &mut IoContext,
    upstream: &mut Upstream,
    policy: &mut Balancer,
) {
    if list.is_complete {
        policy.on_complete_endpoint_list();
        for name in upstream.endpoint_names() {
            if !list.contains(&name) {
                upstream.update_endpoint(&name, None, false, context);
            }
        }
    }
    for endpoint in &list.endpoints {
        let process = endpoint.process();
        upstream.update_endpoint(&endpoint.name, process, endpoint.is_ready(), context);
        policy.on_endpoint(endpoint.entry());
    }
}
