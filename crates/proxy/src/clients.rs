//! Clients' connections and the reqs that came over them.

use std::collections::{BTreeSet, VecDeque};
use std::io;
use std::net::{TcpListener, TcpStream};
use std::ops::Range;
use std::rc::Rc;

use slog::{debug, info, warn};
use tidescale_policy::decide::Balancer;
use tidescale_policy::front::{Repeat, Route};

use crate::buffers::{Chain, Fill, Pool, SIZE};
use crate::connection::{Ground, Link, Part};
use crate::postgres::{self, Malformed, Opening};
use crate::slots::Slots;

const MS: u64 = 1000;
/// A connection has so long to open, again as long to ask something, and each message so long from its first byte.
const OPENING: u64 = 2000 * MS;
const MESSAGE: u64 = 2400 * MS;
/// Kept connections are the clients' own shortage too: one that rests so long is closed.
const REST: u64 = 2200 * MS;
/// A client that takes nothing of its answer for so long has gone.
const STUCK: u64 = 10_000 * MS;
/// After an error the connection stays for the client to read it; so much of what still comes is dropped.
const LINGER: u64 = 1000 * MS;
const DROPPED: usize = 256 * 1024;
/// Under pressure no connection is closed for silence that has come since so lately.
const LATELY: u64 = 100 * MS;
/// Done for one connection in a turn, and connections taken in one: others have their turn too.
const READS: usize = 4;
const TAKEN: usize = 16;
/// What is read while a req is open, and the answers that may wait for a client that asks on and on.
const AHEAD: usize = SIZE;
/// The same while buffers are ample: only what has been read is known to have come, and time runs for it.
const FAR_AHEAD: usize = 16 * SIZE;
/// So many times are kept of what is read ahead.
const MARKS: usize = 256;

/// What a connection owes; in the order in which connections make room for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// Closes once its error is read.
    Leaving,
    /// It has not said who it is.
    Opening,
    /// Nothing asked since it was let in.
    Fresh,
    Resting,
    /// A message has begun and is not whole: the rest of it may be on its way.
    Begun,
    /// Its answers wait to be taken.
    Stuck,
    Busy,
}

impl Stage {
    fn lasts(self) -> u64 {
        match self {
            Stage::Leaving => LINGER,
            Stage::Opening | Stage::Fresh => OPENING,
            Stage::Begun => MESSAGE,
            Stage::Resting => REST,
            Stage::Stuck => STUCK,
            Stage::Busy => u64::MAX,
        }
    }
}

struct Client {
    link: Link,
    /// Since when.
    stage: (Stage, u64),
    admitted: bool,
    asked: bool,
    /// The req that is being answered.
    busy: Option<u64>,
    /// An extended query was declined; all up to its Sync goes with it.
    declined: bool,
    /// Closes once all is written and read.
    leaving: bool,
    dropped: usize,
    /// It came after SIGTERM.
    late: bool,
    came: Arrivals,
}

/// When the bytes of a connection came: a req's time runs from its last byte, also while it waits behind another.
#[derive(Default)]
struct Arrivals {
    /// Bytes read up to then, and when; in order.
    marks: VecDeque<(u64, u64)>,
    read: u64,
    taken: u64,
}

impl Arrivals {
    fn read(&mut self, n: usize, now: u64) {
        self.read += n as u64;
        let full = self.marks.len() >= MARKS;
        match self.marks.back_mut() {
            _ if n == 0 => {}
            // What comes byte by byte is taken to have come earlier, never later.
            Some(last) if full || last.1 == now => last.0 = self.read,
            _ => self.marks.push_back((self.read, now)),
        }
    }

    /// When the last of the next `n` bytes came; these are taken.
    fn take(&mut self, n: usize, now: u64) -> u64 {
        self.taken += n as u64;
        while self.marks.front().is_some_and(|(read, _)| *read < self.taken) {
            self.marks.pop_front();
        }
        self.marks.front().map_or(now, |(_, at)| *at)
    }
}

impl Client {
    fn over(link: Link, now: u64, late: bool) -> Client {
        let stage = (Stage::Opening, now);
        let (admitted, asked, busy, declined) = (false, false, None, false);
        Client {
            link,
            stage,
            admitted,
            asked,
            busy,
            declined,
            leaving: false,
            dropped: 0,
            late,
            came: Arrivals::default(),
        }
    }

    fn now_at(&self) -> Stage {
        match () {
            () if self.leaving => Stage::Leaving,
            () if !self.link.output.is_empty() => Stage::Stuck,
            () if self.busy.is_some() => Stage::Busy,
            () if !self.admitted => Stage::Opening,
            () if !self.link.input.is_empty() => Stage::Begun,
            () if !self.asked => Stage::Fresh,
            () => Stage::Resting,
        }
    }

    /// Whether the next message may be looked at. A client that asks on and on without reading would have its
    /// answers pile up.
    fn takes(&self) -> bool {
        self.busy.is_none() && !self.leaving && self.link.output.len() < AHEAD
    }

    /// There may be another message to look at.
    fn has_next(&self) -> bool {
        self.link.has_more()
            || self.admitted && postgres::message(&self.link.input, postgres::from_client) != Ok(None)
    }

    /// How much has to be held to look at the next message; of what follows an open req only the beginning.
    fn wants(&self, pool: &Pool) -> usize {
        let head = || postgres::head(&self.link.input, postgres::from_client).ok().flatten();
        let next = if self.admitted && self.takes() { head() } else { None };
        let ahead = if self.admitted && pool.is_ample() { FAR_AHEAD } else { AHEAD };
        next.map_or(ahead, |(_, len)| len.max(ahead))
    }
}

pub struct Req {
    /// Until it has its answer.
    client: Option<u64>,
    id: String,
    /// It may run once at the most.
    pub once: bool,
    pub statement: Chain,
    pub wait_at: Range<usize>,
    /// The connection of each upstream try that is out, by its number.
    pub tries: Vec<Option<u64>>,
}

pub struct Clients {
    listener: Rc<TcpListener>,
    /// The loop told of connections that were not taken then; more than one turn takes.
    waiting: bool,
    many: bool,
    failed: bool,
    table: Slots<Client>,
    /// How many may rest.
    most_resting: usize,
    resting: usize,
    /// Connections by stage and since when.
    stages: BTreeSet<(Stage, u64, u64)>,
    reqs: Slots<Req>,
    /// As the clients gave them.
    ids: BTreeSet<String>,
    routes: Vec<Route>,
    /// Clients whose next message may be there already.
    again: Vec<u64>,
    /// Clients that were not read for want of buffers.
    starved: Vec<u64>,
    stopping: bool,
}

impl Clients {
    /// `most`: connections at a time, of which so many may rest.
    pub fn new(
        ground: &Ground,
        listener: TcpListener,
        routes: Vec<Route>,
        (most, most_resting): (usize, usize),
    ) -> io::Result<Clients> {
        listener.set_nonblocking(true)?;
        let listener = Rc::new(listener);
        ground.register(listener.clone(), (Part::Listener, 0))?;
        Ok(Clients {
            listener,
            waiting: false,
            many: false,
            failed: false,
            table: Slots::new(most),
            most_resting,
            resting: 0,
            stages: BTreeSet::new(),
            reqs: Slots::new(usize::MAX),
            ids: BTreeSet::new(),
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
        let knocks = self.many || self.waiting && !self.failed && !self.table.is_full();
        knocks || !self.again.is_empty() || !self.starved.is_empty() && !ground.clients_pool.is_empty()
    }

    pub fn open_reqs(&self) -> usize {
        self.reqs.used()
    }

    /// Takes new connections while there are descriptors; over that, idle ones make room, never those in use.
    pub fn accept(&mut self, ground: &mut Ground, to: &mut Balancer) {
        (self.many, self.failed) = (false, false);
        for _ in 0..TAKEN {
            if !self.waiting || self.table.is_full() && !self.make_room(ground, to) {
                return;
            }
            match self.listener.accept() {
                Ok((socket, _)) => self.take(socket, ground),
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    self.waiting = e.kind() != io::ErrorKind::WouldBlock;
                    self.failed = self.waiting;
                    if self.failed {
                        warn!(ground.log, "cannot accept"; "error" => %e);
                    }
                    return;
                }
            }
        }
        self.many = true;
    }

    fn take(&mut self, socket: TcpStream, ground: &mut Ground) {
        let late = self.stopping;
        let made = self.table.insert(|key| {
            let link = Link::over(ground, socket, (Part::Client, key), &ground.clients_pool)?;
            Ok(Client::over(link, ground.now, late))
        });
        match made {
            Some(Ok(key)) => {
                let stage = (Stage::Opening, ground.now);
                self.stages.insert((stage.0, stage.1, key));
                ground.deadlines.set((Part::Client, key), ground.now + OPENING);
                // What it asks has mostly come with it.
                self.again.push(key);
            }
            Some(Err(e)) => {
                let e: io::Error = e;
                warn!(ground.log, "cannot keep a client"; "error" => %e);
            }
            None => {}
        }
    }

    /// Closes the connection that is missed least, if any may be. One that has just come has a req on its way.
    fn make_room(&mut self, ground: &mut Ground, to: &mut Balancer) -> bool {
        let lately = ground.now.saturating_sub(LATELY);
        let old = |spot: &&(Stage, u64, u64)| spot.0 == Stage::Leaving || spot.1 <= lately;
        let mut idle = self.stages.iter().take_while(|spot| spot.0 <= Stage::Begun).filter(old);
        // What has come since it was served last is looked at first.
        let quiet = |key| self.table.get(key).is_some_and(|c| c.leaving || c.link.is_silent());
        match idle.find(|(.., key)| quiet(*key)).copied() {
            Some((stage, _, key)) => {
                debug!(ground.log, "an idle client makes room");
                if stage == Stage::Begun {
                    // Of what it asks nothing has run.
                    self.turn_out(key, postgres::SHED, "too many connections");
                    let _ = self.table.get_mut(key).map(|c| c.link.flush());
                }
                self.close(key, ground, to);
                true
            }
            None => {
                ground.deadlines.set((Part::Listener, 0), ground.now + LATELY);
                false
            }
        }
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
        for _ in 0..READS {
            let Some(c) = self.table.get_mut(key) else { return };
            // One that has gone reads no answer, whatever it asked before.
            if c.link.flush().is_err() {
                return self.close(key, ground, to);
            }
            if c.leaving {
                if self.leave(key) {
                    return self.close(key, ground, to);
                }
                break;
            }
            let (most, held) = (c.wants(&ground.clients_pool), c.link.input.len());
            let read = c.link.read(most);
            c.came.read(c.link.input.len() - held, ground.now);
            // An end can stand behind more than is read ahead.
            if matches!(read, Ok(Fill::Enough)) && c.link.has_hung_up() {
                return self.close(key, ground, to);
            }
            match read {
                Ok(Fill::Ended) | Err(_) => return self.close(key, ground, to),
                Ok(Fill::Starved) => {
                    self.starved.push(key);
                    self.free_buffers(key, ground, to);
                }
                Ok(Fill::Drained | Fill::Enough) => {}
            }
            if let Err(Malformed(why)) = self.messages(key, ground, to) {
                info!(ground.log, "client sent what can't be read"; "why" => why);
                self.turn_out(key, postgres::PROTOCOL, why);
            }
            let Some(c) = self.table.get_mut(key) else { return };
            if !(c.takes() && c.link.has_more()) || matches!(read, Ok(Fill::Starved)) {
                break;
            }
        }
        self.finish(key, ground, to);
    }

    /// Whoever has held buffers longest for a message that does not end gives them up.
    fn free_buffers(&mut self, wanted_by: u64, ground: &mut Ground, to: &mut Balancer) {
        let lately = ground.now.saturating_sub(LATELY);
        let mut begun = self.stages.range((Stage::Begun, 0, 0)..(Stage::Begun, lately, 0));
        if let Some((.., key)) = begun.find(|(.., key)| *key != wanted_by).copied() {
            info!(ground.log, "buffers are short, an unfinished message gives way");
            // The rest of it may stand unread: it is owed an answer, and has not run.
            self.turn_out(key, postgres::SHED, "too many unfinished messages");
            self.finish(key, ground, to);
        }
    }

    /// Tells a client its fault; the connection ends once that is read.
    fn turn_out(&mut self, key: u64, code: &str, why: &str) {
        let Some(c) = self.table.get_mut(key) else { return };
        postgres::put_error(&mut c.link.output, true, code, why, "");
        c.link.input.skip(c.link.input.len());
        c.leaving = true;
    }

    /// Drops what a client still sends, so that its end does not overtake the error; whether it may be closed.
    fn leave(&mut self, key: u64) -> bool {
        let Some(c) = self.table.get_mut(key) else { return true };
        if !c.link.output.is_empty() {
            return false;
        }
        let (dropped, ended) = c.link.discard((DROPPED - c.dropped).min(DROPPED / 4));
        c.dropped += dropped;
        ended
    }

    /// Writes what waits, closes what is done, and notes where the connection stands.
    fn finish(&mut self, key: u64, ground: &mut Ground, to: &mut Balancer) {
        let stopping = self.stopping;
        let Some(c) = self.table.get_mut(key) else { return };
        if c.link.flush().is_err() {
            return self.close(key, ground, to);
        }
        let (stage, since) = (c.now_at(), c.stage);
        // One that has come since has a req on its way, or it would not have come.
        let done = stage == Stage::Resting || stage == Stage::Fresh && !c.late;
        if stopping && done && c.link.is_silent() {
            return self.close(key, ground, to);
        }
        if stage == Stage::Leaving {
            if c.link.output.is_empty() {
                c.link.end_sending();
            }
            // What it sends beyond that stays unread.
            if c.dropped < DROPPED && c.link.has_more() {
                self.again.push(key);
            }
        } else if c.takes() && c.has_next() && !self.starved.contains(&key) {
            self.again.push(key);
        }
        if stage != since.0 {
            let now = ground.now;
            c.stage = (stage, now);
            self.stages.remove(&(since.0, since.1, key));
            self.stages.insert((stage, now, key));
            self.resting += usize::from(stage == Stage::Resting);
            self.resting -= usize::from(since.0 == Stage::Resting);
            match stage {
                Stage::Busy => ground.deadlines.clear((Part::Client, key)),
                _ => ground.deadlines.set((Part::Client, key), now + stage.lasts()),
            }
        }
        while self.resting > self.most_resting && self.close_longest_resting(ground, to) {}
    }

    /// Clients have only so many connections, and some ask once and keep theirs for good.
    fn close_longest_resting(&mut self, ground: &mut Ground, to: &mut Balancer) -> bool {
        let lately = ground.now.saturating_sub(LATELY);
        let mut old = self.stages.range((Stage::Resting, 0, 0)..(Stage::Resting, lately, 0));
        let silent = |key| self.table.get(key).is_some_and(|c| c.link.is_silent());
        let Some((.., key)) = old.find(|(.., key)| silent(*key)).copied() else { return false };
        debug!(ground.log, "too many clients rest, the longest is closed");
        self.close(key, ground, to);
        true
    }

    /// A connection has stood too long where it stands.
    pub fn due(&mut self, key: u64, ground: &mut Ground, to: &mut Balancer) {
        // After a stall of our own, what it owes may have come.
        self.serve(key, ground, to);
        let Some(c) = self.table.get(key) else { return };
        let (stage, since) = c.stage;
        if stage == Stage::Busy {
            return;
        }
        // Whoever is owed an answer is owed it until it goes away.
        let kept = stage == Stage::Stuck && c.busy.is_some();
        let due = if kept { ground.now + STUCK } else { since + stage.lasts() };
        if ground.now < due {
            return ground.deadlines.set((Part::Client, key), due);
        }
        if stage != Stage::Leaving && !c.link.is_silent() {
            // What has come was not read, for want of buffers or of turns: there may be a whole req in it.
            return ground.deadlines.set((Part::Client, key), ground.now + LATELY);
        }
        if stage != Stage::Begun {
            return self.close(key, ground, to);
        }
        info!(ground.log, "client did not finish a message in time");
        self.turn_out(key, postgres::PROTOCOL, "a message without its end");
        self.finish(key, ground, to);
    }

    fn close(&mut self, key: u64, ground: &mut Ground, to: &mut Balancer) {
        ground.deadlines.clear((Part::Client, key));
        let Some(c) = self.table.remove(key) else { return };
        self.stages.remove(&(c.stage.0, c.stage.1, key));
        self.resting -= usize::from(c.stage.0 == Stage::Resting);
        if let Some(id) = c.busy {
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
        while let Some(c) = self.table.get_mut(key).filter(|c| c.takes()) {
            let Link { input, output, .. } = &mut c.link;
            if !c.admitted {
                let Some((opening, len)) = postgres::opening(input)? else { return Ok(()) };
                body.clear();
                input.copy(8..len, &mut body);
                input.skip(len);
                c.came.take(len, ground.now);
                match opening {
                    Opening::Startup if !postgres::names_user(&body)? => return Err(Malformed("no user")),
                    Opening::Startup => postgres::put_welcome(output),
                    Opening::Encryption => output.push(b"N"),
                    Opening::Cancel => c.leaving = true,
                }
                c.admitted = opening == Opening::Startup;
                continue;
            }
            let Some((tag, len)) = postgres::message(input, postgres::from_client)? else { return Ok(()) };
            c.asked = true;
            body.clear();
            input.copy(5..len, &mut body);
            input.skip(len);
            let came = c.came.take(len, ground.now);
            match tag {
                b'X' => c.leaving = true,
                b'S' => {
                    c.declined = false;
                    postgres::put_ready(output);
                }
                b'H' | b'd' | b'c' | b'f' => {}
                _ if c.declined => {}
                b'P' | b'B' | b'D' | b'E' | b'C' => {
                    c.declined = true;
                    postgres::put_error(output, false, postgres::UNSUPPORTED, "simple queries only", "");
                }
                b'F' => {
                    postgres::put_error(output, false, postgres::UNSUPPORTED, "no function calls", "");
                    postgres::put_ready(output);
                }
                b'Q' => self.query(key, &body, came, ground, to)?,
                _ => return Err(Malformed("an unknown kind of message")),
            }
        }
        Ok(())
    }

    /// `came`: when its last byte did.
    fn query(
        &mut self,
        key: u64,
        body: &[u8],
        came: u64,
        ground: &Ground,
        to: &mut Balancer,
    ) -> Result<(), Malformed> {
        let Some(c) = self.table.get_mut(key) else { return Ok(()) };
        let out = &mut c.link.output;
        let statement = postgres::query(body)?;
        if statement.trim().is_empty() {
            postgres::put_empty(out);
            postgres::put_ready(out);
            return Ok(());
        }
        let asked = postgres::asked(statement).and_then(|a| {
            let route = self.routes.iter().position(|r| r.name == a.route);
            let route = route.ok_or(Malformed("an unknown route"))?;
            if matches!(self.routes[route].repeat, Repeat::Deduped { .. }) && a.key.is_none() {
                return Err(Malformed("no key"));
            }
            // Whose answer would it be?
            if self.ids.contains(a.id) {
                return Err(Malformed("the id of an open req"));
            }
            Ok((a, route))
        });
        let (asked, route) = match asked {
            Ok(asked) => asked,
            Err(Malformed(why)) => {
                info!(ground.log, "client sent a statement that can't be served"; "why" => why);
                postgres::put_error(out, false, postgres::SYNTAX, why, "");
                postgres::put_ready(out);
                return Ok(());
            }
        };
        let (mut text, wait_at) = (Chain::new(&ground.pool), asked.wait_at);
        text.push(statement.as_bytes());
        let id = asked.id.to_string();
        self.ids.insert(id.clone());
        let once = self.routes[route].repeat == Repeat::NonRetriable;
        let rq = Req { client: Some(key), id, once, statement: text, wait_at, tries: Vec::new() };
        if let Some(Ok(id)) = self.reqs.insert(|_| Ok::<_, ()>(rq)) {
            c.busy = Some(id);
            let left = (asked.wait_ms * MS).saturating_sub(ground.now - came);
            to.req(id, route, Some(asked.code), left, 0.0);
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
        if self.reqs.get(id).is_some_and(done)
            && let Some(rq) = self.reqs.remove(id)
        {
            self.ids.remove(&rq.id);
        }
    }

    /// Gives a req its answer, whole.
    fn answer(&mut self, id: u64, write: impl FnOnce(&mut Chain)) {
        let Some(key) = self.reqs.get_mut(id).and_then(|rq| rq.client.take()) else { return };
        if let Some(c) = self.table.get_mut(key) {
            c.busy = None;
            write(&mut c.link.output);
            postgres::put_ready(&mut c.link.output);
            // Errors show when the client is served next, in the turn that follows.
            let _ = c.link.flush();
            self.again.push(key);
        }
        self.drop_if_done(id);
    }

    pub fn complete(&mut self, id: u64, answer: &mut Chain) {
        self.answer(id, |out| answer.pass(answer.len(), out));
    }

    /// A machine has found fault with the req itself.
    pub fn unfit(&mut self, id: u64) {
        self.answer(id, |out| {
            postgres::put_error(out, false, postgres::SYNTAX, "a machine turned it down", "")
        });
    }

    pub fn shed(&mut self, id: u64, come_back: u64) {
        let wait = if come_back >= MS { (come_back / MS).to_string() } else { String::new() };
        self.answer(id, |out| postgres::put_error(out, false, postgres::SHED, "try again", &wait));
    }

    pub fn error(&mut self, id: u64) {
        self.answer(id, |out| postgres::put_error(out, false, postgres::ERRORED, "not completed", ""));
    }

    /// From now on connections close between reqs; new ones still come for a while.
    pub fn stop(&mut self) {
        self.stopping = true;
        self.again.extend(self.table.iter().map(|(key, _)| key));
    }

    /// Nothing is owed to anyone: all that was taken is answered and written, no message has begun, nothing that came
    /// stands unread, and nobody waits to be let in.
    pub fn is_quiet(&self) -> bool {
        let owed = |c: &Client| match c.now_at() {
            Stage::Busy | Stage::Stuck | Stage::Begun => true,
            Stage::Leaving => !c.link.output.is_empty(),
            Stage::Opening | Stage::Fresh | Stage::Resting => !c.link.input.is_empty() || !c.link.is_silent(),
        };
        !self.waiting && !self.many && !self.table.iter().any(|(_, c)| owed(c))
    }

    /// Ends one connection, whatever state it is in.
    pub fn abandon(&mut self, key: u64, ground: &mut Ground, to: &mut Balancer) {
        self.close(key, ground, to);
    }
}
