//! The event loop. Each iteration waits for events, delivers them to the policy, carries out the
//! decisions of the policy, and lets the snapshot writer collect a slice of the state.

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use calloop::EventLoop;
use calloop::signals::{Event, Signal, Signals};
use slog::Logger;
use tidescale_policy::Balancer;
use tidescale_policy::types::Timestamp;

use crate::clock::Clock;
use crate::config::Config;
use crate::context::{IoContext, ReadyEvents};
use crate::deadlines::Deadlines;
use crate::log_lines::{self, RestoredSnapshot};
use crate::operators::OperatorSettings;
use crate::proxy::{Decisions, IterationEvents, Proxy, ProxyError, StartEvents};
use crate::resource_budget::{BufferBudget, ConnectionBudget};
use crate::snapshot_writer::{self, SnapshotWriter};

/// An iteration that starts more than this after its deadline is logged.
const MAX_ITERATION_DELAY: Duration = Duration::from_millis(50);

/// Why the event loop could not start or continue.
#[derive(Debug, thiserror::Error)]
pub enum EventLoopError {
    /// The event queue of the system could not be created or polled.
    #[error("event loop: {0}")]
    EventLoop(#[source] calloop::Error),
    /// Signals cannot be received.
    #[error("cannot receive signals: {0}")]
    Signals(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The proxy cannot listen on the address for clients.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
    /// The components cannot be set up.
    #[error(transparent)]
    Proxy(#[from] ProxyError),
}

/// The state of the event loop after an iteration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoopState {
    /// Another iteration has to run.
    Running,
    /// The proxy has shut down after SIGTERM.
    Finished,
}

/// When the next iteration starts if no socket becomes ready and no signal arrives before.
struct Schedule {
    /// The earliest deadline of any component; `None` if none is set.
    next_deadline: Option<Timestamp>,
    /// How long to wait for events; `None` to wait without limit.
    timeout: Option<Duration>,
}

/// A proxy instance and the event loop that drives it.
pub struct ProxyInstance {
    event_loop: EventLoop<'static, ReadyEvents>,
    events: ReadyEvents,
    clock: Clock,
    proxy: RefCell<Proxy>,
    /// The policy, which decides about requests, attempts and votes.
    pub policy: Balancer,
    snapshot_writer: Option<SnapshotWriter>,
    /// Duration of the longest iteration so far.
    longest_iteration: Duration,
}

impl ProxyInstance {
    /// Starts an instance and runs its first iteration. The configuration is read again from
    /// `config_path` on SIGHUP. `listen` is called after signals have been set up, so that clients
    /// that connect from then on get a response even if SIGTERM arrives.
    ///
    /// # Errors
    ///
    /// The event queue, signal handling or the listening socket cannot be set up, or the configured
    /// limits are too low.
    pub fn new(
        config: &Config,
        config_path: PathBuf,
        listen: impl FnOnce() -> io::Result<TcpListener>,
        log: Logger,
    ) -> Result<ProxyInstance, EventLoopError> {
        let event_loop = EventLoop::try_new().map_err(EventLoopError::EventLoop)?;
        receive_signals(&event_loop)?;
        let listener = listen().map_err(|source| EventLoopError::Listen {
            address: config.listen,
            source,
        })?;
        let clock = Clock::start();
        let now = clock.now();
        let buffers = buffer_budget(config);
        let context = IoContext {
            handle: event_loop.handle(),
            endpoint_buffers: buffers.endpoints,
            output_buffers: buffers.output,
            client_buffers: buffers.clients,
            statement_buffers: buffers.statements,
            control_buffers: buffers.control,
            deadlines: Deadlines::default(),
            log,
            now,
        };
        let proxy = Proxy::new(config, config_path, listener, context)?;
        let mut instance = ProxyInstance {
            event_loop,
            events: ReadyEvents::default(),
            clock,
            proxy: RefCell::new(proxy),
            policy: Balancer::new(config.settings.clone(), config.seed, now),
            snapshot_writer: None,
            longest_iteration: Duration::ZERO,
        };
        instance.first_step(config);
        Ok(instance)
    }

    /// Restores the records that are still valid from the snapshot of an earlier process, and
    /// starts to write snapshots. Does nothing if the operators' file names no snapshot folder.
    pub fn enable_snapshots(&mut self, operators: &OperatorSettings) {
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
            let restored = snapshot_writer::restore(
                &snapshot,
                &proxy.listed_processes(),
                now,
                &mut self.policy,
            );
            let summary = RestoredSnapshot {
                records: snapshot.records.len(),
                restored,
                age: now - snapshot.written_at,
            };
            log_lines::snapshot_restored(&log, summary);
        }
        self.snapshot_writer = Some(snapshot_writer);
    }

    /// Waits for events or the next deadline, and handles them.
    ///
    /// # Errors
    ///
    /// The event queue of the system fails.
    pub fn run_iteration(&mut self) -> Result<LoopState, EventLoopError> {
        let schedule = self.schedule();
        self.wait_for_events(&schedule)?;
        let started = Instant::now();
        self.step();
        self.run_snapshot_slice();
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
            let wake_up_at = next_deadline.into_iter().chain(next_slice).min();
            wake_up_at.map(|at| at - self.clock.now())
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
        if delay > MAX_ITERATION_DELAY {
            log_lines::event_loop_delayed(&self.proxy.borrow().context.log, delay);
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

    /// Reads the clock once for an iteration: all its events and decisions have the same time.
    fn update_time(&self) -> Timestamp {
        let now = self.clock.now();
        self.proxy.borrow_mut().context.now = now;
        now
    }

    fn run_snapshot_slice(&mut self) {
        if let Some(writer) = &mut self.snapshot_writer {
            let now = self.clock.now();
            writer.run_slice(
                &self.proxy.borrow().listed_processes(),
                now,
                &mut self.policy,
            );
        }
    }

    fn write_final_snapshot(&mut self) {
        if let Some(writer) = &mut self.snapshot_writer {
            let now = self.clock.now();
            writer.write_final(
                &self.proxy.borrow().listed_processes(),
                now,
                &mut self.policy,
            );
        }
    }
}

/// Divides the configured memory. A descriptor limit that leaves no descriptors for clients is
/// rejected by [`Proxy::new`].
fn buffer_budget(config: &Config) -> BufferBudget {
    let connections = ConnectionBudget::split(config.descriptor_limit);
    let max_clients = connections.map_or(0, |connections| connections.clients);
    BufferBudget::split(config.memory_mib, max_clients)
}

/// Makes the event loop record SIGTERM and SIGHUP.
fn receive_signals(event_loop: &EventLoop<'static, ReadyEvents>) -> Result<(), EventLoopError> {
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGHUP])
        .map_err(|error| EventLoopError::Signals(Box::new(error)))?;
    let record = |event: Event, (): &mut (), events: &mut ReadyEvents| match event.signal() {
        Signal::SIGHUP => events.reload = true,
        _ => events.stop = true,
    };
    event_loop
        .handle()
        .insert_source(signals, record)
        .map_err(|refused| EventLoopError::Signals(Box::new(refused.error)))?;
    Ok(())
}

/// Runs the proxy until SIGTERM, then completes the pending requests and returns.
///
/// # Errors
///
/// The errors of [`ProxyInstance::new`] and [`ProxyInstance::run_iteration`].
pub fn run(
    config: &Config,
    operators: &OperatorSettings,
    config_path: PathBuf,
    listen: impl FnOnce() -> io::Result<TcpListener>,
    log: Logger,
) -> Result<(), EventLoopError> {
    let mut instance = ProxyInstance::new(config, config_path, listen, log.clone())?;
    instance.enable_snapshots(operators);
    log_lines::serving(&log, config.listen);
    while instance.run_iteration()? == LoopState::Running {}
    instance.write_final_snapshot();
    log_lines::stopped(&log, instance.longest_iteration);
    Ok(())
}
