//! The list of machines, as a watch that always stands.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use slog::info;
use tidescale_policy::Balancer;
use tidescale_policy::types::{EndpointEntry, EndpointState, Timestamp};

use crate::connection::{Component, IoContext};
use crate::stream::{Pace, PersistentStream};
use crate::upstream::{ProcessIdentity, Upstream};

/// Three of the empty lines that come while nothing changes.
const SILENCE: Duration = Duration::from_millis(6000);
/// One service for all fronts takes few calls a second, and lets them wait in turn: whoever gives up early has had the
/// work done in vain, and asks for it again. What it misses counts as told 6 s after a watch has fallen silent.
const ASKED: Pace = Pace {
    silence: Duration::from_millis(3500),
    opening: Duration::from_millis(4000),
    longest: Duration::from_millis(2000),
    afresh: None,
};
/// An agent on this front's own machine answers at once and for nothing. After a time of silence what it has got counts
/// as told at once: an opening and a pause together stay under the grace that rules give.
const PUSHED: Pace = Pace {
    opening: Duration::from_millis(500),
    longest: Duration::from_millis(200),
    ..Pace::near(SILENCE)
};
/// What discovery has to tell arrives within this, by whichever way.
const SETTLED: Duration = Duration::from_millis(6000);
const LONGEST_LIST: usize = 4 * 1024 * 1024;

#[derive(Deserialize)]
pub struct Listing {
    version: u64,
    full: bool,
    servers: Vec<Entry>,
}

#[derive(Deserialize)]
struct Entry {
    id: String,
    addr: SocketAddr,
    zone: String,
    kind: String,
    cell: u64,
    state: State,
    started_ms: f64,
    image_id: u32,
}

#[derive(Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Active,
    Leaving,
    Left,
}

impl Listing {
    /// Tells the module, and where the machines are.
    fn tell(&self, context: &mut IoContext, upstream: &mut Upstream, policy: &mut Balancer) {
        if self.full {
            policy.on_complete_endpoint_list();
            for name in upstream.endpoint_names() {
                if !self.servers.iter().any(|e| e.id == name) {
                    upstream.update_endpoint(&name, None, false, context);
                }
            }
        }
        for e in &self.servers {
            let standing = match e.state {
                State::Active => EndpointState::Ready,
                State::Leaving => EndpointState::Draining,
                State::Left => EndpointState::Removed,
            };
            let started = (e.started_ms.max(0.0) * 1000.0) as u64;
            let started_at = (started > 0).then(|| Timestamp::from_micros(started));
            // One that drains may still be probed.
            let identity = ProcessIdentity {
                address: e.addr,
                build: e.image_id,
                started_at,
            };
            let listed = Some(identity).filter(|_| e.state != State::Left);
            upstream.update_endpoint(&e.id, listed, e.state == State::Active, context);
            policy.on_endpoint(EndpointEntry {
                name: &e.id,
                zone: &e.zone,
                cell: e.cell,
                hardware_class: &e.kind,
                build: e.image_id,
                state: standing,
                started_at,
            });
        }
    }
}

pub struct Discovery {
    streams: PersistentStream,
    version: u64,
    /// When the list was last heard to be true, and when it last changed.
    heard: Timestamp,
    newer: Timestamp,
}

impl Discovery {
    /// `ask`: the list has to be asked for, of one service for all fronts.
    pub fn new(addr: SocketAddr, ask: bool, seed: u64) -> Discovery {
        let pace = if ask { ASKED } else { PUSHED };
        let streams = PersistentStream::new(Component::EndpointList, addr, pace, seed);
        Discovery {
            streams,
            version: 0,
            heard: Timestamp::ZERO,
            newer: Timestamp::ZERO,
        }
    }

    /// The list as this front last had it serves until the watch answers.
    pub fn apply_known_list(
        &mut self,
        known: &Listing,
        context: &mut IoContext,
        upstream: &mut Upstream,
        policy: &mut Balancer,
    ) {
        self.version = known.version;
        known.tell(context, upstream, policy);
    }

    /// The list's version.
    pub fn list_version(&self) -> u64 {
        self.version
    }

    /// When discovery last confirmed the list; the origin of time if it never has.
    pub fn list_confirmed_at(&self) -> Timestamp {
        self.heard
    }

    fn path(&self) -> String {
        format!("/discovery/hosts?follow=1&since={}", self.version)
    }

    /// Opens the watch where it last stood.
    pub fn open(&mut self, context: &mut IoContext) {
        self.streams.open(&self.path(), context);
    }

    pub fn change_address(&mut self, addr: SocketAddr, context: &mut IoContext) -> bool {
        self.streams.change_address(addr, &self.path(), context)
    }

    pub fn on_deadline(&mut self, number: u64, context: &mut IoContext) {
        if self.streams.on_deadline(number, context) {
            self.open(context);
        }
    }

    pub fn on_ready(&mut self, number: u64, readiness: calloop::Readiness) {
        self.streams.on_ready(number, readiness);
    }

    pub fn serve(
        &mut self,
        context: &mut IoContext,
        upstream: &mut Upstream,
        policy: &mut Balancer,
    ) {
        let (version, heard, newer) = (&mut self.version, &mut self.heard, &mut self.newer);
        self.streams.serve(context, |line, held, context| {
            *heard = context.now;
            if line.trim().is_empty() {
                // The sign of life stands between lists: what was begun before it has no end.
                return if held.is_empty() { Ok(()) } else { Err("a list without its end".into()) };
            }
            held.push_str(line);
            held.push('\n');
            if !is_whole(held, line.len() + 1) {
                return if held.len() > LONGEST_LIST { Err("a list too long".into()) } else { Ok(()) };
            }
            let listing: Listing = serde_json::from_str(held).map_err(|e| e.to_string())?;
            held.clear();
            // Two streams stand side by side for a while, and what one of them tells may be behind the other. Only
            // a whole list is believed that stays behind: then discovery counts anew.
            let behind = listing.version < *version;
            if behind && (!listing.full || context.now < *newer + SETTLED) {
                info!(context.log, "passed over a list that is behind"; "version" => listing.version,
                    "known" => *version);
                return Ok(());
            }
            if listing.version != *version {
                *newer = context.now;
            }
            *version = listing.version;
            listing.tell(context, upstream, policy);
            Ok(())
        });
    }
}

/// Whether the text, to which so many bytes were just added, can be a whole object: each brace that it opens is
/// closed. A list may come over many lines, and is read once.
fn is_whole(text: &str, added: usize) -> bool {
    // Only what closes the outermost brace ends a list; of a long one most lines do not even end with a brace.
    if !text[text.len() - added..].trim_end().ends_with('}') && text.starts_with('{') {
        return false;
    }
    let (mut depth, mut quoted, mut escaped) = (0usize, false, false);
    for byte in text.bytes() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' => escaped = quoted,
            b'"' => quoted = !quoted,
            b'{' if !quoted => depth += 1,
            b'}' if !quoted => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    depth == 0
}
