//! Clients that send requests at a steady rate while a test disturbs the proxy.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::common::*;

/// Number of clients; each has one connection.
const CLIENTS: u32 = 30;
/// The interval between the requests of one client; all of them send 60 requests a second.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// How long the clients wait for their responses, by the number of the request.
const TIME_LIMITS_MS: [u64; 4] = [800, 1500, 3000, 8000];
/// How long after its time limit a response still counts.
const RESPONSE_SLACK: Duration = Duration::from_millis(500);

/// The response to one request of a steady client.
#[derive(Clone, Debug)]
pub struct TimedResponse {
    pub response: Response,
    pub sent_at: Instant,
    /// From the request to the end of its response.
    pub latency: Duration,
    pub time_limit: Duration,
}

impl TimedResponse {
    /// Whether the response came so late that the request counts as lost.
    pub fn is_late(&self) -> bool {
        self.latency > self.time_limit + RESPONSE_SLACK
    }
}

/// Builds the query with a request id and a time limit in milliseconds.
pub type MakeQuery = fn(u32, u64) -> Vec<u8>;

/// A query of usual size.
pub fn small_query(id: u32, time_limit_ms: u64) -> Vec<u8> {
    query("look", id, time_limit_ms)
}

/// Runs until [`finish`](SteadyClients::finish).
pub struct SteadyClients {
    is_stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<TimedResponse>>>,
}

impl SteadyClients {
    /// Starts the clients. Their request ids start at `first_id`.
    pub fn start(address: SocketAddr, first_id: u32, make_query: MakeQuery) -> SteadyClients {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let next_id = Arc::new(AtomicU32::new(first_id));
        let threads = (0..CLIENTS)
            .map(|index| {
                let (is_stopped, next_id) = (is_stopped.clone(), next_id.clone());
                thread::spawn(move || {
                    thread::sleep(REQUEST_INTERVAL * index / CLIENTS);
                    run_client(address, &is_stopped, &next_id, make_query)
                })
            })
            .collect();
        SteadyClients {
            is_stopped,
            threads,
        }
    }

    /// Stops sending, waits for the last responses and returns all of them.
    pub fn finish(self) -> Vec<TimedResponse> {
        self.is_stopped.store(true, Ordering::Relaxed);
        let joined = self.threads.into_iter().map(JoinHandle::join);
        joined.flat_map(Result::unwrap).collect()
    }
}

/// Prints how many requests were served, how many responses were late, and the highest latency.
pub fn print_summary(responses: &[TimedResponse]) {
    let served = responses.iter().filter(|timed| timed.response.is_row());
    let late = responses.iter().filter(|timed| timed.is_late());
    println!(
        "{} of {} requests served, {} responses late, slowest {:?}",
        served.count(),
        responses.len(),
        late.count(),
        responses.iter().map(|timed| timed.latency).max(),
    );
}

/// Checks that each response arrived in time and is a row, or an error after which the client may
/// retry its request.
pub fn assert_answered_in_time(responses: &[TimedResponse]) {
    let late = responses.iter().find(|timed| timed.is_late());
    assert!(late.is_none(), "{late:?}");
    let rejection = Response::error(OVERLOADED);
    let is_allowed =
        |timed: &&TimedResponse| timed.response.is_row() || timed.response == rejection;
    let other = responses.iter().find(|timed| !is_allowed(timed));
    assert!(other.is_none(), "{other:?}");
}

/// Checks that each response arrived in time and is a row.
pub fn assert_served_in_time(responses: &[TimedResponse]) {
    assert_answered_in_time(responses);
    let rejected = responses.iter().find(|timed| !timed.response.is_row());
    assert!(rejected.is_none(), "{rejected:?}");
}

fn run_client(
    address: SocketAddr,
    is_stopped: &AtomicBool,
    next_id: &AtomicU32,
    make_query: MakeQuery,
) -> Vec<TimedResponse> {
    let mut client = None;
    let mut responses = Vec::new();
    let mut next_at = Instant::now();
    while !is_stopped.load(Ordering::Relaxed) {
        let id = next_id.fetch_add(1, Ordering::Relaxed);
        let time_limit_ms = TIME_LIMITS_MS[id as usize % TIME_LIMITS_MS.len()];
        let sent_at = Instant::now();
        let response = request(address, &mut client, &make_query(id, time_limit_ms));
        responses.push(TimedResponse {
            response,
            sent_at,
            latency: sent_at.elapsed(),
            time_limit: Duration::from_millis(time_limit_ms),
        });
        next_at += REQUEST_INTERVAL;
        thread::sleep(next_at.saturating_duration_since(Instant::now()));
    }
    responses
}

/// Sends a request. As the proxy may close a connection between requests, a request whose
/// connection ends without a response is sent once more on a new one.
fn request(address: SocketAddr, client: &mut Option<Client>, message: &[u8]) -> Response {
    if let Some(open) = client {
        let response = request_on(open, message);
        if !response.ends_connection() {
            return response;
        }
    }
    let mut opened = Client::connect(address);
    opened
        .stream
        .set_read_timeout(Some(2 * TEST_TIMEOUT))
        .unwrap();
    opened.send_with_startup(message);
    let response = match opened.response() {
        Response::SessionOpened => opened.response(),
        other => other,
    };
    *client = Some(opened).filter(|_| !response.ends_connection());
    response
}

fn request_on(client: &mut Client, message: &[u8]) -> Response {
    match client.stream.write_all(message) {
        Ok(()) => client.response(),
        Err(_) => Response::Closed,
    }
}
