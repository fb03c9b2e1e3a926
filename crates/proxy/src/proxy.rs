//! All components that own sockets, and the order in which they handle the events of an event-loop
//! iteration.
//!
//! One thread owns all state. Within an iteration, the endpoint list and the rollout status are
//! handled before endpoints and clients, because the decisions about the latter depend on them.

mod decisions;
mod dispatch;
mod events;
mod panic_isolation;

use std::cmp::Reverse;
use std::io;
use std::net::TcpListener;
use std::path::PathBuf;

use thiserror::Error;
use tidescale_policy::Balancer;

pub(crate) use decisions::Decisions;
pub(crate) use events::{IterationEvents, StartEvents};

use crate::clients::{ClientLimits, Clients};
use crate::config::Config;
use crate::context::{Component, EventContext, IoContext, Owner, ReadyEvents};
use crate::discovery::{Discovery, ListSource};
use crate::ids::SlotKey;
use crate::log_lines;
use crate::reload::{self, ReloadTargets};
use crate::resource_budget::ConnectionBudget;
use crate::rollout_status::RolloutStatusStream;
use crate::shutdown::{Shutdown, ShutdownStep};
use crate::snapshot_writer::ListedProcesses;
use crate::upstream::Upstream;
use crate::votes::Votes;

/// Owner of the deadline at the end of the accept period after SIGTERM.
const ACCEPT_PERIOD_TIMER: Owner = Owner::new(Component::Shutdown, SlotKey::new(0));
/// Owner of the deadline at which the process has to exit.
const SHUTDOWN_DEADLINE_TIMER: Owner = Owner::new(Component::Shutdown, SlotKey::new(1));

/// Why the components cannot be set up.
#[derive(Debug, Error)]
pub enum ProxyError {
    /// The listening socket cannot be set up.
    #[error("cannot set up the listening socket: {0}")]
    Listener(#[source] io::Error),
    /// The configured limit leaves no descriptors for clients or endpoints.
    #[error("limits.sockets: {limit} leaves no descriptors for clients or endpoints")]
    TooFewDescriptors {
        /// The configured maximum number of file descriptors.
        limit: usize,
    },
}

/// All components, with their connections and state.
pub(crate) struct Proxy {
    pub(crate) context: IoContext,
    clients: Clients,
    upstream: Upstream,
    discovery: Discovery,
    rollout_status: RolloutStatusStream,
    votes: Votes,
    shutdown: Shutdown,
    /// The configuration file, which is read again on SIGHUP.
    config_path: PathBuf,
}

impl Proxy {
    /// Creates a proxy that accepts clients from `listener`. The streams of the endpoint list and
    /// the rollout status are opened by [`Proxy::start`].
    pub(crate) fn new(
        config: &Config,
        config_path: PathBuf,
        listener: TcpListener,
        context: IoContext,
    ) -> Result<Proxy, ProxyError> {
        let budget = ConnectionBudget::split(config.descriptor_limit).ok_or(
            ProxyError::TooFewDescriptors {
                limit: config.descriptor_limit,
            },
        )?;
        let settings = &config.settings;
        let list_source = if settings.poll_endpoints {
            ListSource::SharedService
        } else {
            ListSource::LocalAgent
        };
        let limits = ClientLimits {
            connections: budget.clients,
            idle: budget.idle_clients,
        };
        let clients = Clients::new(&context, listener, settings.routes.clone(), limits)
            .map_err(ProxyError::Listener)?;
        Ok(Proxy {
            upstream: Upstream::new(config.connections.clone(), budget.endpoints),
            discovery: Discovery::new(config.discovery, list_source, config.seed),
            rollout_status: RolloutStatusStream::new(config.platform, config.seed),
            votes: Votes::new(config.platform, settings.vote_timeout),
            shutdown: Shutdown::new(config.connections.longest_deadline),
            config_path,
            clients,
            context,
        })
    }

    /// Returns the endpoint list and the processes in it, which snapshots store besides the
    /// policy's state.
    pub(crate) fn listed_processes(&self) -> ListedProcesses<'_> {
        ListedProcesses {
            upstream: &self.upstream,
            list_version: self.discovery.list_version(),
            list_confirmed_at: self.discovery.list_confirmed_at(),
        }
    }

    /// Whether there is work to do without waiting for a socket or a deadline.
    pub(crate) fn has_pending_work(&self) -> bool {
        self.clients.has_pending_work(&self.context)
            || self.upstream.has_pending_work(&self.context)
            || self.votes.has_pending_work()
    }

    /// Whether the process has to exit. Called at the end of each iteration.
    pub(crate) fn is_finished(&mut self) -> bool {
        let clients = &self.clients;
        match self
            .shutdown
            .step(self.context.now, || clients.has_finished_all_work())
        {
            ShutdownStep::Continue => false,
            ShutdownStep::AcceptOnceMore => {
                self.clients.on_accept_ready();
                false
            }
            ShutdownStep::Finish => true,
        }
    }

    /// Applies the endpoint list and the rollout status from the configuration, and opens the
    /// streams that deliver newer ones.
    fn start(&mut self, config: &Config, policy: &mut Balancer) {
        let mut context = EventContext {
            io: &mut self.context,
            policy,
        };
        self.discovery.apply_configured_list(
            &config.known_endpoints,
            &mut self.upstream,
            &mut context,
        );
        if let Some(status) = &config.rollout_status {
            status.apply(context.policy);
        }
        self.discovery.open(context.io);
        self.rollout_status.open(context.io);
    }

    /// Handles the events of an iteration. The order matters; see the module documentation.
    fn deliver_events(&mut self, events: &mut ReadyEvents, policy: &mut Balancer) {
        self.handle_signals(events, policy);
        self.notify_failed_starts(policy);
        let ready = self.record_readiness(events);
        self.serve_control_and_endpoints(ready, policy);
        self.handle_expired_deadlines(policy);
        self.clients.remove_expired(self.context.now);
        self.accept_clients(policy);
        self.serve_clients(policy);
    }

    fn handle_signals(&mut self, events: &mut ReadyEvents, policy: &mut Balancer) {
        if std::mem::take(&mut events.stop) {
            self.begin_shutdown(policy);
        }
        if std::mem::take(&mut events.reload) {
            let targets = ReloadTargets {
                discovery: &mut self.discovery,
                rollout_status: &mut self.rollout_status,
                votes: &mut self.votes,
            };
            reload::reload(&self.config_path, targets, &mut self.context);
        }
    }

    fn begin_shutdown(&mut self, policy: &mut Balancer) {
        let Some(times) = self.shutdown.begin(self.context.now) else {
            return;
        };
        log_lines::stopping(&self.context.log, self.clients.pending_request_count());
        self.clients.begin_shutdown();
        self.upstream
            .begin_shutdown(times.attempt_deadline, &mut self.context);
        policy.begin_shutdown(times.attempt_deadline);
        let deadlines = &mut self.context.deadlines;
        deadlines.set(ACCEPT_PERIOD_TIMER, times.accept_until);
        deadlines.set(SHUTDOWN_DEADLINE_TIMER, times.shutdown_deadline);
    }

    /// Notifies the policy of attempts and votes that failed while the decisions of the previous
    /// iteration were carried out.
    fn notify_failed_starts(&mut self, policy: &mut Balancer) {
        self.upstream
            .notify_ended_exchanges(&mut self.clients, policy);
        self.votes.notify_failed_vote(policy);
    }

    /// Records which sockets became ready. Returns the owners of the endpoint and vote connections
    /// among them; ready clients are recorded in [`Clients`] instead.
    fn record_readiness(&mut self, events: &mut ReadyEvents) -> Vec<Owner> {
        let mut ready: Vec<Owner> = Vec::new();
        for (owner, readiness) in events.sockets.drain(..) {
            self.on_ready(owner, readiness);
            if matches!(owner.component, Component::Endpoint | Component::Votes) {
                ready.push(owner);
            }
        }
        ready
    }

    fn serve_control_and_endpoints(&mut self, ready: Vec<Owner>, policy: &mut Balancer) {
        let mut owners = ready;
        // Control streams are read in each iteration, because the previous one may have left bytes
        // unread when their buffer pool was exhausted.
        owners.push(Owner::only(Component::EndpointList));
        owners.push(Owner::only(Component::RolloutStatus));
        owners.extend(
            self.upstream
                .take_scheduled()
                .into_iter()
                .map(Owner::endpoint),
        );
        // Votes and control streams come first: how the policy handles the endpoints depends on
        // what they deliver.
        owners.sort_unstable_by_key(|owner| Reverse(*owner));
        owners.dedup();
        for owner in owners {
            self.run_isolated(owner, policy, |proxy, policy| proxy.serve(owner, policy));
        }
    }

    fn handle_expired_deadlines(&mut self, policy: &mut Balancer) {
        while let Some(owner) = self.context.deadlines.pop_due(self.context.now) {
            self.run_isolated(owner, policy, |proxy, policy| {
                proxy.on_deadline(owner, policy);
            });
        }
    }

    fn accept_clients(&mut self, policy: &mut Balancer) {
        let mut context = EventContext {
            io: &mut self.context,
            policy,
        };
        self.clients.accept(&mut context);
    }

    /// Serves clients until the iteration has read enough. The others are served in the next one.
    fn serve_clients(&mut self, policy: &mut Balancer) {
        let mut keys = self.clients.take_scheduled().into_iter();
        while self.clients.may_read_more()
            && let Some(key) = keys.next()
        {
            let owner = Owner::client(key);
            self.run_isolated(owner, policy, |proxy, policy| proxy.serve(owner, policy));
        }
        self.clients.postpone(keys);
    }
}
