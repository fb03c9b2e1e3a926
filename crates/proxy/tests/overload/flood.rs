//! Clients that send one message after another without pause.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::{self, JoinHandle};

use crate::common::*;

/// The request id in the statement of a template. Each message gets an id of its own in its place.
pub const TEMPLATE_ID: &str = "00000000";

/// A query that is sent again and again, each time with another request id.
#[derive(Clone)]
pub struct QueryTemplate {
    message: Vec<u8>,
    id_at: usize,
}

impl QueryTemplate {
    /// A template of a statement that contains [`TEMPLATE_ID`].
    pub fn new(text: &str) -> QueryTemplate {
        let message = statement(text);
        let mut windows = message.windows(TEMPLATE_ID.len());
        let id_at = windows.rposition(|bytes| bytes == TEMPLATE_ID.as_bytes());
        QueryTemplate {
            id_at: id_at.unwrap(),
            message,
        }
    }

    fn with_id(&mut self, id: u32) -> &[u8] {
        let digits = format!("{id:08x}");
        self.message[self.id_at..self.id_at + digits.len()].copy_from_slice(digits.as_bytes());
        &self.message
    }
}

/// Clients that run until [`finish`](FloodingClients::finish).
pub struct FloodingClients {
    is_stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl FloodingClients {
    /// Starts clients that each send the query again as soon as they have got the response to the
    /// last one, and connect again whenever their connection ends.
    pub fn start(address: SocketAddr, count: usize, query: &QueryTemplate) -> FloodingClients {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let next_id = Arc::new(AtomicU32::new(0));
        let run = |_| {
            let (is_stopped, next_id) = (is_stopped.clone(), next_id.clone());
            let mut query = query.clone();
            thread::spawn(move || {
                while !is_stopped.load(Ordering::Relaxed) {
                    repeat_on_one_connection(address, &is_stopped, &next_id, &mut query);
                }
            })
        };
        FloodingClients {
            threads: (0..count).map(run).collect(),
            is_stopped,
        }
    }

    /// Stops sending and waits for the last responses.
    pub fn finish(self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().unwrap();
        }
    }
}

fn repeat_on_one_connection(
    address: SocketAddr,
    is_stopped: &AtomicBool,
    next_id: &AtomicU32,
    query: &mut QueryTemplate,
) {
    let mut client = Client::connect(address);
    let mut response = send(&mut client, &startup());
    while !response.ends_connection() && !is_stopped.load(Ordering::Relaxed) {
        let id = next_id.fetch_add(1, Ordering::Relaxed);
        response = send(&mut client, query.with_id(id));
    }
}

/// Sends a message and returns the response. The proxy may close the connection at any time.
fn send(client: &mut Client, message: &[u8]) -> Response {
    match client.stream.write_all(message) {
        Ok(()) => client.response(),
        Err(_) => Response::Closed,
    }
}
