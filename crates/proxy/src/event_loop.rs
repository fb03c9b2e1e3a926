//! The loop: each turn reads what is ready, calls the module once and writes its decisions.

use std::cell::RefCell;
use std::net::TcpListener;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use calloop::EventLoop;
use calloop::signals::{Event, Signal, Signals};
use slog::{Logger, error, info, warn};
use tidescale_policy::Balancer;
use tidescale_policy::host::{DecisionSink, EventSource};
use tidescale_policy::types::{Ballot, RollbackVerdict, Timestamp};

use crate::buffers::{self, Pool};
use crate::clients::{ClientLimits, Clients};
use crate::config::{self, Config};
use crate::connection::{Component, IoContext, Owner, TurnEvents};
use crate::deadlines::Deadlines;
use crate::discovery::Discovery;
use crate::operators::Operators;
use crate::rollout_status::{RolloutStatusStream, Votes};
use crate::snapshot_writer::{self, EndpointDirectory, SnapshotWriter};
use crate::upstream::Upstream;

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
const CLIENTS_COME: Duration = Duration::from_millis(700);
/// SIGKILL waits for the longest timeout, but no longer than this and the time in which clients come.
const LONGEST_WAIT: Duration = Duration::from_millis(3000);
/// Answers must be out before SIGKILL.
const MARGIN: Duration = Duration::from_millis(300);
/// A turn that comes so much later than it was due is told in the log.
const LATE: Duration = Duration::from_millis(50);

/// Unix time at the start, and what has passed since by a clock that never jumps; whole microseconds.
struct Clock {
    start: Instant,
    origin: Timestamp,
}

impl Clock {
    fn new() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            origin: Timestamp::ZERO + unix,
        }
    }
    fn now(&self) -> Timestamp {
        self.origin + self.start.elapsed()
    }
}

struct Node {
    context: IoContext,
    clients: Clients,
    upstream: Upstream,
    discovery: Discovery,
    rollout_status: RolloutStatusStream,
    votes: Votes,
    longest: Duration,
    config: PathBuf,
    /// Told to stop: from when on it may end, and when it has to.
    stopping: Option<(Timestamp, Timestamp)>,
    /// Nothing was owed when this was last looked at.
    quiet: bool,
}

/// What the loop found in a turn.
struct Found<'a> {
    node: &'a RefCell<Node>,
    ready: &'a mut TurnEvents,
    first: Option<&'a Config>,
}

impl EventSource for Found<'_> {
    fn deliver(&mut self, policy: &mut Balancer) {
        let node = &mut *self.node.borrow_mut();
        if let Some(config) = self.first {
            node.discovery.apply_known_list(
                &config.known,
                &mut node.context,
                &mut node.upstream,
                policy,
            );
            if let Some(news) = &config.news {
                news.tell(policy);
            }
            node.discovery.open(&mut node.context);
            node.rollout_status.open(&mut node.context);
        }
        if std::mem::take(&mut self.ready.stop) && node.stopping.is_none() {
            node.stop(policy);
        }
        if std::mem::take(&mut self.ready.reload) {
            node.reload();
        }
        node.upstream
            .notify_ended_attempts(&mut node.clients, policy);
        node.votes.notify_failed_vote(policy);
        let mut owners: Vec<Owner> = Vec::new();
        for (owner, readiness) in self.ready.sockets.drain(..) {
            match owner.component {
                Component::Listener => node.clients.on_accept_ready(),
                Component::Client => node.clients.on_ready(owner.slot, readiness),
                Component::Endpoint => node.upstream.on_ready(owner.slot, readiness),
                Component::EndpointList => node.discovery.on_ready(owner.slot, readiness),
                Component::RolloutStatus => node.rollout_status.on_ready(owner.slot, readiness),
                Component::Votes => node.votes.on_ready(readiness),
                Component::Policy | Component::Shutdown => {}
            }
            if matches!(owner.component, Component::Endpoint | Component::Votes) {
                owners.push(owner);
            }
        }
        // These may have gone without buffers in an earlier turn.
        owners.extend(
            [Component::EndpointList, Component::RolloutStatus]
                .map(|component| Owner::new(component, 0)),
        );
        owners.extend(
            node.upstream
                .take_pending()
                .into_iter()
                .map(|key| Owner::new(Component::Endpoint, key)),
        );
        // What the list and the news say comes first: it binds what is decided on the rest.
        owners.sort_unstable_by_key(|o| std::cmp::Reverse(*o));
        owners.dedup();
        for owner in owners {
            node.guard(owner, policy, |node, policy| node.serve(owner, policy));
        }
        while let Some(owner) = node.context.deadlines.pop_due(node.context.now) {
            node.guard(owner, policy, |node, policy| node.due(owner, policy));
        }
        node.clients.accept(&mut node.context, policy);
        for key in node.clients.take_pending() {
            node.guard(
                Owner::new(Component::Client, key),
                policy,
                |node, policy| node.clients.serve(key, &mut node.context, policy),
            );
        }
    }
}

impl Node {
    /// A panic ends the connection that it came from, and nothing else.
    fn guard(
        &mut self,
        owner: Owner,
        policy: &mut Balancer,
        job: impl FnOnce(&mut Node, &mut Balancer),
    ) {
        if catch_unwind(AssertUnwindSafe(|| job(self, policy))).is_err() {
            error!(self.context.log, "panic while serving a connection"; "part" => ?owner.component);
            let again = catch_unwind(AssertUnwindSafe(|| match owner.component {
                Component::Client => {
                    self.clients
                        .close_after_panic(owner.slot, &mut self.context, policy)
                }
                Component::Endpoint => {
                    self.upstream.close_after_panic(
                        owner.slot,
                        &mut self.context,
                        &mut self.clients,
                        policy,
                    );
                }
                Component::EndpointList => self.discovery.open(&mut self.context),
                Component::RolloutStatus => self.rollout_status.open(&mut self.context),
                Component::Votes => self.votes.on_deadline(&mut self.context, policy),
                Component::Policy | Component::Shutdown | Component::Listener => {}
            }));
            if again.is_err() {
                error!(self.context.log, "panic while closing a connection"; "part" => ?owner.component);
            }
        }
    }

    fn serve(&mut self, owner: Owner, policy: &mut Balancer) {
        let context = &mut self.context;
        match owner.component {
            Component::Endpoint => {
                self.upstream
                    .serve(owner.slot, context, &mut self.clients, policy)
            }
            Component::EndpointList => self.discovery.serve(context, &mut self.upstream, policy),
            Component::RolloutStatus => self.rollout_status.serve(context, policy),
            Component::Votes => self.votes.serve(context, policy),
            Component::Policy | Component::Shutdown | Component::Listener | Component::Client => {}
        }
    }

    fn due(&mut self, owner: Owner, policy: &mut Balancer) {
        let context = &mut self.context;
        match owner.component {
            Component::Endpoint => {
                self.upstream
                    .on_deadline(owner.slot, context, &mut self.clients, policy)
            }
            Component::EndpointList => self.discovery.on_deadline(owner.slot, context),
            Component::RolloutStatus => self.rollout_status.on_deadline(owner.slot, context),
            Component::Votes => self.votes.on_deadline(context, policy),
            Component::Client => self.clients.on_deadline(owner.slot, context, policy),
            // The round itself is what is due.
            Component::Policy | Component::Shutdown | Component::Listener => {}
        }
    }

    /// Only addresses change: the list and the news go on from where they stand.
    fn reload(&mut self) {
        let read = std::fs::read_to_string(&self.config).map_err(|e| e.to_string());
        let config = match read.and_then(|text| config::read(&text)) {
            Ok(config) => config,
            Err(why) => {
                let why = why.replace('\n', " ");
                warn!(self.context.log, "cannot use the new configuration, the earlier one stays"; "why" => why);
                return;
            }
        };
        let discovery = self
            .discovery
            .change_address(config.discovery, &mut self.context);
        let platform = self
            .rollout_status
            .change_address(config.platform, &mut self.context);
        self.votes
            .change_address(config.platform, &mut self.context);
        info!(self.context.log, "configuration read anew"; "discovery" => discovery, "platform" => platform);
    }

    /// Clients still come for a while; all that they ask is answered before SIGKILL.
    fn stop(&mut self, policy: &mut Balancer) {
        let now = self.context.now;
        let by = now + self.longest.min(LONGEST_WAIT) + CLIENTS_COME - MARGIN;
        info!(self.context.log, "stopping"; "open_reqs" => self.clients.open_request_count());
        self.stopping = Some((now + CLIENTS_COME, by + MARGIN / 2));
        self.clients.begin_shutdown();
        self.upstream.begin_shutdown(by, &mut self.context);
        policy.begin_shutdown(by);
        self.context
            .deadlines
            .set(Owner::new(Component::Shutdown, 0), now + CLIENTS_COME);
        self.context
            .deadlines
            .set(Owner::new(Component::Shutdown, 1), by + MARGIN / 2);
    }

    fn is_finished(&mut self) -> bool {
        let now = self.context.now;
        let Some((_, by)) = self.stopping.filter(|(from, _)| now >= *from) else {
            return false;
        };
        // Whoever has come since the last turn is let in first.
        let before = std::mem::replace(&mut self.quiet, self.clients.is_idle());
        if self.quiet && !before {
            self.clients.on_accept_ready();
        }
        // A client that does not read its answer holds up no end.
        self.quiet && before || now >= by
    }

    fn has_pending_work(&self) -> bool {
        let context = &self.context;
        self.clients.has_pending_work(context)
            || self.upstream.has_pending_work(context)
            || self.votes.has_pending_work()
    }
}

/// Takes the decisions of a step.
struct Decisions<'a>(&'a RefCell<Node>);

impl DecisionSink for Decisions<'_> {
    fn start_attempt(&mut self, request: u64, endpoint: &str, deadline: Timestamp) {
        let node = &mut *self.0.borrow_mut();
        node.upstream.start_attempt(
            request,
            endpoint,
            deadline,
            &mut node.context,
            &mut node.clients,
        );
    }
    fn cancel_attempt(&mut self, request: u64, attempt_index: usize) {
        let node = &mut *self.0.borrow_mut();
        node.upstream
            .cancel_attempt(request, attempt_index, &mut node.context, &mut node.clients);
    }
    fn reject_request(&mut self, request: u64, retry_after: Duration) {
        self.0
            .borrow_mut()
            .clients
            .reject_request(request, retry_after);
    }
    fn fail_request(&mut self, request: u64) {
        self.0.borrow_mut().clients.fail_request(request);
    }
    fn cast_vote(&mut self, ballot: Ballot) {
        let node = &mut *self.0.borrow_mut();
        info!(node.context.log, "vote";
            "build" => ballot.build, "stage" => ballot.stage, "vote" => ?ballot.vote);
        node.votes.cast_vote(ballot, &mut node.context);
    }
    fn start_health_check(&mut self, endpoint: &str, deadline: Timestamp) {
        let node = &mut *self.0.borrow_mut();
        node.upstream
            .start_health_check(endpoint, deadline, &mut node.context, &mut node.clients);
    }
    /// The stream of the endpoint list always stands.
    fn poll_endpoints(&mut self) {}
    fn schedule_wake_up(&mut self, after: Duration) {
        let context = &mut self.0.borrow_mut().context;
        context
            .deadlines
            .set(Owner::new(Component::Policy, 0), context.now + after);
    }
    fn report_rollback_verdict(&mut self, verdict: &RollbackVerdict) {
        let round = |x: f64| format!("{x:.2}");
        info!(self.0.borrow().context.log, "verdict: to go back";
            "build" => verdict.build, "stage" => verdict.stage, "test" => crate::explain::test_name(verdict.test),
            "new_hits" => round(verdict.candidate.failures), "new_outcomes" => round(verdict.candidate.outcomes),
            "old_hits" => round(verdict.baseline.failures), "old_outcomes" => round(verdict.baseline.outcomes),
            "recalled" => round(verdict.restored_outcomes), "score" => round(verdict.score),
            "bound" => round(verdict.bound), "alpha" => verdict.alpha, "beta" => verdict.beta,
            "aside" => verdict.ejected_endpoints);
    }
}

/// A front, from its first turn to its last.
pub struct Front {
    events: EventLoop<'static, TurnEvents>,
    ready: TurnEvents,
    clock: Clock,
    node: RefCell<Node>,
    pub module: Balancer,
    snapshot_writer: Option<SnapshotWriter>,
    /// The longest turn since the first.
    longest: Duration,
}

impl Node {
    fn directory(&self) -> EndpointDirectory<'_> {
        EndpointDirectory {
            upstream: &self.upstream,
            list_version: self.discovery.list_version(),
            list_confirmed_at: self.discovery.list_confirmed_at(),
        }
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
        let events: EventLoop<'static, TurnEvents> =
            EventLoop::try_new().map_err(|e| failed("event loop", &e))?;
        let signals =
            Signals::new(&[Signal::SIGTERM, Signal::SIGHUP]).map_err(|e| failed("signals", &e))?;
        let told = |event: Event, _: &mut (), ready: &mut TurnEvents| match event.signal() {
            Signal::SIGHUP => ready.reload = true,
            _ => ready.stop = true,
        };
        events
            .handle()
            .insert_source(signals, told)
            .map_err(|e| failed("signals", &e))?;

        let listener = listen()?;
        let clock = Clock::new();
        let buffers = config.memory_mb.saturating_mul(1024 * 1024) / BUFFER_PART / buffers::SIZE;
        let streams_pool = Pool::new(STREAMS_BUFFERS);
        let clients_pool = Pool::new((buffers / 2).max(1));
        let pool = Pool::new(buffers.saturating_sub(buffers / 2 + STREAMS_BUFFERS).max(1));
        let (handle, now) = (events.handle(), clock.now());
        let context = IoContext {
            handle,
            pool,
            clients_pool,
            streams_pool,
            deadlines: Deadlines::default(),
            log,
            now,
        };
        let routes = config.settings.routes.clone();
        let free = config.sockets.saturating_sub(RESERVE + STANDING);
        if free < MACHINES_PART {
            return Err(format!("limits: {} sockets are too few", config.sockets));
        }
        let for_machines = free / MACHINES_PART;
        let for_clients = ClientLimits {
            connections: free - for_machines,
            resting: config.sockets / RESTING_PART,
        };
        let clients = Clients::new(&context, listener, routes, for_clients)
            .map_err(|e| failed("listener", &e))?;
        let node = RefCell::new(Node {
            upstream: Upstream::new(config.connections.clone(), for_machines),
            discovery: Discovery::new(
                config.discovery,
                config.settings.poll_endpoints,
                config.seed,
            ),
            rollout_status: RolloutStatusStream::new(config.platform, config.seed),
            votes: Votes::new(config.platform, config.settings.vote_timeout),
            longest: config.connections.longest_deadline,
            config: path,
            stopping: None,
            quiet: false,
            clients,
            context,
        });
        let module = Balancer::new(config.settings.clone(), config.seed, now);
        let mut front = Front {
            events,
            ready: TurnEvents::default(),
            clock,
            node,
            module,
            snapshot_writer: None,
            longest: Duration::ZERO,
        };
        front.round(Some(config));
        Ok(front)
    }

    /// Takes up what was kept, as far as it still counts, and keeps it from now on.
    pub fn keep(&mut self, operators: &Operators) {
        let Some(set) = &operators.memory else { return };
        let (now, node) = (self.clock.now(), self.node.borrow());
        let log = node.context.log.clone();
        let Some((snapshot_writer, image)) = SnapshotWriter::open(set, now, log.clone()) else {
            return;
        };
        if let Some(image) = image {
            let counted =
                snapshot_writer::restore(&image, &node.directory(), now, &mut self.module);
            let age_s = (now - Timestamp::from_micros(image.written)).as_secs();
            info!(log, "memory read"; "facts" => image.facts.len(), "counted" => counted, "age_s" => age_s);
        }
        self.snapshot_writer = Some(snapshot_writer);
    }

    fn round(&mut self, first: Option<&Config>) {
        let now = self.clock.now();
        self.node.borrow_mut().context.now = now;
        let mut found = Found {
            node: &self.node,
            ready: &mut self.ready,
            first,
        };
        self.module
            .step(now, &mut found, &mut Decisions(&self.node));
    }

    /// Waits for news or a deadline and answers it; whether the front goes on.
    pub fn turn(&mut self) -> Result<bool, String> {
        let due = self.node.borrow().context.deadlines.next_at();
        let now = self.clock.now();
        let keep_at = self
            .snapshot_writer
            .as_mut()
            .and_then(|k| k.next_wake_up(now));
        let pause = match due.into_iter().chain(keep_at).min() {
            _ if self.node.borrow().has_pending_work() => Some(Duration::ZERO),
            due => due.map(|at| at - self.clock.now()),
        };
        self.events
            .dispatch(pause, &mut self.ready)
            .map_err(|e| format!("event loop: {e}"))?;
        let late = due.map_or(Duration::ZERO, |at| self.clock.now() - at);
        if late > LATE {
            warn!(self.node.borrow().context.log, "a turn came late"; "late_ms" => late.as_millis());
        }
        let begun = Instant::now();
        self.round(None);
        if let Some(snapshot_writer) = &mut self.snapshot_writer {
            snapshot_writer.run_slice(
                &self.node.borrow().directory(),
                self.clock.now(),
                &mut self.module,
            );
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
    if let Some(snapshot_writer) = &mut front.snapshot_writer {
        snapshot_writer.write_final(
            &front.node.borrow().directory(),
            front.clock.now(),
            &mut front.module,
        );
    }
    info!(log, "stopped"; "longest_turn_us" => front.longest.as_micros() as u64);
    Ok(())
}
