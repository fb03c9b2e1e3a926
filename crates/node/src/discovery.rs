//! The list of machines, as a watch that always stands.

use std::net::SocketAddr;

use serde::Deserialize;
use slog::info;
use tidescale::decide::Balancer;
use tidescale::front::Standing;

use crate::buffers::Fill;
use crate::http;
use crate::link::{Ground, Link, Part};
use crate::upstream::Upstream;

const MS: u64 = 1000;
const OWNER: (Part, u64) = (Part::Watch, 0);
/// Three of the empty lines that come while nothing changes.
const SILENCE: u64 = 6000 * MS;
const FIRST_PAUSE: u64 = 100 * MS;
const LONGEST_PAUSE: u64 = 2000 * MS;
const READ_AHEAD: usize = 256 * 1024;

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
    #[serde(default)]
    cell: u64,
    state: State,
    #[serde(default)]
    started_ms: f64,
    #[serde(default)]
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
                    upstream.place(&name, None, ground);
                }
            }
        }
        for e in &self.servers {
            let standing = match e.state {
                State::Active => Standing::Ready,
                State::Leaving => Standing::Draining,
                State::Left => Standing::Gone,
            };
            upstream.place(&e.id, Some(e.addr).filter(|_| e.state == State::Active), ground);
            let started = (e.started_ms.max(0.0) * 1000.0) as u64;
            to.machine(&e.id, (&e.zone, e.cell, &e.kind), e.image_id, standing, started);
        }
    }
}

pub struct Discovery {
    addr: SocketAddr,
    link: Option<Link>,
    answer: http::Answer,
    version: u64,
    pause: u64,
}

impl Discovery {
    pub fn new(addr: SocketAddr) -> Discovery {
        Discovery { addr, link: None, answer: http::Answer::default(), version: 0, pause: FIRST_PAUSE }
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

    /// Opens the watch anew where it last stood.
    pub fn open(&mut self, ground: &mut Ground) {
        self.link = None;
        self.answer = http::Answer::default();
        match Link::open(ground, self.addr, OWNER) {
            Ok(mut link) => {
                let path = format!("/discovery/hosts?follow=1&since={}", self.version);
                http::get(&mut link.output, &self.addr.to_string(), &path);
                self.link = Some(link);
                ground.deadlines.set(OWNER, ground.now + SILENCE);
            }
            Err(e) => self.broken(&e.to_string(), ground),
        }
    }

    fn broken(&mut self, why: &str, ground: &mut Ground) {
        info!(ground.log, "watch on the machine list ended"; "why" => why, "again_ms" => self.pause / MS);
        self.link = None;
        ground.deadlines.set(OWNER, ground.now + self.pause);
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    /// Silence, or a pause that is over.
    pub fn due(&mut self, ground: &mut Ground) {
        if self.link.is_some() { self.broken("silent", ground) } else { self.open(ground) }
    }

    pub fn found(&mut self, readiness: calloop::Readiness) {
        if let Some(link) = &mut self.link {
            link.found(readiness);
        }
    }

    pub fn serve(&mut self, ground: &mut Ground, upstream: &mut Upstream, to: &mut Balancer) {
        let Some(link) = &mut self.link else { return };
        let flushed = link.flush();
        let read = link.read(READ_AHEAD);
        if !link.input.is_empty() {
            ground.deadlines.set(OWNER, ground.now + SILENCE);
        }
        let mut fault = self.answer.read(&mut link.input).err().map(|e| e.0.to_string());
        if fault.is_none() && self.answer.has_begun() && self.answer.status != 200 {
            fault = Some(format!("status {}", self.answer.status));
        }
        if fault.is_none() {
            fault = self.listings(ground, upstream, to).err();
        }
        match (fault, flushed, read) {
            (Some(why), ..) => self.broken(&why, ground),
            (_, Err(e), _) | (_, _, Err(e)) => self.broken(&e.to_string(), ground),
            (.., Ok(Fill::Ended)) => self.broken("closed", ground),
            _ if self.answer.is_done() => self.broken("complete", ground),
            _ => {}
        }
    }

    fn listings(
        &mut self,
        ground: &mut Ground,
        upstream: &mut Upstream,
        to: &mut Balancer,
    ) -> Result<(), String> {
        let (mut fault, mut listings) = (None, Vec::new());
        let read = self.answer.lines(|line| {
            if !line.trim().is_empty() && fault.is_none() {
                match serde_json::from_str::<Listing>(line) {
                    Ok(listing) => listings.push(listing),
                    Err(e) => fault = Some(e.to_string()),
                }
            }
        });
        for listing in listings {
            self.pause = FIRST_PAUSE;
            self.version = listing.version;
            listing.tell(ground, upstream, to);
        }
        read.map_err(|e| e.0.to_string())?;
        fault.map_or(Ok(()), Err)
    }
}
