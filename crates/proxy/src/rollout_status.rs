//! Receives events from the platform over a persistent stream: the rollout status of the newest
//! build, and responses of endpoints that clients have reported as wrong.

mod event;

use std::net::SocketAddr;
use std::time::Duration;

use calloop::Readiness;
use tidescale_policy::Balancer;

use crate::context::{Component, EventContext, IoContext};
use crate::ids::SlotKey;
use crate::stream::{LineError, PersistentStream, StreamTimeouts};

pub use event::{Event, EventError, StatusMessage};

/// The path of the platform's event stream.
const EVENTS_PATH: &str = "/bulletin";
/// A stream on which no line arrives for this long is reopened. This is five times the interval of
/// the platform's keep-alive lines, which is 1 s.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(5000);

/// The platform's event stream, which delivers the rollout status and flagged responses.
pub struct RolloutStatusStream {
    stream: PersistentStream,
}

impl RolloutStatusStream {
    /// Creates the stream without opening it.
    pub fn new(address: SocketAddr, seed: u64) -> RolloutStatusStream {
        let timeouts = StreamTimeouts::responsive_server(KEEP_ALIVE_TIMEOUT);
        RolloutStatusStream {
            stream: PersistentStream::new(Component::RolloutStatus, address, timeouts, seed),
        }
    }

    /// Opens the stream.
    pub fn open(&mut self, context: &mut IoContext) {
        self.stream.open(EVENTS_PATH, context);
    }

    /// Switches to another address. Returns whether it differs from the current one.
    pub fn change_address(&mut self, address: SocketAddr, context: &mut IoContext) -> bool {
        self.stream.change_address(address, EVENTS_PATH, context)
    }

    /// Handles an expired deadline of the stream.
    pub fn on_deadline(&mut self, slot: SlotKey, context: &mut IoContext) {
        if self.stream.on_deadline(slot, context) {
            self.open(context);
        }
    }

    /// Records that a socket of the stream has become ready.
    pub fn on_ready(&mut self, slot: SlotKey, readiness: Readiness) {
        self.stream.on_ready(slot, readiness);
    }

    /// Reads from the stream and applies the received events to the policy.
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

/// Parses the lines of one event and notifies the policy of it.
///
/// # Errors
///
/// The event is invalid. A change of the rollout status may be lost with it.
pub fn apply_event(lines: &str, policy: &mut Balancer) -> Result<(), EventError> {
    match Event::parse(lines)? {
        Event::Status(status) => status.apply(policy),
        Event::ResponseFlagged { endpoint, age } => policy.on_response_flagged(&endpoint, age),
        Event::Other => {}
    }
    Ok(())
}
