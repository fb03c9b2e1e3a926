//! The loop: each turn reads what is ready, calls the module once and writes its decisions.

use std::cell::RefCell;
use std::net::TcpListener;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use calloop::EventLoop;
use calloop::signals::{Event, Signal, Signals};
use slog::{Logger, error, info, warn};
use tidescale_policy::decide::Balancer;
use tidescale_policy::front::{Finding, Inbox, Verdict, Writer};

use crate::buffers::{self, Pool};
use crate::clients::Clients;
use crate::config::{self, Config};
use crate::connection::{Ground, Owner, Part, Ready};
use crate::deadlines::Deadlines;
use crate::discovery::Discovery;
use crate::operators::Operators;
use crate::rollout_status::{Bulletin, Votes};
use crate::snapshot_writer::{self, Beside, Keeper};
use crate::upstream::{Cause, Upstream};

const MS: u64 = 1000;
/// Descriptors of the process itself: standard streams, the loop's own, the listener, and some in hand.
const RESERVE: usize = 32;
/// The watch, the bulletin, the votes, and one of each that is just being replaced.
const STANDING: usize = 6;
/// The part of the descriptors left that goes to machines' connections. Clients hold at most a third of all for
/// reqs; the rest of their half is for those that come to no good, which must be told before they can be closed.
const MACHINES_PART: usize = 2;
/// The part of all descriptors on which clients' connections may rest: less than half of what clients hold for reqs.
const RESTING_PART: usize = 8;
/// The part of the memory that buffers may take.
const BUFFER_PART: usize = 3;
/// Of these for what discovery and the platform send; of the rest half for clients, half for machines.
const STREAMS_BUFFERS: usize = 64;
/// For so long after SIGTERM clients may still come, and what they ask is still owed.
const CLIENTS_COME: u64 = 700 * MS;
/// SIGKILL waits for the longest timeout, but no longer than this and the time in which clients come.
const LONGEST_WAIT: u64 = 3000 * MS;
/// Answers must be out before SIGKILL.
const MARGIN: u64 = 300 * MS;
/// A turn that comes so much later than it was due is told in the log.
const LATE: u64 = 50 * MS;

/// Unix time at the start, and what has passed since by a clock that never jumps; whole microseconds.
struct Clock {
    start: Instant,
    unix: u64,
}

impl Clock {
    fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64);
        Clock { start: Instant::now(), unix }
    }
    fn now(&self) -> u64 {
        self.unix + self.start.elapsed().as_micros() as u64
    }
}

struct Node {
    ground: Ground,
    clients: Clients,
    upstream: Upstream,
    discovery: Discovery,
    bulletin: Bulletin,
    votes: Votes,
    longest: u64,
    config: PathBuf,
    /// Told to stop: from when on it may end, and when it has to.
    stopping: Option<(u64, u64)>,
    /// Nothing was owed when this was last looked at.
    quiet: bool,
}

/// What the loop found in a turn.
struct Found<'a> {
    node: &'a RefCell<Node>,
    ready: &'a mut Ready,
    first: Option<&'a Config>,
}

impl Inbox for Found<'_> {
    fn replay(&mut self, to: &mut Balancer) {
        let node = &mut *self.node.borrow_mut();
        if let Some(config) = self.first {
            node.discovery.known(&config.known, &mut node.ground, &mut node.upstream, to);
            if let Some(news) = &config.news {
                news.tell(to);
            }
            node.discovery.open(&mut node.ground);
            node.bulletin.open(&mut node.ground);
        }
        if std::mem::take(&mut self.ready.stop) && node.stopping.is_none() {
            node.stop(to);
        }
        if std::mem::take(&mut self.ready.reload) {
            node.reload();
        }
        node.upstream.tell_ended(&mut node.clients, to);
        node.votes.tell_failed(to);
        let mut owners: Vec<Owner> = Vec::new();
        for (owner, readiness) in self.ready.sockets.drain(..) {
            match owner.0 {
                Part::Listener => node.clients.knocked(),
                Part::Client => node.clients.found(owner.1, readiness),
                Part::Machine => node.upstream.found(owner.1, readiness),
                Part::Watch => node.discovery.found(owner.1, readiness),
                Part::Bulletin => node.bulletin.found(owner.1, readiness),
                Part::Votes => node.votes.found(readiness),
                Part::Module | Part::Exit => {}
            }
            if matches!(owner.0, Part::Machine | Part::Votes) {
                owners.push(owner);
            }
        }
        // These may have gone without buffers in an earlier turn.
        owners.extend([Part::Watch, Part::Bulletin].map(|part| (part, 0)));
        owners.extend(node.upstream.take_again().into_iter().map(|key| (Part::Machine, key)));
        // What the list and the news say comes first: it binds what is decided on the rest.
        owners.sort_unstable_by_key(|o| std::cmp::Reverse(*o));
        owners.dedup();
        for owner in owners {
            node.guard(owner, to, |node, to| node.serve(owner, to));
        }
        while let Some(owner) = node.ground.deadlines.due(node.ground.now) {
            node.guard(owner, to, |node, to| node.due(owner, to));
        }
        node.clients.accept(&mut node.ground, to);
        for key in node.clients.take_again() {
            node.guard((Part::Client, key), to, |node, to| node.clients.serve(key, &mut node.ground, to));
        }
    }
}

impl Node {
    /// A panic ends the connection that it came from, and nothing else.
    fn guard(&mut self, owner: Owner, to: &mut Balancer, job: impl FnOnce(&mut Node, &mut Balancer)) {
        if catch_unwind(AssertUnwindSafe(|| job(self, to))).is_err() {
            error!(self.ground.log, "panic while serving a connection"; "part" => ?owner.0);
            let again = catch_unwind(AssertUnwindSafe(|| match owner.0 {
                Part::Client => self.clients.abandon(owner.1, &mut self.ground, to),
                Part::Machine => {
                    let cause = Cause::Malformed("panic");
                    self.upstream.fail(owner.1, cause, &mut self.ground, &mut self.clients, to);
                }
                Part::Watch => self.discovery.open(&mut self.ground),
                Part::Bulletin => self.bulletin.open(&mut self.ground),
                Part::Votes => self.votes.due(&mut self.ground, to),
                Part::Module | Part::Exit | Part::Listener => {}
            }));
            if again.is_err() {
                error!(self.ground.log, "panic while closing a connection"; "part" => ?owner.0);
            }
        }
    }

    fn serve(&mut self, owner: Owner, to: &mut Balancer) {
        let ground = &mut self.ground;
        match owner.0 {
            Part::Machine => self.upstream.serve(owner.1, ground, &mut self.clients, to),
            Part::Watch => self.discovery.serve(ground, &mut self.upstream, to),
            Part::Bulletin => self.bulletin.serve(ground, to),
            Part::Votes => self.votes.serve(ground, to),
            Part::Module | Part::Exit | Part::Listener | Part::Client => {}
        }
    }

    fn due(&mut self, owner: Owner, to: &mut Balancer) {
        let ground = &mut self.ground;
        match owner.0 {
            Part::Machine => self.upstream.due(owner.1, ground, &mut self.clients, to),
            Part::Watch => self.discovery.due(owner.1, ground),
            Part::Bulletin => self.bulletin.due(owner.1, ground),
            Part::Votes => self.votes.due(ground, to),
            Part::Client => self.clients.due(owner.1, ground, to),
            // The round itself is what is due.
            Part::Module | Part::Exit | Part::Listener => {}
        }
    }

    /// Only addresses change: the list and the news go on from where they stand.
    fn reload(&mut self) {
        let read = std::fs::read_to_string(&self.config).map_err(|e| e.to_string());
        let config = match read.and_then(|text| config::read(&text)) {
            Ok(config) => config,
            Err(why) => {
                let why = why.replace('\n', " ");
                warn!(self.ground.log, "cannot use the new configuration, the earlier one stays"; "why" => why);
                return;
            }
        };
        let discovery = self.discovery.move_to(config.discovery, &mut self.ground);
        let platform = self.bulletin.move_to(config.platform, &mut self.ground);
        self.votes.move_to(config.platform, &mut self.ground);
        info!(self.ground.log, "configuration read anew"; "discovery" => discovery, "platform" => platform);
    }

    /// Clients still come for a while; all that they ask is answered before SIGKILL.
    fn stop(&mut self, to: &mut Balancer) {
        let now = self.ground.now;
        let by = now + self.longest.min(LONGEST_WAIT) + CLIENTS_COME - MARGIN;
        info!(self.ground.log, "stopping"; "open_reqs" => self.clients.open_reqs());
        self.stopping = Some((now + CLIENTS_COME, by + MARGIN / 2));
        self.clients.stop();
        self.upstream.stop(by, &mut self.ground);
        to.closing(by);
        self.ground.deadlines.set((Part::Exit, 0), now + CLIENTS_COME);
        self.ground.deadlines.set((Part::Exit, 1), by + MARGIN / 2);
    }

    fn is_finished(&mut self) -> bool {
        let now = self.ground.now;
        let Some((_, by)) = self.stopping.filter(|(from, _)| now >= *from) else { return false };
        // Whoever has come since the last turn is let in first.
        let before = std::mem::replace(&mut self.quiet, self.clients.is_quiet());
        if self.quiet && !before {
            self.clients.knocked();
        }
        // A client that does not read its answer holds up no end.
        self.quiet && before || now >= by
    }

    fn is_pressed(&self) -> bool {
        let ground = &self.ground;
        self.clients.is_pressed(ground) || self.upstream.is_pressed(ground) || self.votes.is_pressed()
    }
}

/// Takes the decisions of a round.
struct Decided<'a>(&'a RefCell<Node>);

impl Writer for Decided<'_> {
    fn upstream_try(&mut self, rq: u64, machine: &str, until: u64) {
        let node = &mut *self.0.borrow_mut();
        node.upstream.send(rq, machine, until, &mut node.ground, &mut node.clients);
    }
    fn cancel_try(&mut self, rq: u64, n: usize) {
        let node = &mut *self.0.borrow_mut();
        node.upstream.cancel(rq, n, &mut node.ground, &mut node.clients);
    }
    fn shed(&mut self, rq: u64, come_back: u64) {
        self.0.borrow_mut().clients.shed(rq, come_back);
    }
    fn error(&mut self, rq: u64) {
        self.0.borrow_mut().clients.error(rq);
    }
    fn vote(&mut self, build: u32, stage: u32, verdict: Verdict) {
        let node = &mut *self.0.borrow_mut();
        info!(node.ground.log, "vote"; "build" => build, "stage" => stage, "verdict" => ?verdict);
        node.votes.cast(build, stage, verdict, &mut node.ground);
    }
    fn probe(&mut self, machine: &str, until: u64) {
        let node = &mut *self.0.borrow_mut();
        node.upstream.probe(machine, until, &mut node.ground, &mut node.clients);
    }
    /// The watch always stands.
    fn watch_list(&mut self) {}
    fn wake(&mut self, after: u64) {
        let ground = &mut self.0.borrow_mut().ground;
        ground.deadlines.set((Part::Module, 0), ground.now + after);
    }
    fn found(&mut self, f: &Finding) {
        let round = |x: f64| format!("{x:.2}");
        info!(self.0.borrow().ground.log, "verdict: to go back";
            "build" => f.build, "stage" => f.stage, "test" => crate::explain::TESTS[f.test],
            "new_hits" => round(f.new[0]), "new_outcomes" => round(f.new[1]),
            "old_hits" => round(f.old[0]), "old_outcomes" => round(f.old[1]),
            "recalled" => round(f.recalled), "score" => round(f.score), "bound" => round(f.bound),
            "alpha" => f.alpha, "beta" => f.beta, "aside" => f.aside);
    }
}

/// A front, from its first turn to its last.
pub struct Front {
    events: EventLoop<'static, Ready>,
    ready: Ready,
    clock: Clock,
    node: RefCell<Node>,
    pub module: Balancer,
    keeper: Option<Keeper>,
    /// The longest turn since the first.
    longest: Duration,
}

impl Node {
    fn beside(&self) -> Beside<'_> {
        Beside { upstream: &self.upstream, list: self.discovery.heard() }
    }
}

impl Front {
    /// `path`: where the configuration is read anew. `listen` is called once signals are awaited: who can connect is
    /// owed an answer.
    pub fn new(
        config: &Config,
        path: PathBuf,
        listen: impl FnOnce() -> Result<TcpListener, String>,
        log: Logger,
    ) -> Result<Front, String> {
        let failed = |what: &str, e: &dyn std::fmt::Display| format!("{what}: {e}");
        let events: EventLoop<'static, Ready> = EventLoop::try_new().map_err(|e| failed("event loop", &e))?;
        let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGHUP]).map_err(|e| failed("signals", &e))?;
        let told = |event: Event, _: &mut (), ready: &mut Ready| match event.signal() {
            Signal::SIGHUP => ready.reload = true,
            _ => ready.stop = true,
        };
        events.handle().insert_source(signals, told).map_err(|e| failed("signals", &e))?;

        let listener = listen()?;
        let clock = Clock::new();
        let buffers = config.memory_mb.saturating_mul(1024 * 1024) / BUFFER_PART / buffers::SIZE;
        let streams_pool = Pool::new(STREAMS_BUFFERS);
        let clients_pool = Pool::new((buffers / 2).max(1));
        let pool = Pool::new(buffers.saturating_sub(buffers / 2 + STREAMS_BUFFERS).max(1));
        let (handle, now) = (events.handle(), clock.now());
        let ground =
            Ground { handle, pool, clients_pool, streams_pool, deadlines: Deadlines::default(), log, now };
        let routes = config.settings.routes.clone();
        let free = config.sockets.saturating_sub(RESERVE + STANDING);
        if free < MACHINES_PART {
            return Err(format!("limits: {} sockets are too few", config.sockets));
        }
        let for_machines = free / MACHINES_PART;
        let for_clients = (free - for_machines, config.sockets / RESTING_PART);
        let clients =
            Clients::new(&ground, listener, routes, for_clients).map_err(|e| failed("listener", &e))?;
        let node = RefCell::new(Node {
            upstream: Upstream::new(config.links.clone(), for_machines),
            discovery: Discovery::new(config.discovery, config.settings.ask_list, config.seed),
            bulletin: Bulletin::new(config.platform, config.seed),
            votes: Votes::new(config.platform, config.settings.vote_wait),
            longest: config.links.longest_timeout,
            config: path,
            stopping: None,
            quiet: false,
            clients,
            ground,
        });
        let module = Balancer::new(config.settings.clone(), config.seed, now);
        let mut front = Front {
            events,
            ready: Ready::default(),
            clock,
            node,
            module,
            keeper: None,
            longest: Duration::ZERO,
        };
        front.round(Some(config));
        Ok(front)
    }

    /// Takes up what was kept, as far as it still counts, and keeps it from now on.
    pub fn keep(&mut self, operators: &Operators) {
        let Some(set) = &operators.memory else { return };
        let (now, node) = (self.clock.now(), self.node.borrow());
        let log = node.ground.log.clone();
        let Some((keeper, image)) = Keeper::open(set, now, log.clone()) else { return };
        if let Some(image) = image {
            let counted = snapshot_writer::recall(&image, &node.beside(), now, &mut self.module);
            let age_s = now.saturating_sub(image.written) / (1000 * MS);
            info!(log, "memory read"; "facts" => image.facts.len(), "counted" => counted, "age_s" => age_s);
        }
        self.keeper = Some(keeper);
    }

    fn round(&mut self, first: Option<&Config>) {
        let now = self.clock.now();
        self.node.borrow_mut().ground.now = now;
        let mut found = Found { node: &self.node, ready: &mut self.ready, first };
        self.module.round(now, &mut found, &mut Decided(&self.node));
    }

    /// Waits for news or a deadline and answers it; whether the front goes on.
    pub fn turn(&mut self) -> Result<bool, String> {
        let due = self.node.borrow().ground.deadlines.next();
        let now = self.clock.now();
        let keep_at = self.keeper.as_mut().and_then(|k| k.wake_at(now));
        let pause = match due.into_iter().chain(keep_at).min() {
            _ if self.node.borrow().is_pressed() => Some(Duration::ZERO),
            due => due.map(|at| Duration::from_micros(at.saturating_sub(self.clock.now()))),
        };
        self.events.dispatch(pause, &mut self.ready).map_err(|e| format!("event loop: {e}"))?;
        let late = due.map_or(0, |at| self.clock.now().saturating_sub(at));
        if late > LATE {
            warn!(self.node.borrow().ground.log, "a turn came late"; "late_ms" => late / MS);
        }
        let begun = Instant::now();
        self.round(None);
        if let Some(keeper) = &mut self.keeper {
            keeper.slice(&self.node.borrow().beside(), self.clock.now(), &mut self.module);
        }
        self.longest = self.longest.max(begun.elapsed());
        Ok(!self.node.borrow_mut().is_finished())
    }
}

/// Serves until told to stop.
pub fn run(
    config: &Config,
    operators: &Operators,
    path: PathBuf,
    listen: impl FnOnce() -> Result<TcpListener, String>,
    log: Logger,
) -> Result<(), String> {
    let mut front = Front::new(config, path, listen, log.clone())?;
    front.keep(operators);
    info!(log, "serving"; "listen" => %config.listen);
    while front.turn()? {}
    if let Some(keeper) = &mut front.keeper {
        keeper.finish(&front.node.borrow().beside(), front.clock.now(), &mut front.module);
    }
    info!(log, "stopped"; "longest_turn_us" => front.longest.as_micros() as u64);
    Ok(())
}
