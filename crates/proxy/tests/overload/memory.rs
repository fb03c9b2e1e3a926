//! The private memory of the proxy while a test disturbs it.

use std::thread;
use std::time::Duration;

use crate::common::*;

/// The memory limit of the proxies under test, the lowest of all deployments.
pub const MEMORY_LIMIT_MB: usize = 32;
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Observes a proxy for `duration` and returns its highest private memory in KiB. Panics if the
/// proxy exits.
pub fn highest_memory_kib(proxy: &mut RunningProxy, duration: Duration) -> usize {
    let checks = duration.as_millis() / CHECK_INTERVAL.as_millis();
    let memory = (0..checks).map(|_| {
        thread::sleep(CHECK_INTERVAL);
        assert_eq!(proxy.child.try_wait().unwrap(), None, "the proxy exited");
        private_memory_kib(proxy.child.id())
    });
    memory.max().unwrap()
}

/// Checks that this memory in KiB is below the limit.
pub fn assert_below_memory_limit(memory_kib: usize) {
    assert!(memory_kib < MEMORY_LIMIT_MB * 1024, "{memory_kib} KiB");
}
