//! The tables that the node keeps.

use std::io::{self, Read, Write};
use std::time::{Duration, Instant};

use tidescale_policy::types::{AttemptOutcome, Timestamp};
use tidescale_proxy::buffers::{Chain, Fill, Pool, SIZE};
use tidescale_proxy::deadlines::Deadlines;
use tidescale_proxy::explain;
use tidescale_proxy::logging::{RateLimiter, SourceLine};
use tidescale_proxy::slots::Slots;
use tidescale_proxy::upstream::{Cause, Failure, Reached};

#[test]
fn a_number_of_an_earlier_generation_misses() {
    let mut slots: Slots<&str> = Slots::new(2);
    let first = slots.insert(|_| Ok::<_, ()>("first")).unwrap().unwrap();
    assert_eq!(slots.remove(first), Some("first"));
    let second = slots.insert(|_| Ok::<_, ()>("second")).unwrap().unwrap();
    assert_ne!(first, second);
    assert!(
        slots.get(first).is_none()
            && slots.get_mut(first).is_none()
            && slots.remove(first).is_none()
    );
    assert_eq!(slots.get(second), Some(&"second"));
    // One that could not be made takes no room; beyond the room nothing is made.
    assert_eq!(slots.insert(|_| Err("no")), Some(Err("no")));
    assert!(slots.insert(|_| Ok::<_, ()>("third")).is_some() && slots.is_full());
    assert!(
        slots
            .insert(|_| -> Result<_, ()> { panic!("made without room") })
            .is_none()
    );
}

#[test]
fn deadlines_come_in_order_and_one_to_an_owner() {
    let mut deadlines = Deadlines::default();
    for (owner, at) in [("a", 30), ("b", 10), ("c", 20), ("b", 40), ("d", 10)] {
        deadlines.set(owner, Timestamp::from_micros(at));
    }
    deadlines.clear("c");
    assert_eq!(deadlines.next_at(), Some(Timestamp::from_micros(10)));
    let mut due = |now| {
        std::iter::from_fn(|| deadlines.pop_due(Timestamp::from_micros(now))).collect::<Vec<_>>()
    };
    assert_eq!(due(9), [""; 0]);
    assert_eq!(due(30), ["d", "a"]);
    assert_eq!(due(1000), ["b"]);
    assert_eq!(deadlines.next_at(), None);
}

/// Gives so much at a time, then nothing for now.
struct Source(Vec<u8>, usize);

impl Read for Source {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        if self.0.is_empty() {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let n = self.1.min(to.len()).min(self.0.len());
        to[..n].copy_from_slice(&self.0[..n]);
        self.0.drain(..n);
        Ok(n)
    }
}

/// Takes so much, then nothing for now.
struct Sink(Vec<u8>, usize);

impl Write for Sink {
    fn write(&mut self, from: &[u8]) -> io::Result<usize> {
        let n = from.len().min(self.1 - self.0.len());
        self.0.extend_from_slice(&from[..n]);
        if n == 0 {
            Err(io::ErrorKind::WouldBlock.into())
        } else {
            Ok(n)
        }
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn long_messages_span_buffers_and_leave_none_behind() {
    let long: Vec<u8> = (0..3 * SIZE + 100).map(|i| (i % 251) as u8).collect();
    for step in [1000, SIZE, SIZE + 1, 1 << 20] {
        let pool = Pool::new(4);
        let mut chain = Chain::new(&pool);
        assert_eq!(
            chain
                .fill(&mut Source(long.clone(), step), 1 << 20)
                .unwrap(),
            Fill::Drained
        );
        assert!(chain.len() == long.len() && pool.is_empty());
        // Nothing to read into; what is there can still be passed on and written.
        assert_eq!(
            chain
                .fill(&mut Source(vec![1; SIZE], step), 1 << 20)
                .unwrap(),
            Fill::Starved
        );
        let held = chain.len();
        let mut other = Chain::new(&pool);
        chain.pass(SIZE + 7, &mut other);
        let mut sink = Sink(Vec::new(), SIZE);
        other.drain(&mut sink).unwrap();
        assert_eq!(other.len(), 7);
        sink.1 = usize::MAX;
        other.drain(&mut sink).unwrap();
        chain.drain(&mut sink).unwrap();
        assert!(sink.0.len() == held && sink.0.starts_with(&long));
        assert!(chain.is_empty() && !pool.is_empty());
    }
}

#[test]
fn a_read_stops_where_it_was_told_and_at_the_end() {
    let mut chain = Chain::new(&Pool::new(4));
    assert_eq!(
        chain.fill(&mut Source(vec![7; 100], 10), 35).unwrap(),
        Fill::Enough
    );
    assert_eq!(chain.len(), 40);
    assert_eq!(chain.fill(&mut io::empty(), 1000).unwrap(), Fill::Ended);
    assert_eq!(chain.slices(5..38).map(<[u8]>::len).sum::<usize>(), 33);
}

#[test]
fn only_a_req_written_whole_may_have_run() {
    let broken = || Cause::Broken(io::ErrorKind::ConnectionReset.into());
    let table = [
        (Reached::Nothing, broken(), AttemptOutcome::Refused),
        (Reached::Part, broken(), AttemptOutcome::Refused),
        (Reached::All, broken(), AttemptOutcome::ConnectionReset),
        (Reached::Part, Cause::Ended, AttemptOutcome::Refused),
        (Reached::All, Cause::Ended, AttemptOutcome::ConnectionReset),
        (
            Reached::All,
            Cause::Malformed("odd"),
            AttemptOutcome::Malformed,
        ),
        (Reached::Nothing, Cause::Overdue, AttemptOutcome::Refused),
        (Reached::All, Cause::Overdue, AttemptOutcome::TimedOut),
        (Reached::All, Cause::Cancelled, AttemptOutcome::Cancelled),
    ];
    for (reached, cause, wanted) in table {
        let failure = Failure { reached, cause };
        assert_eq!(failure.end(), wanted, "{failure}");
    }
}

#[test]
fn a_line_that_repeats_itself_is_left_out_and_counted() {
    let mut limiter = RateLimiter::default();
    let start = Instant::now();
    let mut at = |line, ms| {
        let place = SourceLine { file: "file", line };
        limiter.admit(place, start + Duration::from_millis(ms))
    };
    let admitted: Vec<_> = (0..8).map(|ms| at(1, ms)).collect();
    assert_eq!(
        admitted,
        [
            Some(0),
            Some(0),
            Some(0),
            Some(0),
            Some(0),
            None,
            None,
            None
        ]
    );
    assert_eq!(at(2, 10), Some(0));
    assert_eq!(at(1, 1000), Some(3));
    assert_eq!(at(1, 2500), Some(0));
}

#[test]
fn a_verdict_in_a_log_is_explained_and_other_lines_are_not() {
    let line = "Dec 01 19:12:52.618 INFO verdict: to go back, aside: 1, beta: 0.2, alpha: 0.05, bound: 2.77, \
        score: 3.10, recalled: 4.00, old_outcomes: 71.80, old_hits: 0.00, new_outcomes: 27.90, new_hits: 3.00, \
        test: errors, stage: 1, build: 42";
    let log = format!("Dec 01 19:12:52.317 INFO serving, listen: 127.0.0.1:1\n{line}\n");
    let table = explain::table(&log).unwrap();
    for part in [
        "| 42 ",
        "3.00 of 27.90 (10.8%)",
        "3.10 of 2.77",
        "errors alone",
        "4.00 outcomes from before",
        "1 of its machines",
    ] {
        assert!(table.contains(part), "{part}: {table}");
    }
    assert_eq!(table.lines().count(), 3, "{table}");
    assert_eq!(
        explain::table("Dec 01 19:12:52.317 INFO vote, verdict: Back, stage: 1, build: 42"),
        None
    );
    // A line cut off tells what it has.
    assert!(
        explain::table("x INFO verdict: to go back, build: 42")
            .unwrap()
            .contains("?")
    );
}
