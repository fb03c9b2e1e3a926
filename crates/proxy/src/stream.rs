//! An answer over HTTP that never ends, line by line: opened anew, after ever longer pauses, when it ends or
//! falls silent.

use std::net::SocketAddr;

use calloop::Readiness;
use oorandom::Rand32;
use slog::info;

use crate::buffers::Fill;
use crate::connection::{Ground, Link, Owner, Part};
use crate::http;

const MS: u64 = 1000;
const FIRST_PAUSE: u64 = 100 * MS;
const LONGEST_PAUSE: u64 = 2000 * MS;
/// An answer that begins takes no longer.
const OPENING: u64 = 1000 * MS;
/// What has begun goes on at once, or has stopped short: the far side may show life, and tell the rest to nobody.
const PART: u64 = 400 * MS;
/// A stream may show life and tell nothing of what changes: one opened anew tells what was missed.
const AFRESH: u64 = 3000 * MS;
/// The deadline for that, beside those of streams.
const ANEW: u64 = u64::MAX;
const READ_AHEAD: usize = 256 * 1024;

/// How long a stream is waited for, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Longer than any pause between signs of life.
    pub silence: u64,
    /// An answer that begins takes no longer.
    pub opening: u64,
    /// The longest pause before it is opened again, by chance up to twice as long.
    pub longest: u64,
    /// So often a standing stream is opened anew; never where each call costs the far side what all fronts share.
    pub afresh: Option<u64>,
}

impl Pace {
    /// Of a far side that is on this front's own machine, or answers at once.
    pub const fn near(silence: u64) -> Pace {
        Pace { silence, opening: OPENING, longest: LONGEST_PAUSE, afresh: Some(AFRESH) }
    }
}

pub struct Stream {
    owner: Owner,
    addr: SocketAddr,
    pace: Pace,
    /// Fronts whose streams ended together must not come back together, or they would all be turned away again.
    chance: Rand32,
    link: Option<Link>,
    answer: http::Answer,
    pause: u64,
    /// It has told something since it was opened.
    told: bool,
    /// What of a longer message has come.
    held: String,
}

impl Stream {
    pub fn new(owner: Owner, addr: SocketAddr, pace: Pace, seed: u64) -> Stream {
        let (answer, pause, held) = (http::Answer::default(), FIRST_PAUSE, String::new());
        let chance = Rand32::new(seed ^ (owner.0 as u64) << 32 ^ owner.1);
        Stream { owner, addr, pace, chance, link: None, answer, pause, told: false, held }
    }

    pub fn open(&mut self, path: &str, ground: &mut Ground) {
        (self.answer, self.told) = (http::Answer::default(), false);
        self.held.clear();
        match Link::open(ground, self.addr, self.owner) {
            Ok(mut link) => {
                http::get(&mut link.output, &self.addr.to_string(), path);
                self.link = Some(link);
                ground.deadlines.set(self.owner, ground.now + self.pace.silence.min(self.pace.opening));
            }
            Err(e) => self.broken(&e.to_string(), ground),
        }
    }

    fn broken(&mut self, why: &str, ground: &mut Ground) {
        let pause = (self.pause as f64 * f64::from(1.0 + self.chance.rand_float())) as u64;
        info!(ground.log, "stream ended"; "part" => ?self.owner.0, "why" => why, "again_ms" => pause / MS);
        self.link = None;
        ground.deadlines.set(self.owner, ground.now + pause);
        self.pause = (self.pause * 2).min(self.pace.longest);
    }

    /// Silence, or a pause that is over: whether it is to be opened now.
    pub fn due(&mut self, ground: &mut Ground) -> bool {
        let silent = self.link.is_some();
        if silent {
            self.broken("silent", ground);
        }
        !silent
    }

    pub fn found(&mut self, readiness: Readiness) {
        if let Some(link) = &mut self.link {
            link.found(readiness);
        }
    }

    /// Hands over the whole lines that have come; what is not read for want of buffers waits for the next call.
    pub fn serve(
        &mut self,
        ground: &mut Ground,
        mut each: impl FnMut(&str, &mut String, &mut Ground) -> Result<(), String>,
    ) {
        let Some(link) = &mut self.link else { return };
        let flushed = link.flush();
        let (mut read, mut fault, mut heard) = (Ok(Fill::Enough), Ok(()), false);
        while matches!(read, Ok(Fill::Enough)) && fault.is_ok() {
            read = link.read(READ_AHEAD);
            heard |= !link.input.is_empty();
            fault = self.answer.read(&mut link.input).map_err(|e| e.0.to_string());
        }
        if self.answer.has_begun() && self.answer.status != 200 {
            fault = Err(format!("status {}", self.answer.status));
        }
        if fault.is_ok() {
            let (pause, told, held) = (&mut self.pause, &mut self.told, &mut self.held);
            let lines = self.answer.lines(|line| {
                *pause = FIRST_PAUSE;
                // What follows something that can't be read is worth no more than that.
                if fault.is_ok() {
                    fault = each(line, held, ground);
                }
                // A part of something longer takes no earlier stream's place.
                *told |= fault.is_ok() && held.is_empty();
            });
            fault = fault.and(lines.map_err(|e| e.0.to_string()));
        }
        if heard {
            let whole = self.held.is_empty() && self.answer.is_between();
            ground.deadlines.set(self.owner, ground.now + if whole { self.pace.silence } else { PART });
        }
        match (fault, flushed, read) {
            (Err(why), ..) => self.broken(&why, ground),
            (_, Err(e), _) | (_, _, Err(e)) => self.broken(&e.to_string(), ground),
            (.., Ok(Fill::Ended)) => self.broken("closed", ground),
            _ if self.answer.is_done() => self.broken("complete", ground),
            _ => {}
        }
    }
}

/// The stream that stands and, after a change of address and every now and then, the one whose place it takes: that
/// goes on until the new one tells something, or what is told in between would be missed.
pub struct Standing {
    now: Stream,
    seed: u64,
    earlier: Option<Stream>,
}

impl Standing {
    pub fn new(part: Part, addr: SocketAddr, pace: Pace, seed: u64) -> Standing {
        Standing { now: Stream::new((part, 0), addr, pace, seed), seed, earlier: None }
    }

    pub fn open(&mut self, path: &str, ground: &mut Ground) {
        self.now.open(path, ground);
        self.anew(ground);
    }

    fn anew(&self, ground: &mut Ground) {
        if let Some(afresh) = self.now.pace.afresh {
            ground.deadlines.set((self.now.owner.0, ANEW), ground.now + afresh);
        }
    }

    /// Whether the address is another one.
    pub fn move_to(&mut self, addr: SocketAddr, path: &str, ground: &mut Ground) -> bool {
        let moves = addr != self.now.addr;
        if moves {
            self.replace(addr, ground);
            self.open(path, ground);
        }
        moves
    }

    fn replace(&mut self, addr: SocketAddr, ground: &mut Ground) {
        let (part, made) = self.now.owner;
        let next = Stream::new((part, made + 1), addr, self.now.pace, self.seed);
        let left = std::mem::replace(&mut self.now, next);
        if left.told || self.earlier.is_none() {
            self.leave(ground);
            self.earlier = Some(left);
        } else {
            ground.deadlines.clear(left.owner);
        }
    }

    fn leave(&mut self, ground: &mut Ground) {
        if let Some(earlier) = self.earlier.take() {
            ground.deadlines.clear(earlier.owner);
        }
    }

    /// Whether the stream is to be opened now; an earlier one never is.
    pub fn due(&mut self, number: u64, ground: &mut Ground) -> bool {
        if number == self.now.owner.1 {
            return self.now.due(ground);
        }
        if number != ANEW {
            self.leave(ground);
            return false;
        }
        if self.now.told {
            self.replace(self.now.addr, ground);
            return true;
        }
        // Open for so long and still nothing told, not even that nothing changes: it is as silent as one that has
        // stopped, and what it misses counts as told before its silence would end it.
        if self.now.link.is_some() && self.now.answer.has_begun() {
            self.now.broken("nothing told", ground);
        }
        self.anew(ground);
        false
    }

    pub fn found(&mut self, number: u64, readiness: Readiness) {
        let streams = [Some(&mut self.now), self.earlier.as_mut()];
        streams.into_iter().flatten().filter(|s| s.owner.1 == number).for_each(|s| s.found(readiness));
    }

    pub fn serve(
        &mut self,
        ground: &mut Ground,
        mut each: impl FnMut(&str, &mut String, &mut Ground) -> Result<(), String>,
    ) {
        if let Some(earlier) = &mut self.earlier {
            earlier.serve(ground, &mut each);
            // The far side ends it, as it should.
            if earlier.link.is_none() {
                self.leave(ground);
            }
        }
        self.now.serve(ground, each);
        if self.now.told {
            self.leave(ground);
        }
    }
}
