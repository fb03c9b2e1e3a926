//! The rollout status of the newest build, received as a persistent stream of events from the
//! platform.

mod event;

use std::net::SocketAddr;
use std::time::Duration;

use calloop::Readiness;
use tidescale_policy::Balancer;

use crate::context::{Component, EventContext, IoContext};
use crate::ids::SlotKey;
use crate::stream::{LineError, PersistentStream, StreamTimeouts};

pub use event::{Event, EventError, StatusMessage};

/// Where the platform serves its events.
const EVENTS_PATH: &str = "/bulletin";
/// Five intervals of the platform's keep-alive lines, which come every second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(5000);

/// The stream of the platform's events.
pub struct RolloutStatusStream {
    stream: PersistentStream,
}

impl RolloutStatusStream {
    /// Not open yet.
    pub fn new(address: SocketAddr, seed: u64) -> RolloutStatusStream {
        let timeouts = StreamTimeouts::responsive_server(SILENCE_TIMEOUT);
        RolloutStatusStream {
            stream: PersistentStream::new(Component::RolloutStatus, address, timeouts, seed),
        }
    }

    /// Opens the stream.
    pub fn open(&mut self, context: &mut IoContext) {
        self.stream.open(EVENTS_PATH, context);
    }

    /// Moves to another address. Returns whether it differs from the current one.
    pub fn change_address(&mut self, address: SocketAddr, context: &mut IoContext) -> bool {
        self.stream.change_address(address, EVENTS_PATH, context)
    }

    /// A deadline of the stream has expired.
    pub fn on_deadline(&mut self, slot: SlotKey, context: &mut IoContext) {
        if self.stream.on_deadline(slot, context) {
            self.open(context);
        }
    }

    /// A socket of the stream became ready.
    pub fn on_ready(&mut self, slot: SlotKey, readiness: Readiness) {
        self.stream.on_ready(slot, readiness);
    }

    /// Reads from the stream and notifies the policy of the events received.
    pub fn serve(&mut self, context: &mut EventContext<'_>) {
        let policy = &mut *context.policy;
        self.stream.serve(context.io, |line, partial, _| {
            if event::add_line(partial, line)? {
                let applied = apply_event(partial, policy);
                partial.clear();
                applied?;
            }
            Ok::<(), LineError>(())
        });
    }
}

/// Notifies the policy of one event, given as its lines.
///
/// # Errors
///
/// The event is invalid; it may have been a change of the rollout status.
pub fn apply_event(lines: &str, policy: &mut Balancer) -> Result<(), EventError> {
    match Event::parse(lines)? {
        Event::Status(status) => status.apply(policy),
        Event::AnswerFlagged { endpoint, age } => policy.on_answer_flagged(&endpoint, age),
        Event::Other => {}
    }
    Ok(())
}
