//! The states of connections and processes in `/proc`. Tests wait for a state instead of a fixed
//! time.

use std::net::{IpAddr, SocketAddr};
use std::thread;
use std::time::{Duration, Instant};

use super::TEST_TIMEOUT;

/// States of a TCP connection in `/proc/net/tcp` in which the peer has not acknowledged our FIN:
/// ESTABLISHED, `FIN_WAIT1` and CLOSING.
const FIN_NOT_ACKNOWLEDGED: [&str; 3] = ["01", "04", "0B"];
/// State in `/proc/PID/stat` of a process that was stopped by a signal.
const STOPPED: &str = "T";

/// Waits until the peer has acknowledged the FIN of a closed connection.
pub fn wait_until_fin_acknowledged(local: SocketAddr, remote: SocketAddr) {
    wait_until("the FIN of a closed connection is not acknowledged", || {
        let state = tcp_state(local, remote);
        !state.is_some_and(|state| FIN_NOT_ACKNOWLEDGED.contains(&state.as_str()))
    });
}

/// Waits until a process that was sent SIGSTOP has stopped.
pub fn wait_until_stopped(process_id: u32) {
    wait_until("the process does not stop", || {
        let status = std::fs::read_to_string(format!("/proc/{process_id}/stat")).unwrap();
        let (_, after_name) = status.rsplit_once(')').unwrap();
        after_name.split_whitespace().next() == Some(STOPPED)
    });
}

/// The private memory of a process in KiB, without the pages of its program file. Panics if the
/// process has exited.
pub fn private_memory_kib(process_id: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).unwrap();
    let value = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"))
        .unwrap();
    value.split_whitespace().next().unwrap().parse().unwrap()
}

/// Waits until the condition is met. Panics with this message if it is not met in time.
pub fn wait_until(failure: &str, condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "{failure}");
        thread::sleep(Duration::from_millis(1));
    }
}

/// The state of a connection, or `None` once the system has removed it.
fn tcp_state(local: SocketAddr, remote: SocketAddr) -> Option<String> {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let connection = [local, remote].map(proc_address);
    table.lines().skip(1).find_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let addresses = [fields.next()?, fields.next()?];
        (addresses == connection).then(|| fields.next().map(String::from))?
    })
}

/// An address in the format of `/proc/net/tcp`.
fn proc_address(address: SocketAddr) -> String {
    let IpAddr::V4(host) = address.ip() else {
        panic!("{address} is not an IPv4 address");
    };
    let host = u32::from_ne_bytes(host.octets());
    format!("{host:08X}:{:04X}", address.port())
}
