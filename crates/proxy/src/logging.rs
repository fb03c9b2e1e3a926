//! The log: lines on standard error, each kind at most a few times a second, so that a trouble which repeats
//! itself neither fills the log nor slows the loop down.

use std::collections::BTreeMap;
use std::io;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use slog::{Drain, Level, Logger, Never, OwnedKVList, Record, o};

const SPELL: Duration = Duration::from_secs(1);
const MOST: u32 = 5;

/// Counts by place in the source; who comes first after a spell tells how many were left out.
#[derive(Default)]
pub struct Counts(BTreeMap<(&'static str, u32), (Instant, u32)>);

impl Counts {
    /// Whether a line may be written now, and how many of its kind were not before it.
    pub fn admit(&mut self, place: (&'static str, u32), now: Instant) -> Option<u32> {
        let (since, count) = self.0.entry(place).or_insert((now, 0));
        let left_out = count.saturating_sub(MOST);
        if now.duration_since(*since) >= SPELL {
            (*since, *count) = (now, 1);
            return Some(left_out);
        }
        *count += 1;
        (*count <= MOST).then_some(0)
    }
}

struct Rarely<D> {
    counts: Mutex<Counts>,
    /// Lines that standard error did not take, since one that it took.
    lost: AtomicU32,
    drain: D,
}

/// Whether a line can be written to standard error at once: a pipe that nobody reads would stall the whole front.
fn takes_a_line() -> bool {
    let stderr = io::stderr();
    let mut one = [PollFd::new(&stderr, PollFlags::OUT)];
    // A pipe that takes anything takes a page, which is more than a line.
    poll(&mut one, Some(&Timespec::default())).map_or(true, |n| n > 0)
}

impl<D: Drain<Ok = (), Err = io::Error>> Drain for Rarely<D> {
    type Ok = ();
    type Err = Never;
    fn log(&self, record: &Record, values: &OwnedKVList) -> Result<(), Never> {
        let place = (record.file(), record.line());
        let mut left_out = self
            .counts
            .lock()
            .ok()
            .and_then(|mut c| c.admit(place, Instant::now()));
        if left_out.is_some() && !takes_a_line() {
            self.lost.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        left_out = left_out.map(|n| n + self.lost.swap(0, Ordering::Relaxed));
        // A log that can't be written must not end the service.
        let _ = match left_out {
            None => Ok(()),
            Some(0) => self.drain.log(record, values),
            Some(n) => self.drain.log(record, &o!("left_out" => n).into()),
        };
        Ok(())
    }
}

pub fn start() -> Logger {
    let drain =
        slog_term::FullFormat::new(slog_term::PlainSyncDecorator::new(io::stderr())).build();
    let (counts, lost) = (Mutex::default(), AtomicU32::new(0));
    Logger::root(
        Rarely {
            counts,
            lost,
            drain,
        }
        .filter_level(Level::Info)
        .fuse(),
        o!(),
    )
}
