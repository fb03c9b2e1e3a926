//! A client that sends requests at regular intervals and records the time until each answer.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

use tidescale_policy::types::RequestId;

use super::message;

/// Time limit of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit of a read from the connection; longer than the deadline that the requests carry.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// Parameters of the start-up message.
const START_UP_PARAMETERS: &[u8] = b"user\0portal\0database\0crm\0\0";

/// The time of a request and of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientAnswer {
    /// When the request was sent.
    pub sent_at: Instant,
    /// Time until its answer; `None` if the request failed or was not answered.
    pub answered_after: Option<Duration>,
}

/// Number of a client, unique within a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientNumber(pub u64);

/// A client of a proxy instance.
pub struct Client {
    /// Address on which the instance listens.
    pub proxy: SocketAddr,
    /// Number of this client, from which the ids of its requests are derived.
    pub number: ClientNumber,
    /// Time between two requests.
    pub interval: Duration,
}

/// The error of an exchange that was interrupted before the end of the answer.
struct ExchangeError {
    error: io::Error,
    /// Whether the outcome of the statement had been received before the error.
    outcome_known: bool,
}

impl Client {
    /// Sends requests until `stop` is set, and returns the recorded answers.
    pub fn run(&self, stop: &Arc<AtomicBool>) -> Vec<ClientAnswer> {
        let mut answers = Vec::new();
        let mut connection = None;
        let mut next_at = Instant::now();
        let mut sequence = 0;
        while !stop.load(Relaxed) {
            thread::sleep(next_at.saturating_duration_since(Instant::now()));
            next_at = (next_at + self.interval).max(Instant::now());
            let sent_at = Instant::now();
            sequence += 1;
            let request = self.request_id(sequence);
            let succeeded = self.send(&mut connection, request).unwrap_or(false);
            answers.push(ClientAnswer {
                sent_at,
                answered_after: succeeded.then(|| sent_at.elapsed()),
            });
        }
        answers
    }

    /// Returns the id of a request of this client. Sequence numbers have to be below 2^32.
    fn request_id(&self, sequence: u64) -> RequestId {
        RequestId::new(self.number.0 << 32 | sequence)
    }

    /// Sends a request, on the connection of the previous one if that is still open, and returns
    /// whether it succeeded.
    fn send(
        &self,
        idle_connection: &mut Option<TcpStream>,
        request: RequestId,
    ) -> io::Result<bool> {
        if let Some(mut stream) = idle_connection.take() {
            match exchange(&mut stream, request) {
                Ok(succeeded) => {
                    *idle_connection = Some(stream);
                    return Ok(succeeded);
                }
                Err(failed) if failed.outcome_known => return Err(failed.error),
                // The proxy may have closed the idle connection: retry once on a new connection,
                // which is closed afterwards.
                Err(_) => {
                    let mut stream = self.connect()?;
                    return exchange(&mut stream, request).map_err(|failed| failed.error);
                }
            }
        }
        let mut stream = self.connect()?;
        let succeeded = exchange(&mut stream, request).map_err(|failed| failed.error)?;
        *idle_connection = Some(stream);
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

/// Sends a request, reads the whole answer, and returns whether the request succeeded.
fn exchange(stream: &mut TcpStream, request: RequestId) -> Result<bool, ExchangeError> {
    let id = request.get();
    let text = format!(
        "SELECT data FROM facts WHERE code = '{id:016x}' /* id={id:016x},c=look,d=1200 */\0"
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
        Err(error) => Err(ExchangeError {
            error,
            outcome_known: outcome.is_some(),
        }),
    }
}
