//! The list of machines, as a watch that always stands.

use std::net::SocketAddr;

use serde::Deserialize;
use tidescale::decide::Balancer;
use tidescale::front::Standing;

use crate::link::{Ground, Part};
use crate::stream::Standing as Streams;
use crate::upstream::Upstream;

const MS: u64 = 1000;
/// Three of the empty lines that come while nothing changes.
const SILENCE: u64 = 6000 * MS;

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
    /// When the list was last heard to be true.
    heard: u64,
}

impl Discovery {
    pub fn new(addr: SocketAddr) -> Discovery {
        Discovery { streams: Streams::new(Part::Watch, addr, SILENCE), version: 0, heard: 0 }
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
        let (version, heard) = (&mut self.version, &mut self.heard);
        self.streams.serve(ground, |line, _, ground| {
            *heard = ground.now;
            if !line.trim().is_empty() {
                let listing: Listing = serde_json::from_str(line).map_err(|e| e.to_string())?;
                *version = listing.version;
                listing.tell(ground, upstream, to);
            }
            Ok(())
        });
    }
}
