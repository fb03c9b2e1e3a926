//! Large statements from many clients: the memory of the process, and the requests of others.

use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;
use crate::flood::{FloodingClients, QueryTemplate, TEMPLATE_ID};
use crate::memory::{MEMORY_LIMIT_MB, assert_below_memory_limit, highest_memory_kib};
use crate::run_alone;
use crate::steady_clients::{
    SteadyClients, TimedResponse, assert_answered_in_time, assert_served_in_time, print_summary,
    small_query,
};

const DESCRIPTOR_LIMIT: usize = 1024;
const ENDPOINTS: usize = 4;
/// Clients may use a third of the descriptors for requests.
const WRITING_CLIENTS: usize = DESCRIPTOR_LIMIT / 3;
/// How long the disturbance of a test lasts.
const DISTURBANCE: Duration = Duration::from_secs(8);
/// How long after the disturbance all requests have to be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(2);
const OBSERVATION_AFTER_RECOVERY: Duration = Duration::from_secs(1);
/// Request ids of the steady clients; those of the others start at 0.
const FIRST_STEADY_ID: u32 = 1 << 24;

fn config(endpoints: &[TestEndpoint]) -> ProxyConfig {
    let config = ProxyConfig::new()
        .long_deadline()
        .memory_mb(MEMORY_LIMIT_MB)
        .sockets(DESCRIPTOR_LIMIT);
    endpoints
        .iter()
        .fold(config, |config, endpoint| config.endpoint(endpoint.address))
}

/// What was observed while clients sent large statements.
struct Observations {
    /// The highest private memory of the proxy in KiB.
    highest_memory_kib: usize,
    /// When the last of these clients had its last response.
    disturbance_ended_at: Instant,
    /// The responses to the steady clients, during the disturbance and for some time after it.
    responses: Vec<TimedResponse>,
}

impl Observations {
    /// The responses to the requests that were sent after the time for recovery.
    fn responses_after_recovery(&self) -> Vec<TimedResponse> {
        let recovered_at = self.disturbance_ended_at + RECOVERY_TIME;
        let later = |timed: &&TimedResponse| timed.sent_at >= recovered_at;
        self.responses.iter().filter(later).cloned().collect()
    }
}

/// Runs steady clients beside `count` clients that send large statements, and for some time after
/// these have ended.
fn disturb(proxy: &mut RunningProxy, count: usize, query: &QueryTemplate) -> Observations {
    let steady = SteadyClients::start(proxy.address, FIRST_STEADY_ID, small_query);
    let flood = FloodingClients::start(proxy.address, count, query);
    let highest_memory_kib = highest_memory_kib(proxy, DISTURBANCE);
    flood.finish();
    let disturbance_ended_at = Instant::now();
    thread::sleep(RECOVERY_TIME + OBSERVATION_AFTER_RECOVERY);
    let responses = steady.finish();
    println!("highest private memory: {highest_memory_kib} KiB");
    print_summary(&responses);
    Observations {
        highest_memory_kib,
        disturbance_ended_at,
        responses,
    }
}

/// A write of 64 KiB, the largest value.
fn write_of_largest_value() -> QueryTemplate {
    QueryTemplate::new(&format!(
        "INSERT INTO facts (code, data) VALUES ('7f3a', '\\x{}') \
         RETURNING data /* id={TEMPLATE_ID},c=look,d=1200 */",
        "ab".repeat(65_536)
    ))
}

/// A valid read whose comment has 12,000 short fields, about 120 KB.
fn read_with_many_fields() -> QueryTemplate {
    let fields = "f=1234567,".repeat(12_000);
    QueryTemplate::new(&format!(
        "SELECT data FROM facts WHERE code = '7f3a' /* {fields}id={TEMPLATE_ID},c=look,d=1200 */"
    ))
}

/// Guards against memory without a bound: statements of open requests took buffers beyond the
/// capacity of their pool, and the process exceeded its memory limit.
#[test]
fn large_writes_beyond_the_memory_limit_are_rejected_and_others_served_afterwards() {
    let _alone = run_alone();
    let endpoints: Vec<TestEndpoint> = (0..ENDPOINTS)
        .map(|_| {
            TestEndpoint::start_for_queries(|_, text| {
                if text.starts_with("INSERT") {
                    thread::sleep(Duration::from_millis(100));
                }
                EndpointAction::row()
            })
        })
        .collect();
    let mut proxy = start_proxy(&config(&endpoints));

    let observed = disturb(&mut proxy, WRITING_CLIENTS, &write_of_largest_value());

    assert_below_memory_limit(observed.highest_memory_kib);
    assert_answered_in_time(&observed.responses);
    assert_served_in_time(&observed.responses_after_recovery());
}

/// Guards against requests that wait behind large ones: statements with very many short fields used
/// up the buffers that the responses of endpoints need.
#[test]
fn statements_with_many_fields_do_not_keep_other_requests_from_being_served() {
    let _alone = run_alone();
    let endpoints: Vec<TestEndpoint> = (0..ENDPOINTS).map(|_| TestEndpoint::responsive()).collect();
    let mut proxy = start_proxy(&config(&endpoints));

    let observed = disturb(&mut proxy, 300, &read_with_many_fields());

    assert_below_memory_limit(observed.highest_memory_kib);
    assert_served_in_time(&observed.responses);
}
