//! The one place where panics are caught: a panic ends the connection that it came from, and nothing else.

use std::panic::{AssertUnwindSafe, catch_unwind};

use slog::error;
use tidescale_policy::Balancer;

use super::Proxy;
use crate::connection::Owner;

impl Proxy {
    /// Runs a job on behalf of an owner; if it panics, the owner's connection is closed.
    pub(super) fn isolate(
        &mut self,
        owner: Owner,
        policy: &mut Balancer,
        job: impl FnOnce(&mut Proxy, &mut Balancer),
    ) {
        if catch_unwind(AssertUnwindSafe(|| job(self, policy))).is_ok() {
            return;
        }
        error!(self.context.log, "panic while serving a connection"; "part" => ?owner.component);
        let reset = AssertUnwindSafe(|| self.reset_after_panic(owner, policy));
        if catch_unwind(reset).is_err() {
            error!(self.context.log, "panic while closing a connection"; "part" => ?owner.component);
        }
    }
}
