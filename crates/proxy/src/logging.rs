//! The logger, which writes to standard error. A rate limit of a few lines per second for each call
//! site keeps repeated errors from filling the log and from slowing down the event loop. A line
//! that cannot be written without blocking is dropped and counted.

use std::collections::BTreeMap;
use std::io;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use slog::{Drain, Level, Logger, Never, OwnedKVList, Record, o};

/// Duration of the windows in which the lines of a call site are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of lines that a call site may write in one window.
const MAX_LINES_PER_WINDOW: u32 = 5;

/// The call site of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceLine {
    /// The path of the source file.
    pub file: &'static str,
    /// The number of the line in the file, from 1.
    pub line: u32,
}

struct Window {
    started: Instant,
    lines: u32,
}

/// Limits the lines of each call site. It needs no limit on its own size, which the number of call
/// sites in the program bounds.
#[derive(Default)]
pub struct RateLimiter {
    windows: BTreeMap<SourceLine, Window>,
}

impl RateLimiter {
    /// Counts a line of a call site. Returns `None` if the line exceeds the limit and must be
    /// suppressed. Otherwise returns, for the first line of a new window, the number of lines
    /// suppressed in the previous one, and 0 for all other lines.
    pub fn admit(&mut self, source: SourceLine, now: Instant) -> Option<u32> {
        let window = self.windows.entry(source).or_insert(Window {
            started: now,
            lines: 0,
        });
        if now.duration_since(window.started) >= RATE_WINDOW {
            let suppressed = window.lines.saturating_sub(MAX_LINES_PER_WINDOW);
            window.started = now;
            window.lines = 1;
            return Some(suppressed);
        }
        window.lines += 1;
        (window.lines <= MAX_LINES_PER_WINDOW).then_some(0)
    }
}

/// A drain that drops lines over the rate limit and lines that would block on standard error.
struct RateLimitedDrain<D> {
    limiter: Mutex<RateLimiter>,
    /// Lines dropped since the last write because standard error was not writable.
    dropped: AtomicU32,
    drain: D,
}

impl<D: Drain<Ok = (), Err = io::Error>> Drain for RateLimitedDrain<D> {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record, values: &OwnedKVList) -> Result<(), Never> {
        let source = SourceLine {
            file: record.file(),
            line: record.line(),
        };
        let admitted = self
            .limiter
            .lock()
            .ok()
            .and_then(|mut limiter| limiter.admit(source, Instant::now()));
        let Some(suppressed) = admitted else {
            return Ok(());
        };
        if !stderr_is_writable() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let suppressed_lines = suppressed + self.dropped.swap(0, Ordering::Relaxed);
        // Write errors are ignored: the proxy keeps running if it cannot log.
        let _ = if suppressed_lines == 0 {
            self.drain.log(record, values)
        } else {
            self.drain
                .log(record, &o!("suppressed_lines" => suppressed_lines).into())
        };
        Ok(())
    }
}

/// Whether a line can be written without blocking. A blocking write to a full pipe that nobody
/// reads would stall the event loop.
fn stderr_is_writable() -> bool {
    let stderr = io::stderr();
    let mut descriptors = [PollFd::new(&stderr, PollFlags::OUT)];
    // A writable pipe has room for at least a page, which is more than a line.
    poll(&mut descriptors, Some(&Timespec::default())).map_or(true, |ready| ready > 0)
}

/// Creates a logger that writes lines from level info up to standard error.
pub fn stderr_logger() -> Logger {
    let decorator = slog_term::PlainSyncDecorator::new(io::stderr());
    let limited = RateLimitedDrain {
        limiter: Mutex::default(),
        dropped: AtomicU32::new(0),
        drain: slog_term::FullFormat::new(decorator).build(),
    };
    Logger::root(limited.filter_level(Level::Info).fuse(), o!())
}
