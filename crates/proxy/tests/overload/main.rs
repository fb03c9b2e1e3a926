//! The proxy while many clients, or clients that send without pause, overload it. These tests need
//! much processor time, so they run one at a time and apart from the loopback tests.

#[allow(
    dead_code,
    unused_imports,
    reason = "most helpers are for the loopback tests"
)]
#[path = "../common/mod.rs"]
mod common;

mod flood;
mod large_statements;
mod memory;
mod message_floods;
mod slow_peers;
mod slow_writers;
mod steady_clients;

use std::sync::{Mutex, MutexGuard, PoisonError};

static RUNNING_TEST: Mutex<()> = Mutex::new(());

/// Waits for the other tests of this program to end. They start after the returned guard is
/// dropped.
fn run_alone() -> MutexGuard<'static, ()> {
    RUNNING_TEST.lock().unwrap_or_else(PoisonError::into_inner)
}
