//! The newest build's rollout status, as a stream of the platform's events that always stands.

mod event;

use std::net::SocketAddr;
use std::time::Duration;

use calloop::Readiness;
use tidescale_policy::Balancer;

use crate::connection::{Component, IoContext};
use crate::stream::{LineError, PersistentStream, StreamTimeouts};

pub use event::{Event, EventError, StatusMessage};

/// Where the platform serves its events.
const PATH: &str = "/bulletin";
/// Five of the signs of life that come every second.
const SILENCE: Duration = Duration::from_millis(5000);

/// The stream of the platform's events.
pub struct RolloutStatusStream {
    stream: PersistentStream,
}

impl RolloutStatusStream {
    /// Not open yet.
    pub fn new(address: SocketAddr, seed: u64) -> RolloutStatusStream {
        let timeouts = StreamTimeouts::responsive_server(SILENCE);
        RolloutStatusStream {
            stream: PersistentStream::new(Component::RolloutStatus, address, timeouts, seed),
        }
    }

    /// Opens the stream.
    pub fn open(&mut self, context: &mut IoContext) {
        self.stream.open(PATH, context);
    }

    /// Moves to another address; returns whether it is another one.
    pub fn change_address(&mut self, address: SocketAddr, context: &mut IoContext) -> bool {
        self.stream.change_address(address, PATH, context)
    }

    /// A deadline of the stream's is due.
    pub fn on_deadline(&mut self, slot: u64, context: &mut IoContext) {
        if self.stream.on_deadline(slot, context) {
            self.open(context);
        }
    }

    /// A socket of the stream's has become ready.
    pub fn on_ready(&mut self, slot: u64, readiness: Readiness) {
        self.stream.on_ready(slot, readiness);
    }

    /// Reads what has come and notifies the policy of the events in it.
    pub fn serve(&mut self, context: &mut IoContext, policy: &mut Balancer) {
        self.stream.serve(context, |line, partial, _| {
            if event::add_line(partial, line)? {
                let announced = announce(partial, policy);
                partial.clear();
                announced?;
            }
            Ok::<(), LineError>(())
        });
    }
}

/// Notifies the policy of one event, given as its lines.
///
/// # Errors
///
/// Where it cannot be read; it may have been a change of the rollout's status.
pub fn announce(lines: &str, policy: &mut Balancer) -> Result<(), EventError> {
    match Event::parse(lines)? {
        Event::Status(status) => status.apply(policy),
        Event::AnswerFlagged { endpoint, age } => policy.on_answer_flagged(&endpoint, age),
        Event::Other => {}
    }
    Ok(())
}
