//! The event loop: each iteration waits, delivers what has become ready to the policy, carries out its decisions, and
//! lets the snapshot writer gather a slice.

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use calloop::EventLoop;
use calloop::signals::{Event, Signal, Signals};
use slog::{Logger, info, warn};
use tidescale_policy::Balancer;
use tidescale_policy::types::Timestamp;

use crate::clock::Clock;
use crate::config::Config;
use crate::connection::{IoContext, TurnEvents};
use crate::deadlines::Deadlines;
use crate::operators::Operators;
use crate::proxy::{Decisions, IterationEvents, Proxy, StartEvents};
use crate::resource_budget::BufferBudget;
use crate::snapshot_writer::{self, SnapshotWriter};

/// An iteration that starts so much later than it was due is logged.
const LATE_ITERATION: Duration = Duration::from_millis(50);

/// Why the loop could not start or go on.
#[derive(Debug, thiserror::Error)]
pub enum EventLoopError {
    /// The system offers no event queue, or it failed.
    #[error("event loop: {0}")]
    EventLoop(#[source] calloop::Error),
    /// Signals cannot be awaited.
    #[error("signals: {0}")]
    Signals(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The address that clients connect to cannot be taken.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// Why not.
        source: io::Error,
    },
    /// The listening socket cannot be used.
    #[error("listener: {0}")]
    Listener(#[source] io::Error),
    /// The configured limit leaves no descriptor for clients or endpoints.
    #[error("limits: {limit} sockets are too few")]
    TooFewDescriptors {
        /// The configured limit.
        limit: usize,
    },
}

/// Whether the loop goes on after an iteration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoopState {
    /// It does.
    Running,
    /// The proxy has drained after SIGTERM.
    Finished,
}

/// When an iteration is due.
struct Schedule {
    /// The earliest deadline.
    next_deadline: Option<Timestamp>,
    /// How long to wait for events; without end if none.
    timeout: Option<Duration>,
}

/// A proxy instance, from its first iteration to its last.
pub struct ProxyInstance {
    event_loop: EventLoop<'static, TurnEvents>,
    events: TurnEvents,
    clock: Clock,
    proxy: RefCell<Proxy>,
    /// The policy that decides.
    pub policy: Balancer,
    snapshot_writer: Option<SnapshotWriter>,
    /// Since the first iteration.
    longest_iteration: Duration,
}

impl ProxyInstance {
    /// Starts an instance and runs its first iteration. `config_path` is where the configuration is read again at
    /// SIGHUP. `listen` is called once signals are awaited: from then on whoever connects has to be answered.
    ///
    /// # Errors
    ///
    /// Where the system refuses an event queue, signals or the listening socket, or the limits are too narrow.
    pub fn new(
        config: &Config,
        config_path: PathBuf,
        listen: impl FnOnce() -> io::Result<TcpListener>,
        log: Logger,
    ) -> Result<ProxyInstance, EventLoopError> {
        let event_loop = EventLoop::try_new().map_err(EventLoopError::EventLoop)?;
        await_signals(&event_loop)?;
        let listener = listen().map_err(|source| EventLoopError::Listen {
            address: config.listen,
            source,
        })?;
        let clock = Clock::start();
        let now = clock.now();
        let buffers = BufferBudget::split(config.memory_mb);
        let context = IoContext {
            handle: event_loop.handle(),
            pool: buffers.endpoints,
            clients_pool: buffers.clients,
            streams_pool: buffers.control,
            deadlines: Deadlines::default(),
            log,
            now,
        };
        let proxy = Proxy::new(config, config_path, listener, context)?;
        let mut instance = ProxyInstance {
            event_loop,
            events: TurnEvents::default(),
            clock,
            proxy: RefCell::new(proxy),
            policy: Balancer::new(config.settings.clone(), config.seed, now),
            snapshot_writer: None,
            longest_iteration: Duration::ZERO,
        };
        instance.first_step(config);
        Ok(instance)
    }

    /// Restores what an earlier process has learned, as far as it still counts, and keeps snapshots from now on; does
    /// nothing where the operators' file names no folder for them.
    pub fn enable_snapshots(&mut self, operators: &Operators) {
        let Some(settings) = &operators.snapshot else {
            return;
        };
        let now = self.clock.now();
        let proxy = self.proxy.borrow();
        let log = proxy.context.log.clone();
        let Some((snapshot_writer, snapshot)) = SnapshotWriter::open(settings, now, log.clone())
        else {
            return;
        };
        if let Some(snapshot) = snapshot {
            let restored =
                snapshot_writer::restore(&snapshot, &proxy.directory(), now, &mut self.policy);
            let age = now - snapshot.written_at;
            info!(log, "snapshot restored";
                "records" => snapshot.records.len(), "restored" => restored, "age_s" => age.as_secs());
        }
        self.snapshot_writer = Some(snapshot_writer);
    }

    /// Waits for events or a deadline and handles them.
    ///
    /// # Errors
    ///
    /// Where the system's event queue fails.
    pub fn run_iteration(&mut self) -> Result<LoopState, EventLoopError> {
        let schedule = self.schedule();
        self.wait_for_events(&schedule)?;
        let started = Instant::now();
        self.step();
        self.write_snapshot_slice();
        self.longest_iteration = self.longest_iteration.max(started.elapsed());
        Ok(if self.proxy.borrow_mut().is_finished() {
            LoopState::Finished
        } else {
            LoopState::Running
        })
    }

    fn schedule(&mut self) -> Schedule {
        let proxy = self.proxy.borrow();
        let next_deadline = proxy.context.deadlines.next_at();
        let now = self.clock.now();
        let next_slice = self
            .snapshot_writer
            .as_mut()
            .and_then(|writer| writer.next_wake_up(now));
        let timeout = if proxy.has_pending_work() {
            Some(Duration::ZERO)
        } else {
            let due = next_deadline.into_iter().chain(next_slice).min();
            due.map(|at| at - self.clock.now())
        };
        Schedule {
            next_deadline,
            timeout,
        }
    }

    fn wait_for_events(&mut self, schedule: &Schedule) -> Result<(), EventLoopError> {
        self.event_loop
            .dispatch(schedule.timeout, &mut self.events)
            .map_err(EventLoopError::EventLoop)?;
        let delay = schedule
            .next_deadline
            .map_or(Duration::ZERO, |at| self.clock.now() - at);
        if delay > LATE_ITERATION {
            warn!(self.proxy.borrow().context.log, "an event-loop iteration came late";
                "late_ms" => delay.as_millis());
        }
        Ok(())
    }

    fn first_step(&mut self, config: &Config) {
        let now = self.update_time();
        let mut events = StartEvents {
            config,
            iteration: IterationEvents {
                proxy: &self.proxy,
                events: &mut self.events,
            },
        };
        self.policy
            .step(now, &mut events, &mut Decisions(&self.proxy));
    }

    fn step(&mut self) {
        let now = self.update_time();
        let mut events = IterationEvents {
            proxy: &self.proxy,
            events: &mut self.events,
        };
        self.policy
            .step(now, &mut events, &mut Decisions(&self.proxy));
    }

    /// All that happens in an iteration happens at one time.
    fn update_time(&self) -> Timestamp {
        let now = self.clock.now();
        self.proxy.borrow_mut().context.now = now;
        now
    }

    fn write_snapshot_slice(&mut self) {
        if let Some(writer) = &mut self.snapshot_writer {
            let now = self.clock.now();
            writer.run_slice(&self.proxy.borrow().directory(), now, &mut self.policy);
        }
    }

    fn write_final_snapshot(&mut self) {
        if let Some(writer) = &mut self.snapshot_writer {
            let now = self.clock.now();
            writer.write_final(&self.proxy.borrow().directory(), now, &mut self.policy);
        }
    }
}

/// Has SIGTERM and SIGHUP noted as events.
fn await_signals(event_loop: &EventLoop<'static, TurnEvents>) -> Result<(), EventLoopError> {
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGHUP])
        .map_err(|error| EventLoopError::Signals(Box::new(error)))?;
    let note = |event: Event, (): &mut (), events: &mut TurnEvents| match event.signal() {
        Signal::SIGHUP => events.reload = true,
        _ => events.stop = true,
    };
    event_loop
        .handle()
        .insert_source(signals, note)
        .map_err(|refused| EventLoopError::Signals(Box::new(refused.error)))?;
    Ok(())
}

/// Serves until SIGTERM, then drains and ends.
///
/// # Errors
///
/// Those of [`ProxyInstance::new`] and [`ProxyInstance::run_iteration`].
pub fn run(
    config: &Config,
    operators: &Operators,
    config_path: PathBuf,
    listen: impl FnOnce() -> io::Result<TcpListener>,
    log: Logger,
) -> Result<(), EventLoopError> {
    let mut instance = ProxyInstance::new(config, config_path, listen, log.clone())?;
    instance.enable_snapshots(operators);
    info!(log, "serving"; "listen" => %config.listen);
    while instance.run_iteration()? == LoopState::Running {}
    instance.write_final_snapshot();
    // The experiments read this key.
    let longest_us = instance.longest_iteration.as_micros() as u64;
    info!(log, "stopped"; "longest_turn_us" => longest_us);
    Ok(())
}
