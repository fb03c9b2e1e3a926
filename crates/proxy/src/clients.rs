//! Clients' connections and the reqs that came over them.

use std::collections::{BTreeSet, VecDeque};
use std::io;
use std::net::{TcpListener, TcpStream};
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use slog::{debug, info, warn};
use tidescale_policy::Balancer;
use tidescale_policy::settings::{Idempotency, Route};
use tidescale_policy::types::{IncomingRequest, Timestamp};

use crate::buffers::{Chain, Fill, Pool, SIZE};
use crate::connection::{Component, Connection, IoContext, Owner};
use crate::postgres::{self, Malformed, Opening};
use crate::slots::Slots;

const ONE_MS: Duration = Duration::from_millis(1);
/// A connection has so long to open, again as long to ask something, and each message so long from its first byte.
const OPENING: Duration = Duration::from_millis(2000);
const MESSAGE: Duration = Duration::from_millis(2400);
/// Kept connections are the clients' own shortage too: one that rests so long is closed.
const REST: Duration = Duration::from_millis(2200);
/// A client that takes nothing of its answer for so long has gone.
const STUCK: Duration = Duration::from_millis(10_000);
/// After an error the connection stays for the client to read it; so much of what still comes is dropped.
const LINGER: Duration = Duration::from_millis(1000);
const DROPPED: usize = 256 * 1024;
/// Under pressure no connection is closed for silence that has come since so lately.
const LATELY: Duration = Duration::from_millis(100);
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
    fn lasts(self) -> Duration {
        match self {
            Stage::Leaving => LINGER,
            Stage::Opening | Stage::Fresh => OPENING,
            Stage::Begun => MESSAGE,
            Stage::Resting => REST,
            Stage::Stuck => STUCK,
            Stage::Busy => Duration::MAX,
        }
    }
}

struct Client {
    connection: Connection,
    /// Since when.
    stage: (Stage, Timestamp),
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
    marks: VecDeque<(u64, Timestamp)>,
    read: u64,
    taken: u64,
}

impl Arrivals {
    fn read(&mut self, n: usize, now: Timestamp) {
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
    fn take(&mut self, n: usize, now: Timestamp) -> Timestamp {
        self.taken += n as u64;
        while self
            .marks
            .front()
            .is_some_and(|(read, _)| *read < self.taken)
        {
            self.marks.pop_front();
        }
        self.marks.front().map_or(now, |(_, at)| *at)
    }
}

impl Client {
    fn over(connection: Connection, now: Timestamp, late: bool) -> Client {
        let stage = (Stage::Opening, now);
        let (admitted, asked, busy, declined) = (false, false, None, false);
        Client {
            connection,
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
            () if !self.connection.output.is_empty() => Stage::Stuck,
            () if self.busy.is_some() => Stage::Busy,
            () if !self.admitted => Stage::Opening,
            () if !self.connection.input.is_empty() => Stage::Begun,
            () if !self.asked => Stage::Fresh,
            () => Stage::Resting,
        }
    }

    /// Whether the next message may be looked at. A client that asks on and on without reading would have its
    /// answers pile up.
    fn takes(&self) -> bool {
        self.busy.is_none() && !self.leaving && self.connection.output.len() < AHEAD
    }

    /// There may be another message to look at.
    fn has_next(&self) -> bool {
        self.connection.has_more()
            || self.admitted
                && postgres::message(&self.connection.input, postgres::from_client) != Ok(None)
    }

    /// How much has to be held to look at the next message; of what follows an open req only the beginning.
    fn wants(&self, pool: &Pool) -> usize {
        let head = || {
            postgres::head(&self.connection.input, postgres::from_client)
                .ok()
                .flatten()
        };
        let next = if self.admitted && self.takes() {
            head()
        } else {
            None
        };
        let ahead = if self.admitted && pool.is_ample() {
            FAR_AHEAD
        } else {
            AHEAD
        };
        next.map_or(ahead, |(_, len)| len.max(ahead))
    }
}

pub struct PendingRequest {
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
    stages: BTreeSet<(Stage, Timestamp, u64)>,
    reqs: Slots<PendingRequest>,
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
        context: &IoContext,
        listener: TcpListener,
        routes: Vec<Route>,
        (most, most_resting): (usize, usize),
    ) -> io::Result<Clients> {
        listener.set_nonblocking(true)?;
        let listener = Rc::new(listener);
        context.register(listener.clone(), Owner::new(Component::Listener, 0))?;
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

    pub fn on_accept_ready(&mut self) {
        self.waiting = true;
    }

    /// There is something to do before the loop tells of anything.
    pub fn has_pending_work(&self, context: &IoContext) -> bool {
        let knocks = self.many || self.waiting && !self.failed && !self.table.is_full();
        knocks
            || !self.again.is_empty()
            || !self.starved.is_empty() && !context.clients_pool.is_empty()
    }

    pub fn open_request_count(&self) -> usize {
        self.reqs.used()
    }

    /// Takes new connections while there are descriptors; over that, idle ones make room, never those in use.
    pub fn accept(&mut self, context: &mut IoContext, policy: &mut Balancer) {
        (self.many, self.failed) = (false, false);
        for _ in 0..TAKEN {
            if !self.waiting || self.table.is_full() && !self.make_room(context, policy) {
                return;
            }
            match self.listener.accept() {
                Ok((socket, _)) => self.take(socket, context),
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted
                    ) => {}
                Err(e) => {
                    self.waiting = e.kind() != io::ErrorKind::WouldBlock;
                    self.failed = self.waiting;
                    if self.failed {
                        warn!(context.log, "cannot accept"; "error" => %e);
                    }
                    return;
                }
            }
        }
        self.many = true;
    }

    fn take(&mut self, socket: TcpStream, context: &mut IoContext) {
        let late = self.stopping;
        let made = self.table.insert(|key| {
            let connection = Connection::over(
                context,
                socket,
                Owner::new(Component::Client, key),
                &context.clients_pool,
            )?;
            Ok(Client::over(connection, context.now, late))
        });
        match made {
            Some(Ok(key)) => {
                let stage = (Stage::Opening, context.now);
                self.stages.insert((stage.0, stage.1, key));
                context
                    .deadlines
                    .set(Owner::new(Component::Client, key), context.now + OPENING);
                // What it asks has mostly come with it.
                self.again.push(key);
            }
            Some(Err(e)) => {
                let e: io::Error = e;
                warn!(context.log, "cannot keep a client"; "error" => %e);
            }
            None => {}
        }
    }

    /// Closes the connection that is missed least, if any may be. One that has just come has a req on its way.
    fn make_room(&mut self, context: &mut IoContext, policy: &mut Balancer) -> bool {
        let lately = context.now - LATELY;
        let old = |spot: &&(Stage, Timestamp, u64)| spot.0 == Stage::Leaving || spot.1 <= lately;
        let mut idle = self
            .stages
            .iter()
            .take_while(|spot| spot.0 <= Stage::Begun)
            .filter(old);
        // What has come since it was served last is looked at first.
        let quiet = |key| {
            self.table
                .get(key)
                .is_some_and(|c| c.leaving || c.connection.is_silent())
        };
        match idle.find(|(.., key)| quiet(*key)).copied() {
            Some((stage, _, key)) => {
                debug!(context.log, "an idle client makes room");
                if stage == Stage::Begun {
                    // Of what it asks nothing has run.
                    self.turn_out(key, postgres::SHED, "too many connections");
                    let _ = self.table.get_mut(key).map(|c| c.connection.flush());
                }
                self.close(key, context, policy);
                true
            }
            None => {
                context
                    .deadlines
                    .set(Owner::new(Component::Listener, 0), context.now + LATELY);
                false
            }
        }
    }

    pub fn on_ready(&mut self, key: u64, readiness: calloop::Readiness) {
        if let Some(c) = self.table.get_mut(key) {
            c.connection.on_ready(readiness);
            self.again.push(key);
        }
    }

    pub fn take_pending(&mut self) -> Vec<u64> {
        let mut again = std::mem::take(&mut self.again);
        again.append(&mut self.starved);
        again.sort_unstable();
        again.dedup();
        again
    }

    /// Reads what a client has sent and tells the module.
    pub fn serve(&mut self, key: u64, context: &mut IoContext, policy: &mut Balancer) {
        for _ in 0..READS {
            let Some(c) = self.table.get_mut(key) else {
                return;
            };
            // One that has gone reads no answer, whatever it asked before.
            if c.connection.flush().is_err() {
                return self.close(key, context, policy);
            }
            if c.leaving {
                if self.leave(key) {
                    return self.close(key, context, policy);
                }
                break;
            }
            let (most, held) = (c.wants(&context.clients_pool), c.connection.input.len());
            let read = c.connection.read(most);
            c.came.read(c.connection.input.len() - held, context.now);
            // An end can stand behind more than is read ahead.
            if matches!(read, Ok(Fill::Enough)) && c.connection.has_hung_up() {
                return self.close(key, context, policy);
            }
            match read {
                Ok(Fill::Ended) | Err(_) => return self.close(key, context, policy),
                Ok(Fill::Starved) => {
                    self.starved.push(key);
                    self.free_buffers(key, context, policy);
                }
                Ok(Fill::Drained | Fill::Enough) => {}
            }
            if let Err(Malformed(why)) = self.messages(key, context, policy) {
                info!(context.log, "client sent what can't be read"; "why" => why);
                self.turn_out(key, postgres::PROTOCOL, why);
            }
            let Some(c) = self.table.get_mut(key) else {
                return;
            };
            if !(c.takes() && c.connection.has_more()) || matches!(read, Ok(Fill::Starved)) {
                break;
            }
        }
        self.finish(key, context, policy);
    }

    /// Whoever has held buffers longest for a message that does not end gives them up.
    fn free_buffers(&mut self, wanted_by: u64, context: &mut IoContext, policy: &mut Balancer) {
        let lately = context.now - LATELY;
        let mut begun = self
            .stages
            .range((Stage::Begun, Timestamp::ZERO, 0)..(Stage::Begun, lately, 0));
        if let Some((.., key)) = begun.find(|(.., key)| *key != wanted_by).copied() {
            info!(
                context.log,
                "buffers are short, an unfinished message gives way"
            );
            // The rest of it may stand unread: it is owed an answer, and has not run.
            self.turn_out(key, postgres::SHED, "too many unfinished messages");
            self.finish(key, context, policy);
        }
    }

    /// Tells a client its fault; the connection ends once that is read.
    fn turn_out(&mut self, key: u64, code: &str, why: &str) {
        let Some(c) = self.table.get_mut(key) else {
            return;
        };
        postgres::put_error(&mut c.connection.output, true, code, why, "");
        c.connection.input.skip(c.connection.input.len());
        c.leaving = true;
    }

    /// Drops what a client still sends, so that its end does not overtake the error; whether it may be closed.
    fn leave(&mut self, key: u64) -> bool {
        let Some(c) = self.table.get_mut(key) else {
            return true;
        };
        if !c.connection.output.is_empty() {
            return false;
        }
        let (dropped, ended) = c.connection.discard((DROPPED - c.dropped).min(DROPPED / 4));
        c.dropped += dropped;
        ended
    }

    /// Writes what waits, closes what is done, and notes where the connection stands.
    fn finish(&mut self, key: u64, context: &mut IoContext, policy: &mut Balancer) {
        let stopping = self.stopping;
        let Some(c) = self.table.get_mut(key) else {
            return;
        };
        if c.connection.flush().is_err() {
            return self.close(key, context, policy);
        }
        let (stage, since) = (c.now_at(), c.stage);
        // One that has come since has a req on its way, or it would not have come.
        let done = stage == Stage::Resting || stage == Stage::Fresh && !c.late;
        if stopping && done && c.connection.is_silent() {
            return self.close(key, context, policy);
        }
        if stage == Stage::Leaving {
            if c.connection.output.is_empty() {
                c.connection.end_sending();
            }
            // What it sends beyond that stays unread.
            if c.dropped < DROPPED && c.connection.has_more() {
                self.again.push(key);
            }
        } else if c.takes() && c.has_next() && !self.starved.contains(&key) {
            self.again.push(key);
        }
        if stage != since.0 {
            let now = context.now;
            c.stage = (stage, now);
            self.stages.remove(&(since.0, since.1, key));
            self.stages.insert((stage, now, key));
            self.resting += usize::from(stage == Stage::Resting);
            self.resting -= usize::from(since.0 == Stage::Resting);
            match stage {
                Stage::Busy => context.deadlines.clear(Owner::new(Component::Client, key)),
                _ => context
                    .deadlines
                    .set(Owner::new(Component::Client, key), now + stage.lasts()),
            }
        }
        while self.resting > self.most_resting && self.close_longest_resting(context, policy) {}
    }

    /// Clients have only so many connections, and some ask once and keep theirs for good.
    fn close_longest_resting(&mut self, context: &mut IoContext, policy: &mut Balancer) -> bool {
        let lately = context.now - LATELY;
        let mut old = self
            .stages
            .range((Stage::Resting, Timestamp::ZERO, 0)..(Stage::Resting, lately, 0));
        let silent = |key| {
            self.table
                .get(key)
                .is_some_and(|c| c.connection.is_silent())
        };
        let Some((.., key)) = old.find(|(.., key)| silent(*key)).copied() else {
            return false;
        };
        debug!(context.log, "too many clients rest, the longest is closed");
        self.close(key, context, policy);
        true
    }

    /// A connection has stood too long where it stands.
    pub fn on_deadline(&mut self, key: u64, context: &mut IoContext, policy: &mut Balancer) {
        // After a stall of our own, what it owes may have come.
        self.serve(key, context, policy);
        let Some(c) = self.table.get(key) else { return };
        let (stage, since) = c.stage;
        if stage == Stage::Busy {
            return;
        }
        // Whoever is owed an answer is owed it until it goes away.
        let kept = stage == Stage::Stuck && c.busy.is_some();
        let due = if kept {
            context.now + STUCK
        } else {
            since + stage.lasts()
        };
        if context.now < due {
            return context
                .deadlines
                .set(Owner::new(Component::Client, key), due);
        }
        if stage != Stage::Leaving && !c.connection.is_silent() {
            // What has come was not read, for want of buffers or of turns: there may be a whole req in it.
            return context
                .deadlines
                .set(Owner::new(Component::Client, key), context.now + LATELY);
        }
        if stage != Stage::Begun {
            return self.close(key, context, policy);
        }
        info!(context.log, "client did not finish a message in time");
        self.turn_out(key, postgres::PROTOCOL, "a message without its end");
        self.finish(key, context, policy);
    }

    fn close(&mut self, key: u64, context: &mut IoContext, policy: &mut Balancer) {
        context.deadlines.clear(Owner::new(Component::Client, key));
        let Some(c) = self.table.remove(key) else {
            return;
        };
        self.stages.remove(&(c.stage.0, c.stage.1, key));
        self.resting -= usize::from(c.stage.0 == Stage::Resting);
        if let Some(id) = c.busy {
            self.forget_client(id, policy);
        }
    }

    fn forget_client(&mut self, id: u64, policy: &mut Balancer) {
        if let Some(rq) = self.reqs.get_mut(id) {
            rq.client = None;
            policy.on_client_disconnected(id);
            self.drop_if_done(id);
        }
    }

    /// Messages in their order, up to the next req, which has to be answered first.
    fn messages(
        &mut self,
        key: u64,
        context: &IoContext,
        policy: &mut Balancer,
    ) -> Result<(), Malformed> {
        let mut body = Vec::new();
        while let Some(c) = self.table.get_mut(key).filter(|c| c.takes()) {
            let Connection { input, output, .. } = &mut c.connection;
            if !c.admitted {
                let Some((opening, len)) = postgres::opening(input)? else {
                    return Ok(());
                };
                body.clear();
                input.copy(8..len, &mut body);
                input.skip(len);
                c.came.take(len, context.now);
                match opening {
                    Opening::Startup if !postgres::names_user(&body)? => {
                        return Err(Malformed("no user"));
                    }
                    Opening::Startup => postgres::put_welcome(output),
                    Opening::Encryption => output.push(b"N"),
                    Opening::Cancel => c.leaving = true,
                }
                c.admitted = opening == Opening::Startup;
                continue;
            }
            let Some((tag, len)) = postgres::message(input, postgres::from_client)? else {
                return Ok(());
            };
            c.asked = true;
            body.clear();
            input.copy(5..len, &mut body);
            input.skip(len);
            let came = c.came.take(len, context.now);
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
                    postgres::put_error(
                        output,
                        false,
                        postgres::UNSUPPORTED,
                        "simple queries only",
                        "",
                    );
                }
                b'F' => {
                    postgres::put_error(
                        output,
                        false,
                        postgres::UNSUPPORTED,
                        "no function calls",
                        "",
                    );
                    postgres::put_ready(output);
                }
                b'Q' => self.query(key, &body, came, context, policy)?,
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
        came: Timestamp,
        context: &IoContext,
        policy: &mut Balancer,
    ) -> Result<(), Malformed> {
        let Some(c) = self.table.get_mut(key) else {
            return Ok(());
        };
        let out = &mut c.connection.output;
        let statement = postgres::query(body)?;
        if statement.trim().is_empty() {
            postgres::put_empty(out);
            postgres::put_ready(out);
            return Ok(());
        }
        let asked = postgres::asked(statement).and_then(|a| {
            let route = self.routes.iter().position(|r| r.name == a.route);
            let route = route.ok_or(Malformed("an unknown route"))?;
            if matches!(
                self.routes[route].idempotency,
                Idempotency::IdempotencyKey { .. }
            ) && a.key.is_none()
            {
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
                info!(context.log, "client sent a statement that can't be served"; "why" => why);
                postgres::put_error(out, false, postgres::SYNTAX, why, "");
                postgres::put_ready(out);
                return Ok(());
            }
        };
        let (mut text, wait_at) = (Chain::new(&context.pool), asked.wait_at);
        text.push(statement.as_bytes());
        let id = asked.id.to_string();
        self.ids.insert(id.clone());
        let once = self.routes[route].idempotency == Idempotency::NotIdempotent;
        let rq = PendingRequest {
            client: Some(key),
            id,
            once,
            statement: text,
            wait_at,
            tries: Vec::new(),
        };
        if let Some(Ok(id)) = self.reqs.insert(|_| Ok::<_, ()>(rq)) {
            c.busy = Some(id);
            let left = Duration::from_millis(asked.wait_ms).saturating_sub(context.now - came);
            let request = IncomingRequest {
                route,
                idempotency_key: Some(asked.code),
                time_remaining: left,
                cost_hint: None,
            };
            policy.on_request(id, request);
        }
        Ok(())
    }

    pub fn request(&mut self, id: u64) -> Option<&mut PendingRequest> {
        self.reqs.get_mut(id)
    }

    /// Whether the req waits for an answer.
    pub fn is_waiting(&self, id: u64) -> bool {
        self.reqs.get(id).is_some_and(|rq| rq.client.is_some())
    }

    /// A try is no longer out.
    pub fn on_attempt_ended(&mut self, id: u64, n: usize) {
        if let Some(rq) = self.reqs.get_mut(id) {
            rq.tries[n] = None;
            self.drop_if_done(id);
        }
    }

    fn drop_if_done(&mut self, id: u64) {
        let done =
            |rq: &PendingRequest| rq.client.is_none() && rq.tries.iter().all(Option::is_none);
        if self.reqs.get(id).is_some_and(done)
            && let Some(rq) = self.reqs.remove(id)
        {
            self.ids.remove(&rq.id);
        }
    }

    /// Gives a req its answer, whole.
    fn answer(&mut self, id: u64, write: impl FnOnce(&mut Chain)) {
        let Some(key) = self.reqs.get_mut(id).and_then(|rq| rq.client.take()) else {
            return;
        };
        if let Some(c) = self.table.get_mut(key) {
            c.busy = None;
            write(&mut c.connection.output);
            postgres::put_ready(&mut c.connection.output);
            // Errors show when the client is served next, in the turn that follows.
            let _ = c.connection.flush();
            self.again.push(key);
        }
        self.drop_if_done(id);
    }

    pub fn complete_request(&mut self, id: u64, answer: &mut Chain) {
        self.answer(id, |out| answer.pass(answer.len(), out));
    }

    /// A machine has found fault with the req itself.
    pub fn answer_invalid_request(&mut self, id: u64) {
        self.answer(id, |out| {
            postgres::put_error(out, false, postgres::SYNTAX, "a machine turned it down", "")
        });
    }

    pub fn reject_request(&mut self, id: u64, retry_after: Duration) {
        let wait = if retry_after >= ONE_MS {
            retry_after.as_millis().to_string()
        } else {
            String::new()
        };
        self.answer(id, |out| {
            postgres::put_error(out, false, postgres::SHED, "try again", &wait)
        });
    }

    pub fn fail_request(&mut self, id: u64) {
        self.answer(id, |out| {
            postgres::put_error(out, false, postgres::ERRORED, "not completed", "")
        });
    }

    /// From now on connections close between reqs; new ones still come for a while.
    pub fn begin_shutdown(&mut self) {
        self.stopping = true;
        self.again.extend(self.table.iter().map(|(key, _)| key));
    }

    /// Nothing is owed to anyone: all that was taken is answered and written, no message has begun, nothing that came
    /// stands unread, and nobody waits to be let in.
    pub fn is_idle(&self) -> bool {
        let owed = |c: &Client| match c.now_at() {
            Stage::Busy | Stage::Stuck | Stage::Begun => true,
            Stage::Leaving => !c.connection.output.is_empty(),
            Stage::Opening | Stage::Fresh | Stage::Resting => {
                !c.connection.input.is_empty() || !c.connection.is_silent()
            }
        };
        !self.waiting && !self.many && !self.table.iter().any(|(_, c)| owed(c))
    }

    /// Ends one connection, whatever state it is in.
    pub fn close_after_panic(&mut self, key: u64, context: &mut IoContext, policy: &mut Balancer) {
        self.close(key, context, policy);
    }
}
