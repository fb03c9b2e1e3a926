//! Clients' connections and the reqs that came over them.

use std::io;
use std::net::TcpListener;
use std::ops::Range;
use std::rc::Rc;

use slog::{debug, info, warn};
use tidescale::decide::Balancer;

use crate::buffers::{Chain, Fill};
use crate::link::{Ground, Link, Part};
use crate::pg::{self, Malformed, Opening};
use crate::slots::Slots;

const MS: u64 = 1000;
/// A statement, and the beginning of what follows it.
const READ_AHEAD: usize = pg::LONGEST + 4096;

/// A client that has sent no startup message for so long has none to send.
const SILENT: u64 = 1000 * MS;

struct Client {
    link: Link,
    admitted: bool,
    /// The req that is being answered.
    busy: Option<u64>,
    /// An extended query was declined; all up to its Sync goes with it.
    declined: bool,
    /// Closes once all is written.
    leaving: bool,
    used: u64,
}

pub struct Req {
    /// Until it has its answer.
    client: Option<u64>,
    pub statement: Chain,
    pub wait_at: Range<usize>,
    /// The connection of each upstream try that is out, by its number.
    pub tries: Vec<Option<u64>>,
}

pub struct Clients {
    listener: Rc<TcpListener>,
    /// The loop told of connections that were not taken then.
    waiting: bool,
    table: Slots<Client>,
    reqs: Slots<Req>,
    routes: Vec<String>,
    /// Clients whose next message may be there already.
    again: Vec<u64>,
    /// Clients that were not read for want of buffers.
    starved: Vec<u64>,
    stopping: bool,
}

impl Clients {
    pub fn new(
        ground: &Ground,
        listener: TcpListener,
        routes: Vec<String>,
        most: usize,
    ) -> io::Result<Clients> {
        listener.set_nonblocking(true)?;
        let listener = Rc::new(listener);
        ground.register(listener.clone(), (Part::Listener, 0))?;
        let (table, reqs) = (Slots::new(most), Slots::new(usize::MAX));
        Ok(Clients {
            listener,
            waiting: false,
            table,
            reqs,
            routes,
            again: Vec::new(),
            starved: Vec::new(),
            stopping: false,
        })
    }

    pub fn knocked(&mut self) {
        self.waiting = true;
    }

    /// There is something to do before the loop tells of anything.
    pub fn is_pressed(&self, ground: &Ground) -> bool {
        !self.again.is_empty() || !self.starved.is_empty() && !ground.pool.is_empty()
    }

    pub fn open_reqs(&self) -> usize {
        self.reqs.used()
    }

    /// Takes new connections while there are descriptors; over that, idle ones make room, never those in use.
    pub fn accept(&mut self, ground: &mut Ground) {
        while self.waiting {
            if self.table.is_full() && !self.close_idlest(ground) {
                return;
            }
            let socket = match self.listener.accept() {
                Ok((socket, _)) => socket,
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted) =>
                {
                    continue;
                }
                Err(e) => {
                    self.waiting = e.kind() != io::ErrorKind::WouldBlock;
                    if self.waiting {
                        warn!(ground.log, "cannot accept"; "error" => %e);
                    }
                    return;
                }
            };
            let made = self.table.insert(|key| {
                let link = Link::over(ground, socket, (Part::Client, key))?;
                let used = ground.now;
                Ok(Client { link, admitted: false, busy: None, declined: false, leaving: false, used })
            });
            if let Some(Err(e)) = made {
                let e: io::Error = e;
                warn!(ground.log, "cannot keep a client"; "error" => %e);
            }
        }
    }

    fn close_idlest(&mut self, ground: &Ground) -> bool {
        // One that has just come has a req on its way; one that says nothing for long does not count as come.
        let waits = |c: &Client| c.admitted || c.used + SILENT < ground.now;
        let rests = |c: &Client| c.busy.is_none() && c.link.output.is_empty() && c.link.is_quiet();
        let idle = self.table.iter().filter(|(_, c)| waits(c) && rests(c));
        let Some(key) = idle.min_by_key(|(_, c)| c.used).map(|(key, _)| key) else { return false };
        debug!(ground.log, "an idle client makes room");
        self.table.remove(key);
        true
    }

    pub fn found(&mut self, key: u64, readiness: calloop::Readiness) {
        if let Some(c) = self.table.get_mut(key) {
            c.link.found(readiness);
            self.again.push(key);
        }
    }

    pub fn take_again(&mut self) -> Vec<u64> {
        let mut again = std::mem::take(&mut self.again);
        again.append(&mut self.starved);
        again.sort_unstable();
        again.dedup();
        again
    }

    /// Reads what a client has sent and tells the module.
    pub fn serve(&mut self, key: u64, ground: &mut Ground, to: &mut Balancer) {
        let Some(c) = self.table.get_mut(key) else { return };
        c.used = ground.now;
        let read = c.link.read(READ_AHEAD);
        let open = match read {
            Ok(fill) => {
                if fill == Fill::Starved {
                    self.starved.push(key);
                }
                fill != Fill::Ended
            }
            Err(_) => false,
        };
        // One that has gone reads no answer, whatever it asked before.
        if !open || c.link.flush().is_err() || (c.leaving && c.link.output.is_empty()) {
            return self.close(key, to);
        }
        if let Err(Malformed(why)) = self.messages(key, ground, to) {
            info!(ground.log, "client sent what can't be read"; "why" => why);
            let c = self.table.get_mut(key).unwrap();
            pg::put_error(&mut c.link.output, true, pg::PROTOCOL, why, "");
            c.leaving = true;
            if let Some(id) = c.busy.take() {
                self.forget_client(id, to);
            }
        }
        self.finish(key, to);
    }

    /// Writes what waits and closes what is done.
    fn finish(&mut self, key: u64, to: &mut Balancer) {
        let stopping = self.stopping;
        let Some(c) = self.table.get_mut(key) else { return };
        let idle = c.admitted && c.busy.is_none() && c.link.input.is_empty();
        let failed = c.link.flush().is_err();
        if failed || c.link.output.is_empty() && (c.leaving || stopping && idle) {
            self.close(key, to);
        }
    }

    fn close(&mut self, key: u64, to: &mut Balancer) {
        if let Some(id) = self.table.remove(key).and_then(|c| c.busy) {
            self.forget_client(id, to);
        }
    }

    fn forget_client(&mut self, id: u64, to: &mut Balancer) {
        if let Some(rq) = self.reqs.get_mut(id) {
            rq.client = None;
            to.withdrawn(id);
            self.drop_if_done(id);
        }
    }

    /// Messages in their order, up to the next req, which has to be answered first.
    fn messages(&mut self, key: u64, ground: &Ground, to: &mut Balancer) -> Result<(), Malformed> {
        let mut body = Vec::new();
        // A client that asks on and on without reading would have its answers pile up here.
        let takes = |c: &&mut Client| c.busy.is_none() && !c.leaving && c.link.output.len() < pg::LONGEST;
        while let Some(c) = self.table.get_mut(key).filter(takes) {
            let Link { input, output, .. } = &mut c.link;
            if !c.admitted {
                let Some((opening, len)) = pg::opening(input)? else { return Ok(()) };
                input.skip(len);
                match opening {
                    Opening::Startup => pg::put_welcome(output),
                    Opening::Encryption => output.push(b"N"),
                    Opening::Cancel => c.leaving = true,
                }
                c.admitted = opening == Opening::Startup;
                continue;
            }
            let Some((tag, len)) = pg::message(input, 0)? else { return Ok(()) };
            body.clear();
            input.copy(5..len, &mut body);
            input.skip(len);
            match tag {
                b'X' => c.leaving = true,
                b'S' => {
                    c.declined = false;
                    pg::put_ready(output);
                }
                b'H' | b'd' | b'c' | b'f' => {}
                _ if c.declined => {}
                b'P' | b'B' | b'D' | b'E' | b'C' => {
                    c.declined = true;
                    pg::put_error(output, false, pg::UNSUPPORTED, "simple queries only", "");
                }
                b'F' => {
                    pg::put_error(output, false, pg::UNSUPPORTED, "no function calls", "");
                    pg::put_ready(output);
                }
                b'Q' => self.query(key, &body, ground, to)?,
                _ => return Err(Malformed("an unknown kind of message")),
            }
        }
        Ok(())
    }

    fn query(&mut self, key: u64, body: &[u8], ground: &Ground, to: &mut Balancer) -> Result<(), Malformed> {
        let Some(c) = self.table.get_mut(key) else { return Ok(()) };
        let out = &mut c.link.output;
        let statement = pg::query(body)?;
        if statement.trim().is_empty() {
            pg::put_empty(out);
            pg::put_ready(out);
            return Ok(());
        }
        let asked = pg::asked(statement).and_then(|a| {
            let route = self.routes.iter().position(|r| r == a.route).ok_or(Malformed("an unknown route"))?;
            Ok((a, route))
        });
        let (asked, route) = match asked {
            Ok(asked) => asked,
            Err(Malformed(why)) => {
                info!(ground.log, "client sent a statement that can't be served"; "why" => why);
                pg::put_error(out, false, pg::SYNTAX, why, "");
                pg::put_ready(out);
                return Ok(());
            }
        };
        let (mut text, wait_at) = (Chain::new(&ground.pool), asked.wait_at);
        text.push(statement.as_bytes());
        let rq = Req { client: Some(key), statement: text, wait_at, tries: Vec::new() };
        if let Some(Ok(id)) = self.reqs.insert(|_| Ok::<_, ()>(rq)) {
            c.busy = Some(id);
            to.req(id, route, Some(asked.code), asked.wait_ms * MS, 0.0);
        }
        Ok(())
    }

    pub fn req(&mut self, id: u64) -> Option<&mut Req> {
        self.reqs.get_mut(id)
    }

    /// Whether the req waits for an answer.
    pub fn waits(&self, id: u64) -> bool {
        self.reqs.get(id).is_some_and(|rq| rq.client.is_some())
    }

    /// A try is no longer out.
    pub fn try_ended(&mut self, id: u64, n: usize) {
        if let Some(rq) = self.reqs.get_mut(id) {
            rq.tries[n] = None;
            self.drop_if_done(id);
        }
    }

    fn drop_if_done(&mut self, id: u64) {
        let done = |rq: &Req| rq.client.is_none() && rq.tries.iter().all(Option::is_none);
        if self.reqs.get(id).is_some_and(done) {
            self.reqs.remove(id);
        }
    }

    /// Gives a req its answer, whole.
    fn answer(&mut self, id: u64, write: impl FnOnce(&mut Chain)) {
        let Some(key) = self.reqs.get_mut(id).and_then(|rq| rq.client.take()) else { return };
        if let Some(c) = self.table.get_mut(key) {
            c.busy = None;
            write(&mut c.link.output);
            pg::put_ready(&mut c.link.output);
            // Errors show when the client is served next, in the turn that follows.
            let _ = c.link.flush();
            self.again.push(key);
        }
        self.drop_if_done(id);
    }

    pub fn complete(&mut self, id: u64, answer: &mut Chain) {
        self.answer(id, |out| answer.pass(answer.len(), out));
    }

    pub fn shed(&mut self, id: u64, come_back: u64) {
        let wait = if come_back >= MS { (come_back / MS).to_string() } else { String::new() };
        self.answer(id, |out| pg::put_error(out, false, pg::SHED, "try again", &wait));
    }

    pub fn error(&mut self, id: u64) {
        self.answer(id, |out| pg::put_error(out, false, pg::ERRORED, "not completed", ""));
    }

    /// From now on connections close between reqs; new ones still come for a while.
    pub fn stop(&mut self) {
        self.stopping = true;
        self.again.extend(self.table.iter().map(|(key, _)| key));
    }

    /// All that was taken is answered and written.
    pub fn is_quiet(&self) -> bool {
        self.table.iter().all(|(_, c)| c.busy.is_none() && c.link.output.is_empty())
    }

    /// Ends one connection, whatever state it is in.
    pub fn abandon(&mut self, key: u64, to: &mut Balancer) {
        self.close(key, to);
    }
}
