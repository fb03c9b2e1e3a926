//! Dispatches readiness events and expired deadlines to the components that own them.

use calloop::Readiness;
use tidescale_policy::Balancer;

use super::Proxy;
use crate::context::{Component, EventContext, Owner};
use crate::upstream::{ExchangeContext, Upstream};

impl Proxy {
    /// Records that a socket of the owner became ready.
    pub(super) fn on_ready(&mut self, owner: Owner, readiness: Readiness) {
        match owner.component {
            Component::Listener => self.clients.on_accept_ready(),
            Component::Client => self.clients.on_ready(owner.slot.into(), readiness),
            Component::Endpoint => self.upstream.on_ready(owner.slot.into(), readiness),
            Component::EndpointList => self.discovery.on_ready(owner.slot, readiness),
            Component::RolloutStatus => self.rollout_status.on_ready(owner.slot, readiness),
            Component::Votes => self.votes.on_ready(readiness),
            Component::Policy | Component::Shutdown => {}
        }
    }

    /// Reads from and writes to the sockets of the owner, and notifies the policy.
    pub(super) fn serve(&mut self, owner: Owner, policy: &mut Balancer) {
        if owner.component == Component::Endpoint {
            let key = owner.slot.into();
            return self.with_upstream(policy, |upstream, context| upstream.serve(key, context));
        }
        let mut context = EventContext {
            io: &mut self.context,
            policy,
        };
        match owner.component {
            Component::EndpointList => self.discovery.serve(&mut self.upstream, &mut context),
            Component::RolloutStatus => self.rollout_status.serve(&mut context),
            Component::Votes => self.votes.serve(&mut context),
            Component::Client => self.clients.serve(owner.slot.into(), &mut context),
            Component::Policy | Component::Shutdown | Component::Listener | Component::Endpoint => {
            }
        }
    }

    /// Handles an expired deadline of the owner.
    pub(super) fn on_deadline(&mut self, owner: Owner, policy: &mut Balancer) {
        if owner.component == Component::Endpoint {
            let key = owner.slot.into();
            return self.with_upstream(policy, |upstream, context| {
                upstream.on_deadline(key, context);
            });
        }
        let mut context = EventContext {
            io: &mut self.context,
            policy,
        };
        match owner.component {
            Component::EndpointList => self.discovery.on_deadline(owner.slot, context.io),
            Component::RolloutStatus => self.rollout_status.on_deadline(owner.slot, context.io),
            Component::Votes => self.votes.on_deadline(&mut context),
            Component::Client => self.clients.on_deadline(owner.slot.into(), &mut context),
            // These deadlines only wake the event loop.
            Component::Policy | Component::Shutdown | Component::Listener | Component::Endpoint => {
            }
        }
    }

    /// Closes the connection of the owner, or reopens its stream, after its handler has panicked.
    pub(super) fn reset_after_panic(&mut self, owner: Owner, policy: &mut Balancer) {
        if owner.component == Component::Endpoint {
            let key = owner.slot.into();
            return self.with_upstream(policy, |upstream, context| {
                upstream.close_after_panic(key, context);
            });
        }
        let mut context = EventContext {
            io: &mut self.context,
            policy,
        };
        match owner.component {
            Component::Client => {
                self.clients
                    .close_after_panic(owner.slot.into(), &mut context);
            }
            Component::EndpointList => self.discovery.open(context.io),
            Component::RolloutStatus => self.rollout_status.open(context.io),
            Component::Votes => self.votes.on_deadline(&mut context),
            Component::Policy | Component::Shutdown | Component::Listener | Component::Endpoint => {
            }
        }
    }

    /// Runs a handler of the endpoint connections with the context that it needs.
    fn with_upstream(
        &mut self,
        policy: &mut Balancer,
        handler: impl FnOnce(&mut Upstream, &mut ExchangeContext<'_>),
    ) {
        let mut context = ExchangeContext {
            io: &mut self.context,
            clients: &mut self.clients,
            policy,
        };
        handler(&mut self.upstream, &mut context);
    }
}
