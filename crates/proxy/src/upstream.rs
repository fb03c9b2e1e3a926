//! Connections to machines: upstream tries and probes, one at a time on each.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;

use slog::{debug, info};
use tidescale_policy::decide::Balancer;
use tidescale_policy::front::{End, Load};
use tidescale_settings::Links;

use crate::buffers::{Chain, Fill};
use crate::clients::Clients;
use crate::connection::{Ground, Link, Part};
use crate::postgres::{self, Malformed};
use crate::slots::Slots;

const MS: u64 = 1000;
/// For so long after a kept connection broke under a query, what may run only once goes over new ones.
const STALE: u64 = 10_000 * MS;
const READ_AHEAD: usize = postgres::LONGEST_ANSWER + 4096;
/// A machine may send an answer twice, some milliseconds apart: the second would be taken for the answer to a query
/// written meanwhile, so that a connection stands quiet for so long before it is used again.
const QUIET: u64 = 20 * MS;

/// How far a try had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reached {
    Nothing,
    Part,
    All,
}

/// Why a try ended without an answer.
#[derive(Debug)]
pub enum Cause {
    Broken(io::Error),
    Ended,
    Malformed(&'static str),
    Overdue,
    Cancelled,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Cause::Broken(e) => write!(f, "{e}"),
            Cause::Ended => f.write_str("closed"),
            Cause::Malformed(why) => f.write_str(why),
            Cause::Overdue => f.write_str("no answer in time"),
            Cause::Cancelled => f.write_str("cancelled"),
        }
    }
}

#[derive(Debug)]
pub struct Failure {
    pub reached: Reached,
    pub cause: Cause,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let reached = match self.reached {
            Reached::Nothing => "nothing",
            Reached::Part => "part",
            Reached::All => "all",
        };
        write!(f, "{reached} written: {}", self.cause)
    }
}

impl Failure {
    /// Only a req whose last byte was written may have run.
    pub fn end(&self) -> End {
        match (self.reached, &self.cause) {
            (_, Cause::Cancelled) => End::Cancelled,
            (Reached::Nothing | Reached::Part, _) => End::Refused,
            (Reached::All, Cause::Overdue) => End::TimedOut,
            // The machine lives and has answered, though with nothing of use.
            (Reached::All, Cause::Malformed(_)) => End::Spoilt,
            (Reached::All, _) => End::Reset,
        }
    }
}

/// What a machine's error says of the try.
pub fn error_end(code: &str) -> End {
    match code {
        postgres::SHED | postgres::STARTING => End::Full,
        // Data exceptions, syntax and access: no machine would do it.
        _ if code.starts_with("22") || code.starts_with("42") => End::Unfit,
        _ => End::Error,
    }
}

/// More than any machine could hold.
const ABSURD: f64 = 1e6;

/// A load report: names and values, of which some are read; none where one of these makes no sense.
pub fn load(text: &str) -> Option<Load> {
    let mut load = Load::default();
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=')?;
        let value = || value.trim().parse().ok().filter(|v| (0.0..=ABSURD).contains(v)).map(Some);
        match name.trim() {
            "inflight" => load.inflight = value()?,
            "queue" => load.queue = value()?,
            _ => {}
        }
    }
    Some(load)
}

#[derive(Clone, Copy)]
enum Job {
    Try { id: u64, n: usize },
    Probe,
}

struct Work {
    job: Job,
    since: u64,
    until: u64,
    reached: Reached,
    load: Option<Load>,
    /// The answer as far as it has come, held back until it is whole.
    answer: Chain,
    /// How many of its three parts.
    parts: usize,
    /// How it ended, until all that came with the answer has been read: the load report may follow it.
    end: Option<End>,
}

struct Conn {
    link: Link,
    machine: String,
    listed: Listed,
    /// When it has to be up; none once it is.
    up_by: Option<u64>,
    work: Option<Work>,
    used: u64,
    /// It has served before.
    kept: bool,
}

/// Address, build and start: with any other of these it is another process.
pub type Listed = (SocketAddr, u32, u64);

#[derive(Default)]
struct Machine {
    listed: Option<Listed>,
    wanted: bool,
    /// The one used last is used first, so that what is not needed grows idle.
    idle: Vec<u64>,
}

pub struct Upstream {
    machines: BTreeMap<String, Machine>,
    table: Slots<Conn>,
    links: Links,
    /// Tries and probes that ended as soon as they began, to be told in the next round.
    ended: Vec<(Job, String, End)>,
    again: Vec<u64>,
    /// When a kept connection last broke under a query with nothing answered.
    stale_at: u64,
}

impl Upstream {
    pub fn new(links: Links, most: usize) -> Upstream {
        let (machines, table) = (BTreeMap::new(), Slots::new(most));
        Upstream { machines, table, links, ended: Vec::new(), again: Vec::new(), stale_at: 0 }
    }

    pub fn is_pressed(&self, ground: &Ground) -> bool {
        !self.ended.is_empty() || !self.again.is_empty() && !ground.pool.is_empty()
    }

    /// Where a machine listens, what process it is, and whether anything new goes there; what idles there in vain
    /// is closed, and a try whose connection is still coming up has no query to write any more.
    pub fn place(&mut self, name: &str, listed: Option<Listed>, wanted: bool, ground: &mut Ground) {
        let m = self.machines.entry(name.into()).or_default();
        if m.listed != listed || !wanted {
            for key in std::mem::take(&mut m.idle) {
                self.table.remove(key);
                ground.deadlines.clear((Part::Machine, key));
            }
            let coming = |c: &Conn| c.up_by.is_some() && c.machine == name;
            let coming: Vec<u64> = self.table.iter().filter(|(_, c)| coming(c)).map(|(key, _)| key).collect();
            for key in coming {
                ground.deadlines.clear((Part::Machine, key));
                let work = self.table.remove(key).and_then(|c| c.work);
                self.ended.extend(work.map(|work| (work.job, name.to_string(), End::NotSent)));
            }
        }
        (m.listed, m.wanted) = (listed, wanted);
        if listed.is_none() {
            self.machines.remove(name);
        }
    }

    pub fn listed(&self, name: &str) -> Option<Listed> {
        self.machines.get(name)?.listed
    }

    pub fn names(&self) -> Vec<String> {
        self.machines.keys().cloned().collect()
    }

    pub fn send(&mut self, id: u64, machine: &str, until: u64, ground: &mut Ground, clients: &mut Clients) {
        let Some(rq) = clients.req(id) else { return };
        let n = rq.tries.len();
        let conn = self.start(Job::Try { id, n }, machine, until, ground, clients);
        if let Some(rq) = clients.req(id) {
            rq.tries.push(conn);
        }
    }

    pub fn probe(&mut self, machine: &str, until: u64, ground: &mut Ground, clients: &mut Clients) {
        self.start(Job::Probe, machine, until, ground, clients);
    }

    fn start(
        &mut self,
        job: Job,
        machine: &str,
        until: u64,
        ground: &mut Ground,
        clients: &mut Clients,
    ) -> Option<u64> {
        let answer = Chain::new(&ground.pool);
        let (since, reached) = (ground.now, Reached::Nothing);
        let work = Work { job, since, until, reached, load: None, answer, parts: 0, end: None };
        // A kept connection may be dead without a sign, and what is written to it may have run.
        let once = matches!(job, Job::Try { id, .. } if clients.req(id).is_some_and(|rq| rq.once));
        let fresh = once && self.stale_at > 0 && ground.now < self.stale_at + STALE;
        let key = match self.connection(machine, fresh, ground) {
            Ok(Some(key)) => key,
            Ok(None) => {
                info!(ground.log, "no descriptor for a try"; "machine" => machine);
                self.ended.push((job, machine.into(), End::NotSent));
                return None;
            }
            Err(e) => {
                info!(ground.log, "cannot connect"; "machine" => machine, "error" => %e);
                self.ended.push((job, machine.into(), End::Refused));
                return None;
            }
        };
        let c = self.table.get_mut(key)?;
        c.work = Some(work);
        c.used = ground.now;
        ground.deadlines.set((Part::Machine, key), c.up_by.map_or(until, |up| up.min(until)));
        self.write(key, ground, clients);
        Some(key)
    }

    /// A connection that stands idle, or a new one; none when all descriptors are in use.
    fn connection(&mut self, machine: &str, fresh: bool, ground: &mut Ground) -> io::Result<Option<u64>> {
        let m = self.machines.get_mut(machine).ok_or(io::ErrorKind::NotFound)?;
        let listed = m.listed.ok_or(io::ErrorKind::NotFound)?;
        if fresh && !m.idle.is_empty() {
            // The new one takes the place of the one that has stood longest.
            let key = m.idle.remove(0);
            self.table.remove(key);
            ground.deadlines.clear((Part::Machine, key));
        }
        let quiet = |key: &u64| !fresh && self.table.get(*key).is_some_and(|c| c.used + QUIET <= ground.now);
        let quiet: Vec<u64> = m.idle.iter().copied().filter(quiet).collect();
        for key in quiet.into_iter().rev() {
            m.idle.retain(|k| *k != key);
            // A close that has come in the meantime would look like a req that may have run.
            if self.table.get(key).is_some_and(|c| c.link.is_quiet()) {
                return Ok(Some(key));
            }
            self.table.remove(key);
            ground.deadlines.clear((Part::Machine, key));
        }
        if self.table.is_full() {
            let idle = self.table.iter().filter(|(_, c)| c.work.is_none());
            let Some(key) = idle.min_by_key(|(_, c)| c.used).map(|(key, _)| key) else { return Ok(None) };
            debug!(ground.log, "an idle connection makes room");
            self.close(key, ground);
        }
        let up_by = Some(ground.now + self.links.connect_within);
        let made = self.table.insert(|key| {
            let mut link = Link::open(ground, listed.0, (Part::Machine, key))?;
            postgres::put_startup(&mut link.output);
            let (machine, used) = (machine.into(), ground.now);
            Ok(Conn { link, machine, listed, up_by, work: None, used, kept: false })
        });
        made.transpose()
    }

    fn close(&mut self, key: u64, ground: &mut Ground) {
        ground.deadlines.clear((Part::Machine, key));
        if let Some(c) = self.table.remove(key)
            && let Some(m) = self.machines.get_mut(&c.machine)
        {
            m.idle.retain(|k| *k != key);
        }
    }

    /// Writes the query of a connection that is up, and what still waits.
    fn write(&mut self, key: u64, ground: &mut Ground, clients: &mut Clients) {
        let Some(c) = self.table.get_mut(key) else { return };
        let begins = |w: &&mut Work| w.reached == Reached::Nothing && w.end.is_none();
        if let Some(work) = c.work.as_mut().filter(|w| c.up_by.is_none() && begins(w)) {
            match work.job {
                Job::Try { id, .. } => {
                    let Some(rq) = clients.req(id) else { return };
                    let wait = work.until.saturating_sub(ground.now) / MS;
                    postgres::put_statement(&mut c.link.output, &rq.statement, &rq.wait_at, wait.max(1));
                }
                Job::Probe => {
                    let query = if self.links.load_on_demand { "SHOW vitals" } else { "SELECT 1" };
                    postgres::put_query(&mut c.link.output, query.as_bytes());
                }
            }
            work.reached = Reached::Part;
        }
        let flushed = c.link.flush();
        if let Some(work) = c.work.as_mut().filter(|w| w.reached == Reached::Part) {
            // Bytes handed to the kernel on an open connection may arrive.
            if c.link.output.is_empty() {
                work.reached = Reached::All;
            }
        }
        // A failure to write shows at the next read, with what the machine may still have said before.
        if let Err(e) = flushed {
            debug!(ground.log, "cannot write"; "machine" => &c.machine, "error" => %e);
        }
    }

    pub fn found(&mut self, key: u64, readiness: calloop::Readiness) {
        if let Some(c) = self.table.get_mut(key) {
            c.link.found(readiness);
        }
    }

    pub fn take_again(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.again)
    }

    /// Tells what ended as soon as it began.
    pub fn tell_ended(&mut self, clients: &mut Clients, to: &mut Balancer) {
        for (job, machine, end) in std::mem::take(&mut self.ended) {
            match job {
                Job::Try { id, n } => {
                    to.outcome(id, n, end, 0, !clients.waits(id), None);
                    clients.try_ended(id, n);
                }
                Job::Probe => to.probed(&machine, end, None),
            }
        }
    }

    /// Reads what a machine has sent, tells the module and passes answers on.
    pub fn serve(&mut self, key: u64, ground: &mut Ground, clients: &mut Clients, to: &mut Balancer) {
        self.write(key, ground, clients);
        let Some(c) = self.table.get_mut(key) else { return };
        let read = c.link.read(READ_AHEAD);
        if matches!(read, Ok(Fill::Starved)) {
            self.again.push(key);
        }
        let rested = self.messages(key, ground, clients, to);
        self.tell_answered(key, ground, clients, to);
        match rested {
            Err(Malformed(why)) => return self.fail(key, Cause::Malformed(why), ground, clients, to),
            // A second copy, say: it would be taken for the answer to what is asked next.
            Ok(true) if self.table.get(key).is_some_and(|c| !c.link.input.is_empty()) => {
                self.close(key, ground)
            }
            Ok(true) => self.rest(key, ground),
            Ok(false) => {}
        }
        match read {
            Ok(Fill::Enough) => self.again.push(key),
            Ok(Fill::Ended) => self.fail(key, Cause::Ended, ground, clients, to),
            Err(e) => self.fail(key, Cause::Broken(e), ground, clients, to),
            Ok(_) => {}
        }
    }

    /// Whether the connection is free for the next query.
    fn messages(
        &mut self,
        key: u64,
        ground: &mut Ground,
        clients: &mut Clients,
        to: &mut Balancer,
    ) -> Result<bool, Malformed> {
        let (mut body, mut rested) = (Vec::new(), false);
        while let Some(c) = self.table.get_mut(key) {
            let Some((tag, len)) = postgres::message(&c.link.input, postgres::from_machine)? else { break };
            let input = &mut c.link.input;
            let starting = c.up_by.is_some();
            body.clear();
            input.copy(5..len, &mut body);
            if let Some(part) = b"TDC".iter().position(|t| *t == tag) {
                let work = c.work.as_mut().filter(|w| !starting && w.end.is_none());
                let work = work.ok_or(Malformed("an answer to nothing"))?;
                if work.parts != part {
                    return Err(Malformed("an answer out of order"));
                }
                match (tag, &work.job) {
                    (b'T', _) => postgres::describes_one(&body)?,
                    (b'D', Job::Probe) if self.links.load_on_demand => {
                        work.load = std::str::from_utf8(postgres::row(&body)?).ok().and_then(load);
                    }
                    (b'D', _) => drop(postgres::row(&body)?),
                    _ => {
                        postgres::completes_one(&body)?;
                        work.end = Some(End::Done);
                    }
                }
                work.parts += 1;
                input.pass(len, &mut work.answer);
                continue;
            }
            input.skip(len);
            match tag {
                b'R' => postgres::admitted(&body)?,
                b'S' => {
                    // The answer beside a report is none the worse for it.
                    let report = postgres::parameter(&body).ok().filter(|(name, _)| *name == "vitals");
                    let read = report.and_then(|(_, value)| load(value));
                    if report.is_some() && read.is_none() {
                        info!(ground.log, "machine's load report can't be read"; "machine" => &c.machine);
                    }
                    if let Some(work) = &mut c.work {
                        work.load = read.or(work.load);
                    }
                }
                b'K' | b'N' => {}
                b'E' => {
                    let (code, message) = postgres::error(&body)?;
                    if !matches!(code.as_str(), postgres::SHED | postgres::STARTING | "XX000") {
                        info!(ground.log, "machine answered with an unknown error";
                            "machine" => &c.machine, "code" => &code, "message" => message.chars().take(200).collect::<String>());
                    }
                    // Before a query was written it is the connection that was turned down.
                    let end = Some(error_end(&code)).filter(|end| !starting || *end == End::Full);
                    if let Some(work) = c.work.as_mut().filter(|w| w.end.is_none()) {
                        work.end = Some(end.unwrap_or(End::Refused));
                    }
                }
                b'Z' if body != b"I" => return Err(Malformed("not ready after an answer")),
                b'Z' if starting => {
                    c.up_by = None;
                    // Much may have been told and passed since its machine was chosen.
                    if let Some(work) = c.work.as_mut().filter(|w| w.end.is_none())
                        && let Job::Try { id, n } = work.job
                        && !to.may_begin(id, n)
                    {
                        debug!(ground.log, "a try that may not go any more"; "machine" => &c.machine);
                        work.end = Some(End::NotSent);
                        rested = true;
                        continue;
                    }
                    let until = c.work.as_ref().map_or(ground.now, |w| w.until);
                    ground.deadlines.set((Part::Machine, key), until);
                    self.write(key, ground, clients);
                }
                b'Z' => {
                    if c.work.as_ref().is_some_and(|w| w.end.is_none()) {
                        return Err(Malformed("no answer to a query"));
                    }
                    rested = true;
                }
                _ => return Err(Malformed("an unknown kind of message")),
            }
        }
        Ok(rested)
    }

    /// Keeps an idle connection for the next try there.
    fn rest(&mut self, key: u64, ground: &mut Ground) {
        let Some(c) = self.table.get_mut(key) else { return };
        let m = self.machines.get_mut(&c.machine);
        match m.filter(|m| m.wanted && m.listed == Some(c.listed)) {
            Some(m) => {
                m.idle.push(key);
                (c.used, c.kept) = (ground.now, true);
                // Well before the machine closes it, or a req would cross the close and count as run.
                ground.deadlines.set((Part::Machine, key), ground.now + self.links.idle_for / 2);
            }
            None => self.close(key, ground),
        }
    }

    /// Tells of a try or probe that the machine has answered.
    fn tell_answered(&mut self, key: u64, ground: &mut Ground, clients: &mut Clients, to: &mut Balancer) {
        let Some(c) = self.table.get_mut(key) else { return };
        if let Some((work, end)) = c.work.take_if(|w| w.end.is_some()).and_then(|w| w.end.map(|end| (w, end)))
        {
            // It has still to say that it takes the next query, or closes.
            ground.deadlines.set((Part::Machine, key), ground.now + self.links.connect_within);
            let machine = c.machine.clone();
            self.tell(work, &machine, end, ground, clients, to);
        }
    }

    fn tell(
        &mut self,
        mut work: Work,
        machine: &str,
        end: End,
        ground: &Ground,
        clients: &mut Clients,
        to: &mut Balancer,
    ) {
        match work.job {
            Job::Try { id, n } => {
                match end {
                    End::Done => clients.complete(id, &mut work.answer),
                    End::Unfit => clients.unfit(id),
                    _ => {}
                }
                to.outcome(id, n, end, ground.now - work.since, !clients.waits(id), work.load);
                clients.try_ended(id, n);
            }
            Job::Probe => to.probed(machine, end, work.load),
        }
    }

    /// Ends a connection that can't go on, with the try that is on it.
    pub fn fail(
        &mut self,
        key: u64,
        cause: Cause,
        ground: &mut Ground,
        clients: &mut Clients,
        to: &mut Balancer,
    ) {
        let Some(c) = self.table.get_mut(key) else { return };
        let (work, machine) = (c.work.take(), c.machine.clone());
        let unanswered = work.as_ref().is_some_and(|w| w.reached == Reached::All && w.parts == 0);
        if c.kept && unanswered && matches!(cause, Cause::Broken(_) | Cause::Ended) {
            self.stale_at = ground.now;
        }
        if let Cause::Malformed(why) = cause {
            info!(ground.log, "machine sent what can't be read"; "machine" => &machine, "why" => why);
        }
        self.close(key, ground);
        if let Some(work) = work {
            let failure = Failure { reached: work.reached, cause };
            info!(ground.log, "try or probe failed"; "machine" => &machine, "failure" => %failure);
            self.tell(work, &machine, failure.end(), ground, clients, to);
        }
    }

    /// A time limit has passed: to be up, to answer, or to stand idle.
    pub fn due(&mut self, key: u64, ground: &mut Ground, clients: &mut Clients, to: &mut Balancer) {
        self.fail(key, Cause::Overdue, ground, clients, to);
    }

    /// Gives up a try; that it ended is told like any other end.
    pub fn cancel(&mut self, id: u64, n: usize, ground: &mut Ground, clients: &mut Clients) {
        let Some(key) = clients.req(id).and_then(|rq| rq.tries.get(n).copied().flatten()) else { return };
        let Some(c) = self.table.get_mut(key) else { return };
        if let Some(work) = c.work.take() {
            let failure = Failure { reached: work.reached, cause: Cause::Cancelled };
            self.ended.push((work.job, c.machine.clone(), failure.end()));
            self.close(key, ground);
        }
    }

    /// Whatever is out ends by then.
    pub fn stop(&mut self, by: u64, ground: &mut Ground) {
        let keys: Vec<u64> = self.table.iter().map(|(key, _)| key).collect();
        for key in keys {
            let Some(c) = self.table.get_mut(key) else { continue };
            if let Some(work) = c.work.as_mut().filter(|w| w.until > by) {
                work.until = by;
                ground.deadlines.set((Part::Machine, key), c.up_by.map_or(by, |up| up.min(by)));
            }
        }
    }
}
