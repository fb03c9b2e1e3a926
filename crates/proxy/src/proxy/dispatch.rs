//! Hands readiness, turns and deadlines to the component that owns them.

use calloop::Readiness;
use tidescale_policy::Balancer;

use super::Proxy;
use crate::connection::{Component, Owner};

impl Proxy {
    /// A socket of the owner's has become ready.
    pub(super) fn on_ready(&mut self, owner: Owner, readiness: Readiness) {
        match owner.component {
            Component::Listener => self.clients.on_accept_ready(),
            Component::Client => self.clients.on_ready(owner.slot, readiness),
            Component::Endpoint => self.upstream.on_ready(owner.slot, readiness),
            Component::EndpointList => self.discovery.on_ready(owner.slot, readiness),
            Component::RolloutStatus => self.rollout_status.on_ready(owner.slot, readiness),
            Component::Votes => self.votes.on_ready(readiness),
            Component::Policy | Component::Shutdown => {}
        }
    }

    /// Reads and writes what the owner's sockets take, and notifies the policy.
    pub(super) fn serve(&mut self, owner: Owner, policy: &mut Balancer) {
        let context = &mut self.context;
        match owner.component {
            Component::Endpoint => {
                self.upstream
                    .serve(owner.slot, context, &mut self.clients, policy);
            }
            Component::EndpointList => self.discovery.serve(context, &mut self.upstream, policy),
            Component::RolloutStatus => self.rollout_status.serve(context, policy),
            Component::Votes => self.votes.serve(context, policy),
            Component::Client => self.clients.serve(owner.slot, context, policy),
            Component::Policy | Component::Shutdown | Component::Listener => {}
        }
    }

    /// The owner's deadline is due.
    pub(super) fn on_deadline(&mut self, owner: Owner, policy: &mut Balancer) {
        let context = &mut self.context;
        match owner.component {
            Component::Endpoint => {
                self.upstream
                    .on_deadline(owner.slot, context, &mut self.clients, policy);
            }
            Component::EndpointList => self.discovery.on_deadline(owner.slot, context),
            Component::RolloutStatus => self.rollout_status.on_deadline(owner.slot, context),
            Component::Votes => self.votes.on_deadline(context, policy),
            Component::Client => self.clients.on_deadline(owner.slot, context, policy),
            // These only have the iteration run.
            Component::Policy | Component::Shutdown | Component::Listener => {}
        }
    }

    /// Closes the owner's connection, or opens its stream again, after its handling has panicked.
    pub(super) fn reset_after_panic(&mut self, owner: Owner, policy: &mut Balancer) {
        let context = &mut self.context;
        match owner.component {
            Component::Client => self.clients.close_after_panic(owner.slot, context, policy),
            Component::Endpoint => {
                self.upstream
                    .close_after_panic(owner.slot, context, &mut self.clients, policy);
            }
            Component::EndpointList => self.discovery.open(context),
            Component::RolloutStatus => self.rollout_status.open(context),
            Component::Votes => self.votes.on_deadline(context, policy),
            Component::Policy | Component::Shutdown | Component::Listener => {}
        }
    }
}
