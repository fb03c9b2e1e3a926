//! HTTP responses that never end, read line by line.
//!
//! [`ReconnectingStream`] is one of them: opened again, after a backoff, when it ends or falls silent.
//! [`PersistentStream`] keeps one standing: on a change of address, and every now and then, a new stream takes the
//! current one's place without a gap.

mod backoff;
mod persistent;
mod reconnecting;

use std::io;
use std::time::Duration;

use crate::http::HttpError;

pub use persistent::PersistentStream;
pub use reconnecting::ReconnectingStream;

/// What a consumer finds wrong with a line.
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
    /// The server declined.
    #[error("status {0}")]
    Status(u16),
    /// The consumer cannot use what has come.
    #[error("{0}")]
    Content(LineError),
    /// The server closed the connection.
    #[error("closed")]
    Closed,
    /// The response came to its end, which it never should.
    #[error("complete")]
    Complete,
    /// No sign of life for too long.
    #[error("silent")]
    Silent,
    /// It stood open until its renewal and delivered nothing.
    #[error("nothing delivered")]
    NothingDelivered,
}

/// An answer that begins takes no longer.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1000);
const MAX_BACKOFF: Duration = Duration::from_millis(2000);
/// A stream may show life and deliver nothing of what changes: a new one delivers what was missed.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(3000);

/// How long a stream is waited for.
#[derive(Clone, Copy, Debug)]
pub struct StreamTimeouts {
    /// Longer than any pause between signs of life.
    pub silence: Duration,
    /// A response takes no longer to begin.
    pub response_start: Duration,
    /// The longest pause before the stream is opened again, before jitter, which at most doubles it.
    pub max_backoff: Duration,
    /// So often a standing stream is replaced by a new one; never where each call costs the server what all instances
    /// share.
    pub renewal_interval: Option<Duration>,
}

impl StreamTimeouts {
    /// For a server that runs on this instance's host, or responds at once.
    pub const fn responsive_server(silence: Duration) -> StreamTimeouts {
        StreamTimeouts {
            silence,
            response_start: RESPONSE_TIMEOUT,
            max_backoff: MAX_BACKOFF,
            renewal_interval: Some(RENEWAL_INTERVAL),
        }
    }
}
