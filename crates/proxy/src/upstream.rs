//! Connections to machines: upstream tries and probes, one at a time on each.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use slog::{debug, info};
use tidescale_policy::Balancer;
use tidescale_policy::types::{AttemptOutcome, AttemptResult, LoadReport, Timestamp};
use tidescale_settings::ConnectionSettings;

use crate::buffers::{Chain, Fill};
use crate::clients::Clients;
use crate::connection::{Component, Connection, IoContext, Owner};
use crate::postgres::{self, Malformed};
use crate::slots::Slots;

/// For so long after a kept connection broke under a query, what may run only once goes over new ones.
const STALE: Duration = Duration::from_millis(10_000);
const READ_AHEAD: usize = postgres::LONGEST_ANSWER + 4096;
/// A machine may send an answer twice, some milliseconds apart: the second would be taken for the answer to a query
/// written meanwhile, so that a connection stands quiet for so long before it is used again.
const QUIET: Duration = Duration::from_millis(20);

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
    pub fn end(&self) -> AttemptOutcome {
        match (self.reached, &self.cause) {
            (_, Cause::Cancelled) => AttemptOutcome::Cancelled,
            (Reached::Nothing | Reached::Part, _) => AttemptOutcome::Refused,
            (Reached::All, Cause::Overdue) => AttemptOutcome::TimedOut,
            // The machine lives and has answered, though with nothing of use.
            (Reached::All, Cause::Malformed(_)) => AttemptOutcome::Malformed,
            (Reached::All, _) => AttemptOutcome::ConnectionReset,
        }
    }
}

/// What a machine's error says of the try.
pub fn error_end(code: &str) -> AttemptOutcome {
    match code {
        postgres::SHED | postgres::STARTING => AttemptOutcome::Overloaded,
        // Data exceptions, syntax and access: no machine would do it.
        _ if code.starts_with("22") || code.starts_with("42") => AttemptOutcome::InvalidRequest,
        _ => AttemptOutcome::Failed,
    }
}

/// More than any machine could hold.
const ABSURD: f64 = 1e6;

/// A load report: names and values, of which some are read; none where one of these makes no sense.
pub fn load(text: &str) -> Option<LoadReport> {
    let mut load = LoadReport::default();
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=')?;
        let value = || {
            value
                .trim()
                .parse()
                .ok()
                .filter(|v| (0.0..=ABSURD).contains(v))
                .map(Some)
        };
        match name.trim() {
            "inflight" => load.in_flight = value()?,
            "queue" => load.queued = value()?,
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
    since: Timestamp,
    until: Timestamp,
    reached: Reached,
    load: Option<LoadReport>,
    /// The answer as far as it has come, held back until it is whole.
    answer: Chain,
    /// How many of its three parts.
    parts: usize,
    /// How it ended, until all that came with the answer has been read: the load report may follow it.
    end: Option<AttemptOutcome>,
}

struct Conn {
    connection: Connection,
    machine: String,
    listed: ProcessIdentity,
    /// When it has to be up; none once it is.
    up_by: Option<Timestamp>,
    work: Option<Work>,
    used: Timestamp,
    /// It has served before.
    kept: bool,
}

/// What tells a process from another one under the same endpoint name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessIdentity {
    /// Where it listens.
    pub address: SocketAddr,
    /// The build that it runs.
    pub build: u32,
    /// When it started; none where it has run for long.
    pub started_at: Option<Timestamp>,
}

#[derive(Default)]
struct Machine {
    listed: Option<ProcessIdentity>,
    wanted: bool,
    /// The one used last is used first, so that what is not needed grows idle.
    idle: Vec<u64>,
}

pub struct Upstream {
    machines: BTreeMap<String, Machine>,
    table: Slots<Conn>,
    connection_settings: ConnectionSettings,
    /// Tries and probes that ended as soon as they began, to be told in the next round.
    ended: Vec<(Job, String, AttemptOutcome)>,
    again: Vec<u64>,
    /// When a kept connection last broke under a query with nothing answered.
    stale_at: Option<Timestamp>,
}

impl Upstream {
    pub fn new(connection_settings: ConnectionSettings, most: usize) -> Upstream {
        let (machines, table) = (BTreeMap::new(), Slots::new(most));
        Upstream {
            machines,
            table,
            connection_settings,
            ended: Vec::new(),
            again: Vec::new(),
            stale_at: None,
        }
    }

    pub fn has_pending_work(&self, context: &IoContext) -> bool {
        !self.ended.is_empty() || !self.again.is_empty() && !context.pool.is_empty()
    }

    /// Where a machine listens, what process it is, and whether anything new goes there; what idles there in vain
    /// is closed, and a try whose connection is still coming up has no query to write any more.
    pub fn update_endpoint(
        &mut self,
        name: &str,
        listed: Option<ProcessIdentity>,
        wanted: bool,
        context: &mut IoContext,
    ) {
        let m = self.machines.entry(name.into()).or_default();
        if m.listed != listed || !wanted {
            for key in std::mem::take(&mut m.idle) {
                self.table.remove(key);
                context
                    .deadlines
                    .clear(Owner::new(Component::Endpoint, key));
            }
            let coming = |c: &Conn| c.up_by.is_some() && c.machine == name;
            let coming: Vec<u64> = self
                .table
                .iter()
                .filter(|(_, c)| coming(c))
                .map(|(key, _)| key)
                .collect();
            for key in coming {
                context
                    .deadlines
                    .clear(Owner::new(Component::Endpoint, key));
                let work = self.table.remove(key).and_then(|c| c.work);
                self.ended
                    .extend(work.map(|work| (work.job, name.to_string(), AttemptOutcome::NotSent)));
            }
        }
        (m.listed, m.wanted) = (listed, wanted);
        if listed.is_none() {
            self.machines.remove(name);
        }
    }

    pub fn process_of(&self, name: &str) -> Option<ProcessIdentity> {
        self.machines.get(name)?.listed
    }

    pub fn endpoint_names(&self) -> Vec<String> {
        self.machines.keys().cloned().collect()
    }

    pub fn start_attempt(
        &mut self,
        id: u64,
        machine: &str,
        until: Timestamp,
        context: &mut IoContext,
        clients: &mut Clients,
    ) {
        let Some(rq) = clients.request(id) else {
            return;
        };
        let n = rq.tries.len();
        let conn = self.start(Job::Try { id, n }, machine, until, context, clients);
        if let Some(rq) = clients.request(id) {
            rq.tries.push(conn);
        }
    }

    pub fn start_health_check(
        &mut self,
        machine: &str,
        until: Timestamp,
        context: &mut IoContext,
        clients: &mut Clients,
    ) {
        self.start(Job::Probe, machine, until, context, clients);
    }

    fn start(
        &mut self,
        job: Job,
        machine: &str,
        until: Timestamp,
        context: &mut IoContext,
        clients: &mut Clients,
    ) -> Option<u64> {
        let answer = Chain::new(&context.pool);
        let (since, reached) = (context.now, Reached::Nothing);
        let work = Work {
            job,
            since,
            until,
            reached,
            load: None,
            answer,
            parts: 0,
            end: None,
        };
        // A kept connection may be dead without a sign, and what is written to it may have run.
        let once =
            matches!(job, Job::Try { id, .. } if clients.request(id).is_some_and(|rq| rq.once));
        let fresh = once && self.stale_at.is_some_and(|at| context.now < at + STALE);
        let key = match self.connection(machine, fresh, context) {
            Ok(Some(key)) => key,
            Ok(None) => {
                info!(context.log, "no descriptor for a try"; "machine" => machine);
                self.ended
                    .push((job, machine.into(), AttemptOutcome::NotSent));
                return None;
            }
            Err(e) => {
                info!(context.log, "cannot connect"; "machine" => machine, "error" => %e);
                self.ended
                    .push((job, machine.into(), AttemptOutcome::Refused));
                return None;
            }
        };
        let c = self.table.get_mut(key)?;
        c.work = Some(work);
        c.used = context.now;
        context.deadlines.set(
            Owner::new(Component::Endpoint, key),
            c.up_by.map_or(until, |up| up.min(until)),
        );
        self.write(key, context, clients);
        Some(key)
    }

    /// A connection that stands idle, or a new one; none when all descriptors are in use.
    fn connection(
        &mut self,
        machine: &str,
        fresh: bool,
        context: &mut IoContext,
    ) -> io::Result<Option<u64>> {
        let m = self
            .machines
            .get_mut(machine)
            .ok_or(io::ErrorKind::NotFound)?;
        let listed = m.listed.ok_or(io::ErrorKind::NotFound)?;
        if fresh && !m.idle.is_empty() {
            // The new one takes the place of the one that has stood longest.
            let key = m.idle.remove(0);
            self.table.remove(key);
            context
                .deadlines
                .clear(Owner::new(Component::Endpoint, key));
        }
        let quiet = |key: &u64| {
            !fresh
                && self
                    .table
                    .get(*key)
                    .is_some_and(|c| c.used + QUIET <= context.now)
        };
        let quiet: Vec<u64> = m.idle.iter().copied().filter(quiet).collect();
        for key in quiet.into_iter().rev() {
            m.idle.retain(|k| *k != key);
            // A close that has come in the meantime would look like a req that may have run.
            if self.table.get(key).is_some_and(|c| c.connection.is_quiet()) {
                return Ok(Some(key));
            }
            self.table.remove(key);
            context
                .deadlines
                .clear(Owner::new(Component::Endpoint, key));
        }
        if self.table.is_full() {
            let idle = self.table.iter().filter(|(_, c)| c.work.is_none());
            let Some(key) = idle.min_by_key(|(_, c)| c.used).map(|(key, _)| key) else {
                return Ok(None);
            };
            debug!(context.log, "an idle connection makes room");
            self.close(key, context);
        }
        let up_by = Some(context.now + self.connection_settings.connect_timeout);
        let made = self.table.insert(|key| {
            let mut connection = Connection::open(
                context,
                listed.address,
                Owner::new(Component::Endpoint, key),
            )?;
            postgres::put_startup(&mut connection.output);
            let (machine, used) = (machine.into(), context.now);
            Ok(Conn {
                connection,
                machine,
                listed,
                up_by,
                work: None,
                used,
                kept: false,
            })
        });
        made.transpose()
    }

    fn close(&mut self, key: u64, context: &mut IoContext) {
        context
            .deadlines
            .clear(Owner::new(Component::Endpoint, key));
        if let Some(c) = self.table.remove(key)
            && let Some(m) = self.machines.get_mut(&c.machine)
        {
            m.idle.retain(|k| *k != key);
        }
    }

    /// Writes the query of a connection that is up, and what still waits.
    fn write(&mut self, key: u64, context: &mut IoContext, clients: &mut Clients) {
        let Some(c) = self.table.get_mut(key) else {
            return;
        };
        let begins = |w: &&mut Work| w.reached == Reached::Nothing && w.end.is_none();
        if let Some(work) = c.work.as_mut().filter(|w| c.up_by.is_none() && begins(w)) {
            match work.job {
                Job::Try { id, .. } => {
                    let Some(rq) = clients.request(id) else {
                        return;
                    };
                    let wait = (work.until - context.now).as_millis() as u64;
                    postgres::put_statement(
                        &mut c.connection.output,
                        &rq.statement,
                        &rq.wait_at,
                        wait.max(1),
                    );
                }
                Job::Probe => {
                    let query = if self.connection_settings.load_on_demand {
                        "SHOW vitals"
                    } else {
                        "SELECT 1"
                    };
                    postgres::put_query(&mut c.connection.output, query.as_bytes());
                }
            }
            work.reached = Reached::Part;
        }
        let flushed = c.connection.flush();
        if let Some(work) = c.work.as_mut().filter(|w| w.reached == Reached::Part) {
            // Bytes handed to the kernel on an open connection may arrive.
            if c.connection.output.is_empty() {
                work.reached = Reached::All;
            }
        }
        // A failure to write shows at the next read, with what the machine may still have said before.
        if let Err(e) = flushed {
            debug!(context.log, "cannot write"; "machine" => &c.machine, "error" => %e);
        }
    }

    pub fn on_ready(&mut self, key: u64, readiness: calloop::Readiness) {
        if let Some(c) = self.table.get_mut(key) {
            c.connection.on_ready(readiness);
        }
    }

    pub fn take_pending(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.again)
    }

    /// Tells what ended as soon as it began.
    pub fn notify_ended_attempts(&mut self, clients: &mut Clients, policy: &mut Balancer) {
        for (job, machine, end) in std::mem::take(&mut self.ended) {
            match job {
                Job::Try { id, n } => {
                    let result = AttemptResult {
                        outcome: end,
                        duration: Duration::ZERO,
                        request_finished: !clients.is_waiting(id),
                        load: None,
                    };
                    policy.on_attempt_result(id, n, result);
                    clients.on_attempt_ended(id, n);
                }
                Job::Probe => policy.on_health_check(&machine, end, None),
            }
        }
    }

    /// Reads what a machine has sent, tells the module and passes answers on.
    pub fn serve(
        &mut self,
        key: u64,
        context: &mut IoContext,
        clients: &mut Clients,
        policy: &mut Balancer,
    ) {
        self.write(key, context, clients);
        let Some(c) = self.table.get_mut(key) else {
            return;
        };
        let read = c.connection.read(READ_AHEAD);
        if matches!(read, Ok(Fill::Starved)) {
            self.again.push(key);
        }
        let rested = self.messages(key, context, clients, policy);
        self.tell_answered(key, context, clients, policy);
        match rested {
            Err(Malformed(why)) => {
                return self.fail(key, Cause::Malformed(why), context, clients, policy);
            }
            // A second copy, say: it would be taken for the answer to what is asked next.
            Ok(true)
                if self
                    .table
                    .get(key)
                    .is_some_and(|c| !c.connection.input.is_empty()) =>
            {
                self.close(key, context)
            }
            Ok(true) => self.rest(key, context),
            Ok(false) => {}
        }
        match read {
            Ok(Fill::Enough) => self.again.push(key),
            Ok(Fill::Ended) => self.fail(key, Cause::Ended, context, clients, policy),
            Err(e) => self.fail(key, Cause::Broken(e), context, clients, policy),
            Ok(_) => {}
        }
    }

    /// Whether the connection is free for the next query.
    fn messages(
        &mut self,
        key: u64,
        context: &mut IoContext,
        clients: &mut Clients,
        policy: &mut Balancer,
    ) -> Result<bool, Malformed> {
        let (mut body, mut rested) = (Vec::new(), false);
        while let Some(c) = self.table.get_mut(key) {
            let Some((tag, len)) = postgres::message(&c.connection.input, postgres::from_machine)?
            else {
                break;
            };
            let input = &mut c.connection.input;
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
                    (b'D', Job::Probe) if self.connection_settings.load_on_demand => {
                        work.load = std::str::from_utf8(postgres::row(&body)?)
                            .ok()
                            .and_then(load);
                    }
                    (b'D', _) => drop(postgres::row(&body)?),
                    _ => {
                        postgres::completes_one(&body)?;
                        work.end = Some(AttemptOutcome::Succeeded);
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
                    let report = postgres::parameter(&body)
                        .ok()
                        .filter(|(name, _)| *name == "vitals");
                    let read = report.and_then(|(_, value)| load(value));
                    if report.is_some() && read.is_none() {
                        info!(context.log, "machine's load report can't be read"; "machine" => &c.machine);
                    }
                    if let Some(work) = &mut c.work {
                        work.load = read.or(work.load);
                    }
                }
                b'K' | b'N' => {}
                b'E' => {
                    let (code, message) = postgres::error(&body)?;
                    if !matches!(code.as_str(), postgres::SHED | postgres::STARTING | "XX000") {
                        info!(context.log, "machine answered with an unknown error";
                            "machine" => &c.machine, "code" => &code, "message" => message.chars().take(200).collect::<String>());
                    }
                    // Before a query was written it is the connection that was turned down.
                    let end = Some(error_end(&code))
                        .filter(|end| !starting || *end == AttemptOutcome::Overloaded);
                    if let Some(work) = c.work.as_mut().filter(|w| w.end.is_none()) {
                        work.end = Some(end.unwrap_or(AttemptOutcome::Refused));
                    }
                }
                b'Z' if body != b"I" => return Err(Malformed("not ready after an answer")),
                b'Z' if starting => {
                    c.up_by = None;
                    // Much may have been told and passed since its machine was chosen.
                    if let Some(work) = c.work.as_mut().filter(|w| w.end.is_none())
                        && let Job::Try { id, n } = work.job
                        && !policy.may_write_attempt(id, n)
                    {
                        debug!(context.log, "a try that may not go any more"; "machine" => &c.machine);
                        work.end = Some(AttemptOutcome::NotSent);
                        rested = true;
                        continue;
                    }
                    let until = c.work.as_ref().map_or(context.now, |w| w.until);
                    context
                        .deadlines
                        .set(Owner::new(Component::Endpoint, key), until);
                    self.write(key, context, clients);
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
    fn rest(&mut self, key: u64, context: &mut IoContext) {
        let Some(c) = self.table.get_mut(key) else {
            return;
        };
        let m = self.machines.get_mut(&c.machine);
        match m.filter(|m| m.wanted && m.listed == Some(c.listed)) {
            Some(m) => {
                m.idle.push(key);
                (c.used, c.kept) = (context.now, true);
                // Well before the machine closes it, or a req would cross the close and count as run.
                context.deadlines.set(
                    Owner::new(Component::Endpoint, key),
                    context.now + self.connection_settings.idle_timeout / 2,
                );
            }
            None => self.close(key, context),
        }
    }

    /// Tells of a try or probe that the machine has answered.
    fn tell_answered(
        &mut self,
        key: u64,
        context: &mut IoContext,
        clients: &mut Clients,
        policy: &mut Balancer,
    ) {
        let Some(c) = self.table.get_mut(key) else {
            return;
        };
        if let Some((work, end)) = c
            .work
            .take_if(|w| w.end.is_some())
            .and_then(|w| w.end.map(|end| (w, end)))
        {
            // It has still to say that it takes the next query, or closes.
            context.deadlines.set(
                Owner::new(Component::Endpoint, key),
                context.now + self.connection_settings.connect_timeout,
            );
            let machine = c.machine.clone();
            self.tell(work, &machine, end, context, clients, policy);
        }
    }

    fn tell(
        &mut self,
        mut work: Work,
        machine: &str,
        end: AttemptOutcome,
        context: &IoContext,
        clients: &mut Clients,
        policy: &mut Balancer,
    ) {
        match work.job {
            Job::Try { id, n } => {
                match end {
                    AttemptOutcome::Succeeded => clients.complete_request(id, &mut work.answer),
                    AttemptOutcome::InvalidRequest => clients.answer_invalid_request(id),
                    _ => {}
                }
                let result = AttemptResult {
                    outcome: end,
                    duration: context.now - work.since,
                    request_finished: !clients.is_waiting(id),
                    load: work.load,
                };
                policy.on_attempt_result(id, n, result);
                clients.on_attempt_ended(id, n);
            }
            Job::Probe => policy.on_health_check(machine, end, work.load),
        }
    }

    /// Ends a connection that can't go on, with the try that is on it.
    fn fail(
        &mut self,
        key: u64,
        cause: Cause,
        context: &mut IoContext,
        clients: &mut Clients,
        policy: &mut Balancer,
    ) {
        let Some(c) = self.table.get_mut(key) else {
            return;
        };
        let (work, machine) = (c.work.take(), c.machine.clone());
        let unanswered = work
            .as_ref()
            .is_some_and(|w| w.reached == Reached::All && w.parts == 0);
        if c.kept && unanswered && matches!(cause, Cause::Broken(_) | Cause::Ended) {
            self.stale_at = Some(context.now);
        }
        if let Cause::Malformed(why) = cause {
            info!(context.log, "machine sent what can't be read"; "machine" => &machine, "why" => why);
        }
        self.close(key, context);
        if let Some(work) = work {
            let failure = Failure {
                reached: work.reached,
                cause,
            };
            info!(context.log, "try or probe failed"; "machine" => &machine, "failure" => %failure);
            self.tell(work, &machine, failure.end(), context, clients, policy);
        }
    }

    /// Ends a connection whose handling has panicked.
    pub fn close_after_panic(
        &mut self,
        key: u64,
        context: &mut IoContext,
        clients: &mut Clients,
        policy: &mut Balancer,
    ) {
        self.fail(key, Cause::Malformed("panic"), context, clients, policy);
    }

    /// A time limit has passed: to be up, to answer, or to stand idle.
    pub fn on_deadline(
        &mut self,
        key: u64,
        context: &mut IoContext,
        clients: &mut Clients,
        policy: &mut Balancer,
    ) {
        self.fail(key, Cause::Overdue, context, clients, policy);
    }

    /// Gives up a try; that it ended is told like any other end.
    pub fn cancel_attempt(
        &mut self,
        id: u64,
        n: usize,
        context: &mut IoContext,
        clients: &mut Clients,
    ) {
        let Some(key) = clients
            .request(id)
            .and_then(|rq| rq.tries.get(n).copied().flatten())
        else {
            return;
        };
        let Some(c) = self.table.get_mut(key) else {
            return;
        };
        if let Some(work) = c.work.take() {
            let failure = Failure {
                reached: work.reached,
                cause: Cause::Cancelled,
            };
            self.ended
                .push((work.job, c.machine.clone(), failure.end()));
            self.close(key, context);
        }
    }

    /// Whatever is out ends by then.
    pub fn begin_shutdown(&mut self, by: Timestamp, context: &mut IoContext) {
        let keys: Vec<u64> = self.table.iter().map(|(key, _)| key).collect();
        for key in keys {
            let Some(c) = self.table.get_mut(key) else {
                continue;
            };
            if let Some(work) = c.work.as_mut().filter(|w| w.until > by) {
                work.until = by;
                context.deadlines.set(
                    Owner::new(Component::Endpoint, key),
                    c.up_by.map_or(by, |up| up.min(by)),
                );
            }
        }
    }
}
