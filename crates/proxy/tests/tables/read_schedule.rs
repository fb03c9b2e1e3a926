//! The order in which client connections are read, and the limit on one iteration.

use tidescale_proxy::clients::read_schedule::{MAX_BYTES_PER_ITERATION, ReadSchedule};
use tidescale_proxy::ids::{ClientKey, SlotKey};

fn key(number: u64) -> ClientKey {
    SlotKey::new(number).into()
}

#[test]
fn waiting_and_postponed_connections_come_first_and_each_is_taken_once() {
    let mut schedule = ReadSchedule::default();
    schedule.schedule(key(4));
    schedule.schedule(key(1));
    schedule.schedule(key(4));
    schedule.postpone([key(5), key(3)]);
    schedule.wait_for_buffers(key(9));
    schedule.wait_for_buffers(key(3));

    assert_eq!(schedule.take(), [9, 3, 5, 1, 4].map(key));
    assert_eq!(schedule.take(), []);
}

#[test]
fn iteration_reads_no_more_after_the_limit_until_the_next_one_starts() {
    let mut schedule = ReadSchedule::default();
    schedule.record_read(MAX_BYTES_PER_ITERATION - 1);
    assert!(schedule.may_read_more());

    schedule.record_read(1);
    assert!(!schedule.may_read_more());

    schedule.take();
    assert!(schedule.may_read_more());
}

#[test]
fn connection_that_waits_for_buffers_is_no_work_until_buffers_are_free() {
    let mut schedule = ReadSchedule::default();
    schedule.wait_for_buffers(key(1));

    assert!(schedule.waits_for_buffers(key(1)));
    assert!(!schedule.has_work(false));
    assert!(schedule.has_work(true));

    schedule.postpone([key(2)]);
    assert!(schedule.has_work(false));
}
