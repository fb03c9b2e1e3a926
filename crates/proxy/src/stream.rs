//! Endless HTTP responses, read line by line.
//!
//! [`ReconnectingStream`] reads one such response and requests it again, after a backoff, when it
//! ends or nothing is received for too long. [`PersistentStream`] replaces one stream by another
//! on a change of address and at regular intervals, without a gap between them.

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

/// Why a stream ended.
#[derive(Debug, thiserror::Error)]
pub enum StreamError {
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The response is not valid HTTP.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The server responded with a status code other than 200.
    #[error("HTTP status {0}")]
    Status(u16),
    /// The consumer rejected a line.
    #[error("{0}")]
    Content(LineError),
    /// The server closed the connection.
    #[error("closed")]
    Closed,
    /// The response ended, although the connection is still open.
    #[error("complete")]
    Complete,
    /// Nothing was received, not even a keep-alive, before the current time limit expired: that for
    /// the start of the response, for the rest of a message, or the keep-alive timeout.
    #[error("silent")]
    KeepAliveTimeout,
    /// The response had started, but had not delivered a complete message when the stream was due
    /// for renewal.
    #[error("nothing delivered")]
    NothingDelivered,
}

/// Time limit for the start of the response of a server that responds immediately.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1000);
/// The longest backoff, before jitter.
const MAX_BACKOFF: Duration = Duration::from_millis(2000);
/// Interval at which a working stream is replaced by a new one. A stream may send keep-alives
/// without delivering changes; a new stream delivers those that were missed.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(3000);

/// The time limits of a stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamTimeouts {
    /// Keep-alive timeout: the stream is closed if nothing is received for this long between two
    /// messages, not even a keep-alive.
    pub keep_alive: Duration,
    /// The longest time from connecting until the first bytes of the response.
    pub response_start: Duration,
    /// The longest backoff before the stream is opened again; jitter at most doubles it.
    pub max_backoff: Duration,
    /// How often a working stream is replaced by a new one. `None` for a server that all instances
    /// share, where each request is expensive.
    pub renewal_interval: Option<Duration>,
}

impl StreamTimeouts {
    /// Timeouts for a server that responds immediately.
    pub const fn responsive_server(keep_alive: Duration) -> StreamTimeouts {
        StreamTimeouts {
            keep_alive,
            response_start: RESPONSE_TIMEOUT,
            max_backoff: MAX_BACKOFF,
            renewal_interval: Some(RENEWAL_INTERVAL),
        }
    }
}
