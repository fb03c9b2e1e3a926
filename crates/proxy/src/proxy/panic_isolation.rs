//! Isolation of panics: a panic in a handler closes only the connection that it handled. Panics are
//! caught nowhere else.

use std::panic::{AssertUnwindSafe, catch_unwind};

use tidescale_policy::Balancer;

use super::Proxy;
use crate::context::Owner;
use crate::log_lines;

impl Proxy {
    /// Runs a handler on behalf of an owner. If the handler panics, closes the connection of the
    /// owner or reopens its stream.
    pub(super) fn run_isolated(
        &mut self,
        owner: Owner,
        policy: &mut Balancer,
        handler: impl FnOnce(&mut Proxy, &mut Balancer),
    ) {
        if catch_unwind(AssertUnwindSafe(|| handler(self, policy))).is_ok() {
            return;
        }
        log_lines::handler_panicked(&self.context.log, owner.component);
        let reset = AssertUnwindSafe(|| self.reset_after_panic(owner, policy));
        if catch_unwind(reset).is_err() {
            log_lines::cleanup_panicked(&self.context.log, owner.component);
        }
    }
}
