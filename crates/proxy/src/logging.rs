//! The log: lines on standard error, those of each place in the source at most a few times a second, so that a trouble
//! which repeats itself neither fills the log nor slows the loop down. A line that standard error does not take at once
//! is dropped and counted.

use std::collections::BTreeMap;
use std::io;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use slog::{Drain, Level, Logger, Never, OwnedKVList, Record, o};

/// Lines of one place are counted over windows of this length.
const WINDOW: Duration = Duration::from_secs(1);
/// Lines of one place that are written in a window.
const MAX_LINES_PER_WINDOW: u32 = 5;

/// Where in the source a line is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceLine {
    /// The file.
    pub file: &'static str,
    /// The line's number.
    pub line: u32,
}

struct Window {
    started: Instant,
    lines: u32,
}

/// Counts lines by place; bounded by the number of places that log.
#[derive(Default)]
pub struct RateLimiter {
    windows: BTreeMap<SourceLine, Window>,
}

impl RateLimiter {
    /// Whether a line may be written now, and how many of its place were suppressed in the window before.
    pub fn admit(&mut self, place: SourceLine, now: Instant) -> Option<u32> {
        let window = self.windows.entry(place).or_insert(Window {
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

/// A drain that passes on what the rate and standard error allow.
struct LimitedDrain<D> {
    limiter: Mutex<RateLimiter>,
    /// Lines that standard error did not take, since one that it took.
    dropped: AtomicU32,
    drain: D,
}

impl<D: Drain<Ok = (), Err = io::Error>> Drain for LimitedDrain<D> {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record, values: &OwnedKVList) -> Result<(), Never> {
        let place = SourceLine {
            file: record.file(),
            line: record.line(),
        };
        let admitted = self
            .limiter
            .lock()
            .ok()
            .and_then(|mut limiter| limiter.admit(place, Instant::now()));
        let Some(suppressed) = admitted else {
            return Ok(());
        };
        if !stderr_takes_a_line() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let left_out = suppressed + self.dropped.swap(0, Ordering::Relaxed);
        // A log that can't be written must not end the service.
        let _ = if left_out == 0 {
            self.drain.log(record, values)
        } else {
            self.drain.log(record, &o!("left_out" => left_out).into())
        };
        Ok(())
    }
}

/// Whether a line can be written at once: a pipe that nobody reads would stall the whole proxy.
fn stderr_takes_a_line() -> bool {
    let stderr = io::stderr();
    let mut descriptors = [PollFd::new(&stderr, PollFlags::OUT)];
    // A pipe that takes anything takes a page, which is more than a line.
    poll(&mut descriptors, Some(&Timespec::default())).map_or(true, |ready| ready > 0)
}

/// A logger of lines on standard error, from level info up.
pub fn stderr_logger() -> Logger {
    let decorator = slog_term::PlainSyncDecorator::new(io::stderr());
    let limited = LimitedDrain {
        limiter: Mutex::default(),
        dropped: AtomicU32::new(0),
        drain: slog_term::FullFormat::new(decorator).build(),
    };
    Logger::root(limited.filter_level(Level::Info).fuse(), o!())
}
