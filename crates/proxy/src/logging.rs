//! The log on standard error. Each place in the source may log only a few lines a second, so that
//! repeated errors neither fill the log nor slow down the event loop. A line that standard error
//! does not accept immediately is dropped and counted.

use std::collections::BTreeMap;
use std::io;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use slog::{Drain, Level, Logger, Never, OwnedKVList, Record, o};

/// Length of the windows over which the lines of a place are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Most lines of a place written in one window.
const MAX_LINES_PER_WINDOW: u32 = 5;

/// The place in the source that logs a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceLine {
    /// The file.
    pub file: &'static str,
    /// The line number.
    pub line: u32,
}

struct Window {
    started: Instant,
    lines: u32,
}

/// Counts lines by place; its size is bounded by the number of places that log.
#[derive(Default)]
pub struct RateLimiter {
    windows: BTreeMap<SourceLine, Window>,
}

impl RateLimiter {
    /// Whether a line may be written now. Returns the number of suppressed lines of that place in
    /// the previous window, or `None` if this line is suppressed.
    pub fn admit(&mut self, source: SourceLine, now: Instant) -> Option<u32> {
        let window = self.windows.entry(source).or_insert(Window {
            started: now,
            lines: 0,
        });
        if now.duration_since(window.started) >= WINDOW {
            let suppressed = window.lines.saturating_sub(MAX_LINES_PER_WINDOW);
            window.started = now;
            window.lines = 1;
            return Some(suppressed);
        }
        window.lines += 1;
        (window.lines <= MAX_LINES_PER_WINDOW).then_some(0)
    }
}

/// A drain that suppresses lines over the rate limit and lines that standard error does not accept.
struct RateLimitedDrain<D> {
    limiter: Mutex<RateLimiter>,
    /// Lines that standard error did not accept since it last accepted one.
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
        // A failure to log must not end the service.
        let _ = if suppressed_lines == 0 {
            self.drain.log(record, values)
        } else {
            self.drain
                .log(record, &o!("suppressed_lines" => suppressed_lines).into())
        };
        Ok(())
    }
}

/// Whether a line can be written without blocking: a pipe that nobody reads would stall the whole
/// proxy.
fn stderr_is_writable() -> bool {
    let stderr = io::stderr();
    let mut descriptors = [PollFd::new(&stderr, PollFlags::OUT)];
    // A pipe that is ready accepts a page, which is more than a line.
    poll(&mut descriptors, Some(&Timespec::default())).map_or(true, |ready| ready > 0)
}

/// A logger that writes lines from level info up to standard error.
pub fn stderr_logger() -> Logger {
    let decorator = slog_term::PlainSyncDecorator::new(io::stderr());
    let limited = RateLimitedDrain {
        limiter: Mutex::default(),
        dropped: AtomicU32::new(0),
        drain: slog_term::FullFormat::new(decorator).build(),
    };
    Logger::root(limited.filter_level(Level::Info).fuse(), o!())
}
