//! An answer over HTTP that never ends, line by line: opened anew, after ever longer pauses, when it ends or
//! falls silent.

use std::net::SocketAddr;
use std::time::Duration;

use calloop::Readiness;
use oorandom::Rand32;
use slog::info;

use tidescale_policy::types::whole_micros;

use crate::buffers::Fill;
use crate::connection::{Component, Connection, IoContext, Owner};
use crate::http;

const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(2000);
/// An answer that begins takes no longer.
const OPENING: Duration = Duration::from_millis(1000);
/// What has begun goes on at once, or has stopped short: the far side may show life, and tell the rest to nobody.
const PART: Duration = Duration::from_millis(400);
/// A stream may show life and tell nothing of what changes: one opened anew tells what was missed.
const AFRESH: Duration = Duration::from_millis(3000);
/// The deadline for that, beside those of streams.
const ANEW: u64 = u64::MAX;
const READ_AHEAD: usize = 256 * 1024;

/// How long a stream is waited for, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Longer than any pause between signs of life.
    pub silence: Duration,
    /// An answer that begins takes no longer.
    pub opening: Duration,
    /// The longest pause before it is opened again, by chance up to twice as long.
    pub longest: Duration,
    /// So often a standing stream is opened anew; never where each call costs the far side what all fronts share.
    pub afresh: Option<Duration>,
}

impl Pace {
    /// Of a far side that is on this front's own machine, or answers at once.
    pub const fn near(silence: Duration) -> Pace {
        Pace {
            silence,
            opening: OPENING,
            longest: LONGEST_PAUSE,
            afresh: Some(AFRESH),
        }
    }
}

pub struct Stream {
    owner: Owner,
    addr: SocketAddr,
    pace: Pace,
    /// Fronts whose streams ended together must not come back together, or they would all be turned away again.
    chance: Rand32,
    connection: Option<Connection>,
    answer: http::Answer,
    pause: Duration,
    /// It has told something since it was opened.
    told: bool,
    /// What of a longer message has come.
    held: String,
}

impl Stream {
    pub fn new(owner: Owner, addr: SocketAddr, pace: Pace, seed: u64) -> Stream {
        let (answer, pause, held) = (http::Answer::default(), FIRST_PAUSE, String::new());
        let chance = Rand32::new(seed ^ (owner.component as u64) << 32 ^ owner.slot);
        Stream {
            owner,
            addr,
            pace,
            chance,
            connection: None,
            answer,
            pause,
            told: false,
            held,
        }
    }

    pub fn open(&mut self, path: &str, context: &mut IoContext) {
        (self.answer, self.told) = (http::Answer::default(), false);
        self.held.clear();
        match Connection::open(context, self.addr, self.owner) {
            Ok(mut connection) => {
                http::get(&mut connection.output, &self.addr.to_string(), path);
                self.connection = Some(connection);
                context.deadlines.set(
                    self.owner,
                    context.now + self.pace.silence.min(self.pace.opening),
                );
            }
            Err(e) => self.broken(&e.to_string(), context),
        }
    }

    fn broken(&mut self, why: &str, context: &mut IoContext) {
        let pause = whole_micros(self.pause) as f64 * f64::from(1.0 + self.chance.rand_float());
        let pause = Duration::from_micros(pause as u64);
        info!(context.log, "stream ended"; "part" => ?self.owner.component, "why" => why, "again_ms" => pause.as_millis());
        self.connection = None;
        context.deadlines.set(self.owner, context.now + pause);
        self.pause = (self.pause * 2).min(self.pace.longest);
    }

    /// Silence, or a pause that is over: whether it is to be opened now.
    pub fn on_deadline(&mut self, context: &mut IoContext) -> bool {
        let silent = self.connection.is_some();
        if silent {
            self.broken("silent", context);
        }
        !silent
    }

    pub fn on_ready(&mut self, readiness: Readiness) {
        if let Some(connection) = &mut self.connection {
            connection.on_ready(readiness);
        }
    }

    /// Hands over the whole lines that have come; what is not read for want of buffers waits for the next call.
    pub fn serve(
        &mut self,
        context: &mut IoContext,
        mut each: impl FnMut(&str, &mut String, &mut IoContext) -> Result<(), String>,
    ) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        let flushed = connection.flush();
        let (mut read, mut fault, mut heard) = (Ok(Fill::Enough), Ok(()), false);
        while matches!(read, Ok(Fill::Enough)) && fault.is_ok() {
            read = connection.read(READ_AHEAD);
            heard |= !connection.input.is_empty();
            fault = self
                .answer
                .read(&mut connection.input)
                .map_err(|e| e.0.to_string());
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
                    fault = each(line, held, context);
                }
                // A part of something longer takes no earlier stream's place.
                *told |= fault.is_ok() && held.is_empty();
            });
            fault = fault.and(lines.map_err(|e| e.0.to_string()));
        }
        if heard {
            let whole = self.held.is_empty() && self.answer.is_between();
            context.deadlines.set(
                self.owner,
                context.now + if whole { self.pace.silence } else { PART },
            );
        }
        match (fault, flushed, read) {
            (Err(why), ..) => self.broken(&why, context),
            (_, Err(e), _) | (_, _, Err(e)) => self.broken(&e.to_string(), context),
            (.., Ok(Fill::Ended)) => self.broken("closed", context),
            _ if self.answer.is_done() => self.broken("complete", context),
            _ => {}
        }
    }
}

/// The stream that stands and, after a change of address and every now and then, the one whose place it takes: that
/// goes on until the new one tells something, or what is told in between would be missed.
pub struct PersistentStream {
    now: Stream,
    seed: u64,
    earlier: Option<Stream>,
}

impl PersistentStream {
    pub fn new(component: Component, addr: SocketAddr, pace: Pace, seed: u64) -> PersistentStream {
        PersistentStream {
            now: Stream::new(Owner::new(component, 0), addr, pace, seed),
            seed,
            earlier: None,
        }
    }

    pub fn open(&mut self, path: &str, context: &mut IoContext) {
        self.now.open(path, context);
        self.anew(context);
    }

    fn anew(&self, context: &mut IoContext) {
        if let Some(afresh) = self.now.pace.afresh {
            context.deadlines.set(
                Owner::new(self.now.owner.component, ANEW),
                context.now + afresh,
            );
        }
    }

    /// Whether the address is another one.
    pub fn change_address(
        &mut self,
        addr: SocketAddr,
        path: &str,
        context: &mut IoContext,
    ) -> bool {
        let moves = addr != self.now.addr;
        if moves {
            self.replace(addr, context);
            self.open(path, context);
        }
        moves
    }

    fn replace(&mut self, addr: SocketAddr, context: &mut IoContext) {
        let Owner { component, slot } = self.now.owner;
        let next = Stream::new(
            Owner::new(component, slot + 1),
            addr,
            self.now.pace,
            self.seed,
        );
        let left = std::mem::replace(&mut self.now, next);
        if left.told || self.earlier.is_none() {
            self.leave(context);
            self.earlier = Some(left);
        } else {
            context.deadlines.clear(left.owner);
        }
    }

    fn leave(&mut self, context: &mut IoContext) {
        if let Some(earlier) = self.earlier.take() {
            context.deadlines.clear(earlier.owner);
        }
    }

    /// Whether the stream is to be opened now; an earlier one never is.
    pub fn on_deadline(&mut self, number: u64, context: &mut IoContext) -> bool {
        if number == self.now.owner.slot {
            return self.now.on_deadline(context);
        }
        if number != ANEW {
            self.leave(context);
            return false;
        }
        if self.now.told {
            self.replace(self.now.addr, context);
            return true;
        }
        // Open for so long and still nothing told, not even that nothing changes: it is as silent as one that has
        // stopped, and what it misses counts as told before its silence would end it.
        if self.now.connection.is_some() && self.now.answer.has_begun() {
            self.now.broken("nothing told", context);
        }
        self.anew(context);
        false
    }

    pub fn on_ready(&mut self, number: u64, readiness: Readiness) {
        let streams = [Some(&mut self.now), self.earlier.as_mut()];
        streams
            .into_iter()
            .flatten()
            .filter(|s| s.owner.slot == number)
            .for_each(|s| s.on_ready(readiness));
    }

    pub fn serve(
        &mut self,
        context: &mut IoContext,
        mut each: impl FnMut(&str, &mut String, &mut IoContext) -> Result<(), String>,
    ) {
        if let Some(earlier) = &mut self.earlier {
            earlier.serve(context, &mut each);
            // The far side ends it, as it should.
            if earlier.connection.is_none() {
                self.leave(context);
            }
        }
        self.now.serve(context, each);
        if self.now.told {
            self.leave(context);
        }
    }
}
