//! Many clients that write slowly or stop within a message: the memory of the process, and the
//! requests of other clients.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::common::*;
use crate::memory::{MEMORY_LIMIT_MB, assert_below_memory_limit, highest_memory_kib};
use crate::run_alone;
use crate::steady_clients::{SteadyClients, assert_served_in_time, print_summary, small_query};

const SLOW_CLIENTS: usize = 300;
const DISTURBANCE: Duration = Duration::from_secs(4);
/// How many bytes a client writes at a time, and how long it pauses after that.
const PART_BYTES: usize = 4096;
const PAUSE: Duration = Duration::from_millis(50);
const FIRST_STEADY_ID: u32 = 1 << 24;

/// Writes the bytes in parts until all are written, the connection ends or the test stops.
fn write_slowly(stream: &mut TcpStream, bytes: &[u8], is_stopped: &AtomicBool) {
    for part in bytes.chunks(PART_BYTES) {
        if is_stopped.load(Ordering::Relaxed) || stream.write_all(part).is_err() {
            return;
        }
        thread::sleep(PAUSE);
    }
}

/// Starts clients that each write these bytes slowly, again and again on new connections.
fn start_slow_clients(
    address: SocketAddr,
    bytes: &[u8],
    is_stopped: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let start = |_| {
        let (bytes, is_stopped) = (bytes.to_vec(), is_stopped.clone());
        thread::spawn(move || {
            while !is_stopped.load(Ordering::Relaxed) {
                let mut client = Client::connect(address);
                write_slowly(&mut client.stream, &bytes, &is_stopped);
                // Waits for the error or the close that the proxy owes to the client.
                while !client.response().ends_connection() {}
            }
        })
    };
    (0..SLOW_CLIENTS).map(start).collect()
}

/// A statement with the largest value, without its last bytes.
fn incomplete_write() -> Vec<u8> {
    let mut message = statement(&format!(
        "INSERT INTO facts (code, data) VALUES ('7f3a', '\\x{}') \
         RETURNING data /* id=1,c=look,d=900 */",
        "ab".repeat(65_536)
    ));
    message.truncate(message.len() - 40);
    message
}

/// A startup message with very many short parameters, which is longer than allowed.
fn startup_with_many_parameters() -> Vec<u8> {
    let parameters = b"a\0b\0".repeat(8000);
    let length = 8 + parameters.len() as u32;
    let version = tidescale_proxy::postgres::framing::PROTOCOL_VERSION;
    [
        &length.to_be_bytes()[..],
        &version.to_be_bytes(),
        &parameters,
    ]
    .concat()
}

fn assert_slow_clients_do_not_disturb(bytes: &[u8]) {
    let endpoint = TestEndpoint::responsive();
    for descriptor_limit in [256, 1024] {
        let config = ProxyConfig::new()
            .endpoint(endpoint.address)
            .long_deadline()
            .memory_mb(MEMORY_LIMIT_MB)
            .sockets(descriptor_limit);
        let mut proxy = start_proxy(&config);
        let steady = SteadyClients::start(proxy.address, FIRST_STEADY_ID, small_query);
        let is_stopped = Arc::new(AtomicBool::new(false));
        let threads = start_slow_clients(proxy.address, bytes, &is_stopped);

        let highest = highest_memory_kib(&mut proxy, DISTURBANCE);

        is_stopped.store(true, Ordering::Relaxed);
        let responses = steady.finish();
        for thread in threads {
            thread.join().unwrap();
        }
        println!("{descriptor_limit} descriptors: highest private memory {highest} KiB");
        print_summary(&responses);
        assert_below_memory_limit(highest);
        assert_served_in_time(&responses);
    }
}

/// Guards against memory and buffers that clients use up by writing slowly and stopping within a
/// large request.
#[test]
fn large_requests_written_slowly_and_not_completed_do_not_disturb_other_clients() {
    let _alone = run_alone();
    assert_slow_clients_do_not_disturb(&[startup(), incomplete_write()].concat());
}

/// Guards against the same with startup messages of very many short parameters.
#[test]
fn startup_messages_with_many_parameters_do_not_disturb_other_clients() {
    let _alone = run_alone();
    assert_slow_clients_do_not_disturb(&startup_with_many_parameters());
}
