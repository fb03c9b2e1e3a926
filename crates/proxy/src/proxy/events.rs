//! The policy's event sources: the first iteration's and every later one's.

use std::cell::RefCell;

use tidescale_policy::{Balancer, EventSource};

use super::Proxy;
use crate::config::Config;
use crate::connection::TurnEvents;

/// What the loop found ready in an iteration.
pub(crate) struct IterationEvents<'a> {
    pub(crate) proxy: &'a RefCell<Proxy>,
    pub(crate) events: &'a mut TurnEvents,
}

impl EventSource for IterationEvents<'_> {
    fn deliver(&mut self, policy: &mut Balancer) {
        self.proxy.borrow_mut().deliver_events(self.events, policy);
    }
}

/// The first iteration's: what the configuration carries, then as in any other.
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
