//! The proxy's parts on sockets, and what one event-loop iteration does with them before the policy decides.
//!
//! Everything is owned by one thread. Within an iteration the endpoint list and the rollout status come before
//! endpoints and clients: they bind what is decided on the rest.

mod decisions;
mod dispatch;
mod events;
mod panic_isolation;

use std::cmp::Reverse;
use std::net::TcpListener;
use std::path::PathBuf;

use slog::info;
use tidescale_policy::Balancer;

pub(crate) use decisions::Decisions;
pub(crate) use events::{IterationEvents, StartEvents};

use crate::clients::{ClientLimits, Clients};
use crate::config::Config;
use crate::connection::{Component, IoContext, Owner, TurnEvents};
use crate::discovery::{Discovery, ListSource};
use crate::event_loop::EventLoopError;
use crate::reload::{self, Reloadable};
use crate::resource_budget::ConnectionBudget;
use crate::rollout_status::RolloutStatusStream;
use crate::shutdown::{Shutdown, ShutdownStep};
use crate::snapshot_writer::EndpointDirectory;
use crate::upstream::Upstream;
use crate::votes::Votes;

/// Wakes the loop when the accept period after SIGTERM is over.
const ACCEPT_PERIOD_TIMER: Owner = Owner::new(Component::Shutdown, 0);
/// Wakes the loop when the process has to end.
const SHUTDOWN_DEADLINE_TIMER: Owner = Owner::new(Component::Shutdown, 1);

/// All connections and the state kept for them.
pub(crate) struct Proxy {
    pub(crate) context: IoContext,
    clients: Clients,
    upstream: Upstream,
    discovery: Discovery,
    rollout_status: RolloutStatusStream,
    votes: Votes,
    shutdown: Shutdown,
    /// Where the configuration is read again at SIGHUP.
    config_path: PathBuf,
}

impl Proxy {
    /// A proxy that accepts clients from `listener`; no control stream is open yet.
    pub(crate) fn new(
        config: &Config,
        config_path: PathBuf,
        listener: TcpListener,
        context: IoContext,
    ) -> Result<Proxy, EventLoopError> {
        let budget = ConnectionBudget::split(config.descriptor_limit).ok_or(
            EventLoopError::TooFewDescriptors {
                limit: config.descriptor_limit,
            },
        )?;
        let settings = &config.settings;
        let list_source = if settings.poll_endpoints {
            ListSource::SharedService
        } else {
            ListSource::LocalAgent
        };
        let clients = Clients::new(
            &context,
            listener,
            settings.routes.clone(),
            ClientLimits {
                connections: budget.clients,
                resting: budget.idle_clients,
            },
        )
        .map_err(EventLoopError::Listener)?;
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

    /// What the snapshot needs to know beside the policy's state.
    pub(crate) fn directory(&self) -> EndpointDirectory<'_> {
        EndpointDirectory {
            upstream: &self.upstream,
            list_version: self.discovery.list_version(),
            list_confirmed_at: self.discovery.list_confirmed_at(),
        }
    }

    /// There is something to do before any socket becomes ready or any deadline is due.
    pub(crate) fn has_pending_work(&self) -> bool {
        self.clients.has_pending_work(&self.context)
            || self.upstream.has_pending_work(&self.context)
            || self.votes.has_pending_work()
    }

    /// Whether the process has to end; called at the end of each iteration.
    pub(crate) fn is_finished(&mut self) -> bool {
        let clients = &self.clients;
        match self.shutdown.step(self.context.now, || clients.is_idle()) {
            ShutdownStep::Continue => false,
            ShutdownStep::AcceptOnceMore => {
                self.clients.on_accept_ready();
                false
            }
            ShutdownStep::Finish => true,
        }
    }

    /// The list and the status that the configuration carries hold until the streams, opened here, deliver newer ones.
    fn start(&mut self, config: &Config, policy: &mut Balancer) {
        self.discovery.apply_known_list(
            &config.known_endpoints,
            &mut self.context,
            &mut self.upstream,
            policy,
        );
        if let Some(status) = &config.rollout_status {
            status.apply(policy);
        }
        self.discovery.open(&mut self.context);
        self.rollout_status.open(&mut self.context);
    }

    /// The steps of an iteration, in this order.
    fn deliver_events(&mut self, events: &mut TurnEvents, policy: &mut Balancer) {
        self.handle_signals(events, policy);
        self.notify_failed_starts(policy);
        let ready = self.note_readiness(events);
        self.serve_control_and_endpoints(ready, policy);
        self.handle_due_deadlines(policy);
        self.clients.accept(&mut self.context, policy);
        self.serve_clients(policy);
    }

    fn handle_signals(&mut self, events: &mut TurnEvents, policy: &mut Balancer) {
        if std::mem::take(&mut events.stop) {
            self.begin_shutdown(policy);
        }
        if std::mem::take(&mut events.reload) {
            let targets = Reloadable {
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
        info!(self.context.log, "stopping"; "open_requests" => self.clients.open_request_count());
        self.clients.begin_shutdown();
        self.upstream
            .begin_shutdown(times.attempt_deadline, &mut self.context);
        policy.begin_shutdown(times.attempt_deadline);
        let deadlines = &mut self.context.deadlines;
        deadlines.set(ACCEPT_PERIOD_TIMER, times.accept_until);
        deadlines.set(SHUTDOWN_DEADLINE_TIMER, times.shutdown_deadline);
    }

    /// Attempts and votes that failed as soon as the last step had decided on them.
    fn notify_failed_starts(&mut self, policy: &mut Balancer) {
        self.upstream
            .notify_ended_attempts(&mut self.clients, policy);
        self.votes.notify_failed_vote(policy);
    }

    /// Notes which sockets have become ready; returns whom to serve for it. Clients note that themselves.
    fn note_readiness(&mut self, events: &mut TurnEvents) -> Vec<Owner> {
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
        // The streams are served in each iteration: an earlier one may have left bytes unread for want of buffers.
        owners.push(Owner::new(Component::EndpointList, 0));
        owners.push(Owner::new(Component::RolloutStatus, 0));
        let pending = self.upstream.take_pending().into_iter();
        owners.extend(pending.map(|slot| Owner::new(Component::Endpoint, slot)));
        // Votes and control streams come first: what they say binds what is decided on the rest.
        owners.sort_unstable_by_key(|owner| Reverse(*owner));
        owners.dedup();
        for owner in owners {
            self.isolate(owner, policy, |proxy, policy| proxy.serve(owner, policy));
        }
    }

    fn handle_due_deadlines(&mut self, policy: &mut Balancer) {
        while let Some(owner) = self.context.deadlines.pop_due(self.context.now) {
            self.isolate(owner, policy, |proxy, policy| {
                proxy.on_deadline(owner, policy);
            });
        }
    }

    fn serve_clients(&mut self, policy: &mut Balancer) {
        for slot in self.clients.take_pending() {
            let owner = Owner::new(Component::Client, slot);
            self.isolate(owner, policy, |proxy, policy| proxy.serve(owner, policy));
        }
    }
}
