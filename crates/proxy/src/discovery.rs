//! The list of machines, as a watch that always stands.

use std::net::SocketAddr;

use serde::Deserialize;
use slog::info;
use tidescale_policy::decide::Balancer;
use tidescale_policy::front::Standing;

use crate::connection::{Ground, Part};
use crate::stream::{Pace, Standing as Streams};
use crate::upstream::Upstream;

const MS: u64 = 1000;
/// Three of the empty lines that come while nothing changes.
const SILENCE: u64 = 6000 * MS;
/// One service for all fronts takes few calls a second, and lets them wait in turn: whoever gives up early has had the
/// work done in vain, and asks for it again. What it misses counts as told 6 s after a watch has fallen silent.
const ASKED: Pace = Pace { silence: 3500 * MS, opening: 4000 * MS, longest: 2000 * MS, afresh: None };
/// An agent on this front's own machine answers at once and for nothing. After a time of silence what it has got counts
/// as told at once: an opening and a pause together stay under the grace that rules give.
const PUSHED: Pace = Pace { opening: 500 * MS, longest: 200 * MS, ..Pace::near(SILENCE) };
/// What discovery has to tell arrives within this, by whichever way.
const SETTLED: u64 = 6000 * MS;
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
    fn tell(&self, ground: &mut Ground, upstream: &mut Upstream, to: &mut Balancer) {
        to.list(self.full);
        if self.full {
            for name in upstream.names() {
                if !self.servers.iter().any(|e| e.id == name) {
                    upstream.place(&name, None, false, ground);
                }
            }
        }
        for e in &self.servers {
            let standing = match e.state {
                State::Active => Standing::Ready,
                State::Leaving => Standing::Draining,
                State::Left => Standing::Gone,
            };
            let started = (e.started_ms.max(0.0) * 1000.0) as u64;
            // One that drains may still be probed.
            let listed = Some((e.addr, e.image_id, started)).filter(|_| e.state != State::Left);
            upstream.place(&e.id, listed, e.state == State::Active, ground);
            to.machine(&e.id, (&e.zone, e.cell, &e.kind), e.image_id, standing, started);
        }
    }
}

pub struct Discovery {
    streams: Streams,
    version: u64,
    /// When the list was last heard to be true, and when it last changed.
    heard: u64,
    newer: u64,
}

impl Discovery {
    /// `ask`: the list has to be asked for, of one service for all fronts.
    pub fn new(addr: SocketAddr, ask: bool, seed: u64) -> Discovery {
        let pace = if ask { ASKED } else { PUSHED };
        let streams = Streams::new(Part::Watch, addr, pace, seed);
        Discovery { streams, version: 0, heard: 0, newer: 0 }
    }

    /// The list as this front last had it serves until the watch answers.
    pub fn known(
        &mut self,
        known: &Listing,
        ground: &mut Ground,
        upstream: &mut Upstream,
        to: &mut Balancer,
    ) {
        self.version = known.version;
        known.tell(ground, upstream, to);
    }

    /// The list's version, and when it was last heard from discovery.
    pub fn heard(&self) -> (u64, u64) {
        (self.version, self.heard)
    }

    fn path(&self) -> String {
        format!("/discovery/hosts?follow=1&since={}", self.version)
    }

    /// Opens the watch where it last stood.
    pub fn open(&mut self, ground: &mut Ground) {
        self.streams.open(&self.path(), ground);
    }

    pub fn move_to(&mut self, addr: SocketAddr, ground: &mut Ground) -> bool {
        self.streams.move_to(addr, &self.path(), ground)
    }

    pub fn due(&mut self, number: u64, ground: &mut Ground) {
        if self.streams.due(number, ground) {
            self.open(ground);
        }
    }

    pub fn found(&mut self, number: u64, readiness: calloop::Readiness) {
        self.streams.found(number, readiness);
    }

    pub fn serve(&mut self, ground: &mut Ground, upstream: &mut Upstream, to: &mut Balancer) {
        let (version, heard, newer) = (&mut self.version, &mut self.heard, &mut self.newer);
        self.streams.serve(ground, |line, held, ground| {
            *heard = ground.now;
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
            if behind && (!listing.full || ground.now < *newer + SETTLED) {
                info!(ground.log, "passed over a list that is behind"; "version" => listing.version,
                    "known" => *version);
                return Ok(());
            }
            if listing.version != *version {
                *newer = ground.now;
            }
            *version = listing.version;
            listing.tell(ground, upstream, to);
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
