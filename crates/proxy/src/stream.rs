//! HTTP responses without an end, read line by line.
//!
//! [`ReconnectingStream`] is one such response; it is opened again, after a backoff, when it ends
//! or falls silent. [`PersistentStream`] is a sequence of them: on a change of address and at
//! regular intervals, a new stream replaces the current one without a gap.

mod backoff;
mod persistent;
mod reconnecting;

use std::io;
use std::time::Duration;

use crate::http::HttpError;

pub use persistent::PersistentStream;
pub use reconnecting::ReconnectingStream;

/// Why the consumer of a stream rejected a line.
pub type LineError = Box<dyn std::error::Error>;

/// Why a stream has ended.
#[derive(Debug, thiserror::Error)]
pub enum StreamError {
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The response is not HTTP.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The server refused the request.
    #[error("status {0}")]
    Status(u16),
    /// The consumer rejected a line.
    #[error("{0}")]
    Content(LineError),
    /// The server closed the connection.
    #[error("closed")]
    Closed,
    /// The response is complete, although it should not end.
    #[error("complete")]
    Complete,
    /// Nothing was received for too long, not even a keep-alive.
    #[error("silent")]
    Silent,
    /// The response had started but had delivered nothing when the stream was due for renewal.
    #[error("nothing delivered")]
    NothingDelivered,
}

/// A response starts within this time.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1000);
/// The longest backoff, before jitter.
const MAX_BACKOFF: Duration = Duration::from_millis(2000);
/// A stream may send keep-alives without delivering changes; a new one delivers what was missed.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(3000);

/// The time limits of a stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamTimeouts {
    /// The longest time without a keep-alive.
    pub silence: Duration,
    /// The longest time until a response starts.
    pub response_start: Duration,
    /// The longest backoff before the stream is opened again; jitter at most doubles it.
    pub max_backoff: Duration,
    /// How often a working stream is replaced by a new one; `None` for a server that all instances
    /// share, where each call is expensive.
    pub renewal_interval: Option<Duration>,
}

impl StreamTimeouts {
    /// For a server that responds immediately.
    pub const fn responsive_server(silence: Duration) -> StreamTimeouts {
        StreamTimeouts {
            silence,
            response_start: RESPONSE_TIMEOUT,
            max_backoff: MAX_BACKOFF,
            renewal_interval: Some(RENEWAL_INTERVAL),
        }
    }
}
