//! Stand-in endpoints with a scripted action for each query.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::protocol::{
    error, next_message, read_startup, read_until_length, ready_for_query, row, session_accepted,
};
use super::protocol::{message, terminated_text};

/// The value in the responses of stand-in endpoints unless a test sets another.
pub const VALUE: &[u8] = &[5];

/// The reaction of a stand-in endpoint to a query.
pub enum EndpointAction {
    /// Responds with one row with this value, and with a load report.
    Row(Vec<u8>),
    /// Responds with an error with this code, and with a load report.
    Error(&'static str),
    /// Sends these bytes instead of a response, and a load report.
    Bytes(&'static [u8]),
    /// Responds with a row and this load report, then sends bytes that belong to no response.
    RowWithReport {
        report: &'static [u8],
        trailing_bytes: &'static [u8],
    },
    /// Sends nothing and keeps the connection open.
    NoResponse,
    /// Closes the connection.
    Close,
}

impl EndpointAction {
    /// Responds with one row with [`VALUE`].
    pub fn row() -> EndpointAction {
        EndpointAction::Row(VALUE.to_vec())
    }
}

/// An event that a stand-in endpoint has observed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointEvent {
    /// It received a query with this text.
    Query(String),
    /// The connection of a query that got [`EndpointAction::NoResponse`] was closed.
    ClosedInFlight,
}

impl EndpointEvent {
    /// Whether this is a query that contains the text.
    pub fn is_query_with(&self, text: &str) -> bool {
        matches!(self, EndpointEvent::Query(query) if query.contains(text))
    }
}

/// The events of a stand-in endpoint or of one of its connections, in order of occurrence.
#[derive(Clone, Default)]
pub struct EventLog(Arc<Mutex<Vec<EndpointEvent>>>);

impl EventLog {
    pub fn all(&self) -> Vec<EndpointEvent> {
        self.0.lock().unwrap().clone()
    }

    /// The number of queries that contain the text.
    pub fn queries_with(&self, text: &str) -> usize {
        let events = self.0.lock().unwrap();
        events
            .iter()
            .filter(|event| event.is_query_with(text))
            .count()
    }

    /// Waits until this many events have been observed.
    pub fn wait_for(&self, count: usize, limit: Duration) {
        let started_at = Instant::now();
        while self.all().len() < count {
            assert!(started_at.elapsed() < limit, "{:?}", self.all());
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Adds an event and returns the number of earlier ones.
    fn add(&self, event: EndpointEvent) -> usize {
        let mut events = self.0.lock().unwrap();
        events.push(event);
        events.len() - 1
    }
}

/// A stand-in endpoint that runs until the test process exits.
pub struct TestEndpoint {
    pub address: SocketAddr,
    pub events: EventLog,
}

impl TestEndpoint {
    /// Starts an endpoint. `script` maps the number of events before a query to the action for it.
    pub fn start(script: impl Fn(usize) -> EndpointAction + Send + Sync + 'static) -> TestEndpoint {
        TestEndpoint::start_for_queries(move |index, _| script(index))
    }

    /// Starts an endpoint. `script` maps the number of events before a query and its text to the
    /// action for it.
    pub fn start_for_queries(
        script: impl Fn(usize, &str) -> EndpointAction + Send + Sync + 'static,
    ) -> TestEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let events = EventLog::default();
        let script = Arc::new(script);
        let recorded = events.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (events, script) = (recorded.clone(), script.clone());
                thread::spawn(move || serve_connection(stream, &events, &*script));
            }
        });
        TestEndpoint { address, events }
    }

    /// Starts an endpoint that responds to every query with [`VALUE`].
    pub fn responsive() -> TestEndpoint {
        TestEndpoint::start(|_| EndpointAction::row())
    }

    /// Starts an endpoint that takes the action `first` for its first query and responds to all
    /// later ones with [`VALUE`].
    pub fn responsive_after(
        first: impl Fn() -> EndpointAction + Send + Sync + 'static,
    ) -> TestEndpoint {
        TestEndpoint::start(move |index| {
            if index == 0 {
                first()
            } else {
                EndpointAction::row()
            }
        })
    }
}

/// Serves one connection of a stand-in endpoint until it is closed. The result carries no
/// information; it allows `?` in the body.
pub fn serve_connection(
    mut stream: TcpStream,
    events: &EventLog,
    script: &dyn Fn(usize, &str) -> EndpointAction,
) -> Option<()> {
    let mut unread = Vec::new();
    read_startup(&mut stream, &mut unread).then_some(())?;
    stream.write_all(&session_accepted()).ok()?;
    while let Some((b'Q', body)) = next_message(&mut stream, &mut unread) {
        let text = terminated_text(&body);
        let index = events.add(EndpointEvent::Query(text.clone()));
        let response = match script(index, &text) {
            EndpointAction::Close => {
                // Closes immediately, unlike a drop while a child process that another test is
                // spawning holds a copy of the socket.
                stream.shutdown(Shutdown::Both).ok()?;
                return None;
            }
            EndpointAction::NoResponse => {
                read_until_length(&mut stream, &mut unread, usize::MAX);
                events.add(EndpointEvent::ClosedInFlight);
                return None;
            }
            action => response_bytes(action),
        };
        stream.write_all(&response).ok()?;
    }
    Some(())
}

/// The bytes that an action sends. The load report follows the response, as the protocol allows.
fn response_bytes(action: EndpointAction) -> Vec<u8> {
    const REPORT: &[u8] = b"vitals\0inflight=7,queue=2\0";
    let (response, report, trailing_bytes) = match action {
        EndpointAction::Row(value) => (row(&value), REPORT, &[][..]),
        EndpointAction::Error(code) => (error(code), REPORT, &[][..]),
        EndpointAction::Bytes(bytes) => (bytes.to_vec(), REPORT, &[][..]),
        EndpointAction::RowWithReport {
            report,
            trailing_bytes,
        } => (row(VALUE), report, trailing_bytes),
        EndpointAction::NoResponse | EndpointAction::Close => {
            unreachable!("this action sends no response")
        }
    };
    let report = message(b'S', report);
    [response, report, ready_for_query(), trailing_bytes.to_vec()].concat()
}
