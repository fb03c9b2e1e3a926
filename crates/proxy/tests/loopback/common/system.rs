//! The states of connections and processes as Linux reports them: tests wait for a state in place of a fixed time.

use std::net::{IpAddr, SocketAddr};
use std::thread;
use std::time::{Duration, Instant};

use super::TEST_TIMEOUT;

/// States of a TCP connection, as in `/proc/net/tcp`, in which the far side has not acknowledged an end of ours:
/// established, FIN_WAIT1 and CLOSING.
const FIN_NOT_ACKNOWLEDGED: [&str; 3] = ["01", "04", "0B"];
/// State of a process that was stopped by a signal, as in `/proc/PID/stat`.
const STOPPED: &str = "T";

/// Waits until the end of a closed connection has reached the far side's socket.
pub fn wait_until_fin_acknowledged(local: SocketAddr, remote: SocketAddr) {
    wait_until("the end of a connection does not arrive", || {
        let state = tcp_state(local, remote);
        !state.is_some_and(|state| FIN_NOT_ACKNOWLEDGED.contains(&state.as_str()))
    });
}

/// Waits until a process that was sent SIGSTOP has stopped.
pub fn wait_until_stopped(process: u32) {
    wait_until("the process does not stop", || {
        let status = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
        let (_, after_name) = status.rsplit_once(')').unwrap();
        after_name.split_whitespace().next() == Some(STOPPED)
    });
}

/// Waits until the condition is met; fails with this message.
pub fn wait_until(failure: &str, condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "{failure}");
        thread::sleep(Duration::from_millis(1));
    }
}

/// The state of a connection; none once the system has removed it.
fn tcp_state(local: SocketAddr, remote: SocketAddr) -> Option<String> {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let connection = [local, remote].map(proc_address);
    table.lines().skip(1).find_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let addresses = [fields.next()?, fields.next()?];
        (addresses == connection).then(|| fields.next().map(String::from))?
    })
}

/// An address as in `/proc/net/tcp`.
fn proc_address(address: SocketAddr) -> String {
    let IpAddr::V4(host) = address.ip() else {
        panic!("{address} is no IPv4 address");
    };
    let host = u32::from_ne_bytes(host.octets());
    format!("{host:08X}:{:04X}", address.port())
}
