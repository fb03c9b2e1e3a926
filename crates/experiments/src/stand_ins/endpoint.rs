//! An endpoint that answers queries after a delay, with errors, or not at all. Its behavior can be
//! changed at run time.

use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::thread;
use std::time::Duration;

use super::message;

/// Delay of the response to a health check.
const HEALTH_CHECK_DELAY: Duration = Duration::from_micros(300);
/// How long an unresponsive endpoint keeps a connection open; longer than any run.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(60);
/// Body of the error response to a failed request.
const ERROR_BODY: &[u8] = b"SERROR\0CXX000\0Mno\0\0";
/// Object id of the type `bytea`, which the only field of a row has.
const BYTEA_TYPE: u32 = 17;

/// Behavior of an endpoint, which can be changed at run time, and the number of its requests.
#[derive(Default)]
pub struct Behavior {
    /// Mean response time in milliseconds.
    pub delay_ms: AtomicU64,
    /// Percentage of the requests that are answered with an error.
    pub errors_percent: AtomicU64,
    /// Whether the endpoint leaves all queries unanswered, including health checks.
    pub unresponsive: AtomicBool,
    /// Number of requests received, not counting health checks.
    pub request_count: AtomicU64,
}

impl Behavior {
    /// Returns the delay of an answer, between 75% and 125% of the mean. Multiplying the number of
    /// the request by 7 modulo 16 spreads consecutive requests over 16 delays.
    fn delay_of(&self, request: u64) -> Duration {
        let mean_micros = self.delay_ms.load(Relaxed) * 1000;
        let jitter = mean_micros / 2 * (request * 7 % 16) / 16;
        Duration::from_micros(mean_micros * 3 / 4 + jitter)
    }

    /// Returns whether a request is answered with an error. Errors are distributed evenly over the
    /// request numbers.
    fn fails(&self, request: u64) -> bool {
        request * 37 % 100 < self.errors_percent.load(Relaxed)
    }
}

/// An endpoint on loopback.
pub struct StandInEndpoint {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Behavior of the endpoint.
    pub behavior: Arc<Behavior>,
}

impl StandInEndpoint {
    /// Starts an endpoint with this mean response time in milliseconds.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot listen.
    pub fn start(delay_ms: u64) -> io::Result<StandInEndpoint> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let behavior = Arc::new(Behavior::default());
        behavior.delay_ms.store(delay_ms, Relaxed);
        let shared = behavior.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let behavior = shared.clone();
                // Connection errors are ignored here; the proxy has to handle them.
                thread::spawn(move || drop(serve(stream, &behavior)));
            }
        });
        Ok(StandInEndpoint { address, behavior })
    }
}

fn serve(mut stream: TcpStream, behavior: &Behavior) -> io::Result<()> {
    stream.set_nodelay(true)?;
    message::read_start_up(&mut stream)?;
    let authentication_ok = message::encode(message::AUTHENTICATION, &[0; 4]);
    stream.write_all(&[authentication_ok, ready_for_query()].concat())?;
    loop {
        let query = message::read(&mut stream)?;
        if query.tag != message::QUERY {
            return Ok(());
        }
        let is_health_check = query.body.starts_with(b"SELECT 1");
        let number = if is_health_check {
            0
        } else {
            behavior.request_count.fetch_add(1, Relaxed)
        };
        if behavior.unresponsive.load(Relaxed) {
            thread::sleep(UNRESPONSIVE_TIME);
            return Ok(());
        }
        thread::sleep(if is_health_check {
            HEALTH_CHECK_DELAY
        } else {
            behavior.delay_of(number)
        });
        let answer = if !is_health_check && behavior.fails(number) {
            message::encode(message::ERROR_RESPONSE, ERROR_BODY)
        } else {
            single_row_result()
        };
        stream.write_all(&[answer, ready_for_query()].concat())?;
    }
}

fn ready_for_query() -> Vec<u8> {
    message::encode(message::READY_FOR_QUERY, b"I")
}

/// Encodes the result of a query: one row with one field.
fn single_row_result() -> Vec<u8> {
    let field = [
        &b"data\0"[..],
        &[0; 6],
        &BYTEA_TYPE.to_be_bytes(),
        &[0xff; 6],
        &[0, 1],
    ]
    .concat();
    [
        message::encode(message::ROW_DESCRIPTION, &[&[0, 1][..], &field].concat()),
        message::encode(message::DATA_ROW, &[0, 1, 0, 0, 0, 1, 5]),
        message::encode(message::COMMAND_COMPLETE, b"SELECT 1\0"),
    ]
    .concat()
}
