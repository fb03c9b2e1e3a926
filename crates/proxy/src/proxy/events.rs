//! The event sources that the policy reads from: one for the first iteration, and one for all later
//! iterations.

use std::cell::RefCell;

use tidescale_policy::{Balancer, EventSource};

use super::Proxy;
use crate::config::Config;
use crate::context::ReadyEvents;

/// Delivers the events of one iteration to the policy.
pub(crate) struct IterationEvents<'a> {
    pub(crate) proxy: &'a RefCell<Proxy>,
    pub(crate) events: &'a mut ReadyEvents,
}

impl EventSource for IterationEvents<'_> {
    fn deliver(&mut self, policy: &mut Balancer) {
        self.proxy.borrow_mut().deliver_events(self.events, policy);
    }
}

/// Delivers the contents of the configuration, and then the events of the first iteration.
pub(crate) struct StartEvents<'a> {
    pub(crate) config: &'a Config,
    pub(crate) iteration: IterationEvents<'a>,
}

impl EventSource for StartEvents<'_> {
    fn deliver(&mut self, policy: &mut Balancer) {
        self.iteration.proxy.borrow_mut().start(self.config, policy);
        self.iteration.deliver(policy);
    }
}
