//! An answer over HTTP that never ends, line by line: opened anew, after ever longer pauses, when it ends or
//! falls silent.

use std::net::SocketAddr;

use calloop::Readiness;
use slog::info;

use crate::buffers::Fill;
use crate::http;
use crate::link::{Ground, Link, Owner};

const MS: u64 = 1000;
const FIRST_PAUSE: u64 = 100 * MS;
const LONGEST_PAUSE: u64 = 2000 * MS;
const READ_AHEAD: usize = 256 * 1024;

pub struct Stream {
    owner: Owner,
    addr: SocketAddr,
    /// Longer than any pause between signs of life.
    silence: u64,
    link: Option<Link>,
    answer: http::Answer,
    pause: u64,
}

impl Stream {
    pub fn new(owner: Owner, addr: SocketAddr, silence: u64) -> Stream {
        Stream { owner, addr, silence, link: None, answer: http::Answer::default(), pause: FIRST_PAUSE }
    }

    pub fn open(&mut self, path: &str, ground: &mut Ground) {
        self.answer = http::Answer::default();
        match Link::open(ground, self.addr, self.owner) {
            Ok(mut link) => {
                http::get(&mut link.output, &self.addr.to_string(), path);
                self.link = Some(link);
                ground.deadlines.set(self.owner, ground.now + self.silence);
            }
            Err(e) => self.broken(&e.to_string(), ground),
        }
    }

    fn broken(&mut self, why: &str, ground: &mut Ground) {
        info!(ground.log, "stream ended"; "part" => ?self.owner.0, "why" => why, "again_ms" => self.pause / MS);
        self.link = None;
        ground.deadlines.set(self.owner, ground.now + self.pause);
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
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
        mut each: impl FnMut(&str, &mut Ground) -> Result<(), String>,
    ) {
        let Some(link) = &mut self.link else { return };
        let flushed = link.flush();
        let (mut read, mut fault) = (Ok(Fill::Enough), Ok(()));
        while matches!(read, Ok(Fill::Enough)) && fault.is_ok() {
            read = link.read(READ_AHEAD);
            if !link.input.is_empty() {
                ground.deadlines.set(self.owner, ground.now + self.silence);
            }
            fault = self.answer.read(&mut link.input).map_err(|e| e.0.to_string());
        }
        if self.answer.has_begun() && self.answer.status != 200 {
            fault = Err(format!("status {}", self.answer.status));
        }
        if fault.is_ok() {
            let pause = &mut self.pause;
            let lines = self.answer.lines(|line| {
                *pause = FIRST_PAUSE;
                let told = each(line, ground);
                fault = std::mem::replace(&mut fault, Ok(())).and(told);
            });
            fault = fault.and(lines.map_err(|e| e.0.to_string()));
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
