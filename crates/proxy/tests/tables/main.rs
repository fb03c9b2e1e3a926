//! The tables that the proxy keeps, and how attempts end.

use std::io::{self, Read, Write};
use std::time::{Duration, Instant};

use tidescale_policy::types::{AttemptOutcome, Timestamp};
use tidescale_proxy::buffers::{Chain, Fill, Pool, SIZE};
use tidescale_proxy::clients::arrivals::Arrivals;
use tidescale_proxy::clients::stages::{ConnectionsByStage, Stage};
use tidescale_proxy::deadlines::Deadlines;
use tidescale_proxy::explain;
use tidescale_proxy::ids::{ClientKey, SlotKey};
use tidescale_proxy::logging::{RateLimiter, SourceLine};
use tidescale_proxy::slots::Slots;
use tidescale_proxy::upstream::{AnswerError, AttemptError, AttemptErrorCause, RequestProgress};

#[test]
fn a_slot_number_of_an_earlier_generation_misses() {
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
fn a_read_stops_at_the_wanted_length_and_at_the_end() {
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
#[expect(
    clippy::too_many_lines,
    reason = "one table of cases, or one scenario told in order"
)]
fn only_a_request_written_whole_may_have_been_executed() {
    let broken = || AttemptErrorCause::ConnectionBroken(io::ErrorKind::ConnectionReset.into());
    let table = [
        (
            RequestProgress::NotWritten,
            broken(),
            AttemptOutcome::Refused,
            "nothing written: connection reset",
        ),
        (
            RequestProgress::PartlyWritten,
            broken(),
            AttemptOutcome::Refused,
            "part written: connection reset",
        ),
        (
            RequestProgress::Written,
            broken(),
            AttemptOutcome::ConnectionReset,
            "all written: connection reset",
        ),
        (
            RequestProgress::PartlyWritten,
            AttemptErrorCause::ConnectionClosed,
            AttemptOutcome::Refused,
            "part written: closed",
        ),
        (
            RequestProgress::Written,
            AttemptErrorCause::ConnectionClosed,
            AttemptOutcome::ConnectionReset,
            "all written: closed",
        ),
        (
            RequestProgress::Written,
            AttemptErrorCause::Malformed(AnswerError::OutOfOrder),
            AttemptOutcome::Malformed,
            "all written: an answer out of order",
        ),
        (
            RequestProgress::NotWritten,
            AttemptErrorCause::TimedOut,
            AttemptOutcome::Refused,
            "nothing written: no answer in time",
        ),
        (
            RequestProgress::Written,
            AttemptErrorCause::TimedOut,
            AttemptOutcome::TimedOut,
            "all written: no answer in time",
        ),
        (
            RequestProgress::Written,
            AttemptErrorCause::Cancelled,
            AttemptOutcome::Cancelled,
            "all written: cancelled",
        ),
    ];
    for (progress, cause, outcome, text) in table {
        let error = AttemptError { progress, cause };
        assert_eq!(error.outcome(), outcome, "{error}");
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn a_requests_time_runs_from_the_arrival_of_its_last_byte() {
    let at = Timestamp::from_micros;
    let mut arrivals = Arrivals::default();
    arrivals.record(10, at(1));
    arrivals.record(0, at(2));
    arrivals.record(5, at(3));
    arrivals.record(5, at(3));
    arrivals.record(1, at(4));
    assert_eq!(arrivals.take(9, at(9)), at(1));
    assert_eq!(arrivals.take(1, at(9)), at(1));
    assert_eq!(arrivals.take(1, at(9)), at(3));
    assert_eq!(arrivals.take(9, at(9)), at(3));
    assert_eq!(arrivals.take(1, at(9)), at(4));
    // Of what never came nothing is known.
    assert_eq!(arrivals.take(1, at(9)), at(9));
    // Byte by byte: the time of what comes beyond the 256 marks is too early, never too late.
    let mut arrivals = Arrivals::default();
    (1..=300).for_each(|time| arrivals.record(1, at(time)));
    assert_eq!(arrivals.take(255, at(999)), at(255));
    assert_eq!(arrivals.take(1, at(999)), at(256));
    assert_eq!(arrivals.take(44, at(999)), at(256));
}

#[test]
fn connections_make_room_in_the_order_of_their_stages_and_times() {
    let at = Timestamp::from_micros;
    let client = |number| ClientKey::from(SlotKey::new(number));
    let mut index = ConnectionsByStage::default();
    let placed = [
        (1, Stage::AwaitingResponse, 1),
        (2, Stage::Writing, 1),
        (3, Stage::ReceivingMessage, 2),
        (4, Stage::ReceivingMessage, 1),
        (5, Stage::Idle, 9),
        (6, Stage::Idle, 3),
        (7, Stage::AwaitingFirstRequest, 5),
        (8, Stage::Opening, 6),
        (9, Stage::Closing, 9),
    ];
    for (connection, stage, since) in placed {
        assert!(index.record(client(connection), stage, at(since)));
    }
    let order = |index: &ConnectionsByStage, latest| {
        index
            .eviction_order(at(latest))
            .map(|placement| SlotKey::from(placement.connection).get())
            .collect::<Vec<_>>()
    };
    assert_eq!(order(&index, 9), [9, 8, 7, 6, 5, 4, 3]);
    // A closing one makes room at once, the others when they have been in their stage for a while.
    assert_eq!(order(&index, 5), [9, 7, 6, 4, 3]);
    let idle_before = |index: &ConnectionsByStage, before| {
        index
            .in_stage_before(Stage::Idle, at(before))
            .map(|connection| SlotKey::from(connection).get())
            .collect::<Vec<_>>()
    };
    assert_eq!(idle_before(&index, 9), [6]);
    assert_eq!(idle_before(&index, 10), [6, 5]);
    assert_eq!(index.idle_count(), 2);
    // Time counts from when the stage began.
    assert!(!index.record(client(6), Stage::Idle, at(20)));
    assert_eq!(
        index.get(client(6)).map(|placement| placement.since),
        Some(at(3))
    );
    assert!(index.record(client(6), Stage::AwaitingResponse, at(20)));
    assert!(index.record(client(6), Stage::Idle, at(21)));
    index.remove(client(5));
    index.remove(client(5));
    assert_eq!(index.get(client(5)), None);
    assert_eq!((index.idle_count(), idle_before(&index, 99)), (1, vec![6]));
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
        "3.10 / 2.77",
        "errors alone",
        "4.00 outcomes restored from before a restart",
        "ejected endpoints of the candidate: 1",
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
