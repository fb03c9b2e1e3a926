//! A client that sends a request every so often and notes when its answer came.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

use super::message;

/// A connection is given up if it is not there within this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// An answer is given up after this time: longer than the deadline that the requests name.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// Parameters of the start-up message.
const START_UP_PARAMETERS: &[u8] = b"user\0portal\0database\0crm\0\0";

/// One request and its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientAnswer {
    /// When the request was sent.
    pub sent_at: Instant,
    /// How long its answer took; none where it had none, or an error.
    pub answered_after: Option<Duration>,
}

/// A client of a proxy instance.
pub struct Client {
    /// Where the instance listens.
    pub proxy: SocketAddr,
    /// Tells the requests of this client apart from those of others.
    pub number: u64,
    /// Time between two requests.
    pub interval: Duration,
}

/// How an exchange on a connection ended that did not end in an answer.
struct BrokenExchange {
    error: io::Error,
    /// The statement's outcome had come by then.
    outcome_known: bool,
}

impl Client {
    /// Sends requests until `stop` is set.
    pub fn run(&self, stop: &Arc<AtomicBool>) -> Vec<ClientAnswer> {
        let mut answers = Vec::new();
        let mut connection = None;
        let mut next_at = Instant::now();
        let mut requests = 0u64;
        while !stop.load(Relaxed) {
            thread::sleep(next_at.saturating_duration_since(Instant::now()));
            next_at = (next_at + self.interval).max(Instant::now());
            let sent_at = Instant::now();
            requests += 1;
            let request = self.number << 32 | requests;
            let succeeded = self.send(&mut connection, request).unwrap_or(false);
            answers.push(ClientAnswer {
                sent_at,
                answered_after: succeeded.then(|| sent_at.elapsed()),
            });
        }
        answers
    }

    /// Sends a request, on the connection kept from the last one if it is still there, and says whether it succeeded.
    fn send(&self, kept: &mut Option<TcpStream>, request: u64) -> io::Result<bool> {
        if let Some(mut stream) = kept.take() {
            match exchange(&mut stream, request) {
                Ok(succeeded) => {
                    *kept = Some(stream);
                    return Ok(succeeded);
                }
                Err(broken) if broken.outcome_known => return Err(broken.error),
                // An idle connection may have been closed meanwhile: once more on a new one, which is not kept.
                Err(_) => {
                    let mut stream = self.connect()?;
                    return exchange(&mut stream, request).map_err(|broken| broken.error);
                }
            }
        }
        let mut stream = self.connect()?;
        let succeeded = exchange(&mut stream, request).map_err(|broken| broken.error)?;
        *kept = Some(stream);
        Ok(succeeded)
    }

    fn connect(&self) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect_timeout(&self.proxy, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.write_all(&message::encode_start_up(START_UP_PARAMETERS))?;
        while message::read(&mut stream)?.tag != message::READY_FOR_QUERY {}
        Ok(stream)
    }
}

/// Sends a request and reads its answer to the end; says whether it succeeded.
fn exchange(stream: &mut TcpStream, request: u64) -> Result<bool, BrokenExchange> {
    let text = format!(
        "SELECT data FROM facts WHERE code = '{request:016x}' /* id={request:016x},c=look,d=1200 */\0"
    );
    let mut outcome = None;
    let mut run = || -> io::Result<()> {
        stream.write_all(&message::encode(message::QUERY, text.as_bytes()))?;
        loop {
            match message::read(stream)?.tag {
                message::COMMAND_COMPLETE => outcome = Some(true),
                message::ERROR_RESPONSE => outcome = Some(false),
                message::READY_FOR_QUERY => return Ok(()),
                _ => {}
            }
        }
    };
    match run() {
        Ok(()) => Ok(outcome.unwrap_or(false)),
        Err(error) => Err(BrokenExchange {
            error,
            outcome_known: outcome.is_some(),
        }),
    }
}
