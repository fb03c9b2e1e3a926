//! What background work may do when.

mod common;

use std::time::Duration;

use common::at;
use tidescale_snapshot::scheduler::{Budgets, Scheduler};

const SECOND: Duration = Duration::from_secs(1);

fn scheduler() -> Scheduler {
    let budgets = Budgets {
        time_per_second: Duration::from_millis(20),
        bytes_per_second: 1_000_000,
    };
    Scheduler::new(budgets, at(0))
}

#[test]
fn background_work_keeps_to_its_budgets_and_the_order_of_its_jobs() {
    let mut scheduler = scheduler();
    let low = scheduler.add(1, at(0), SECOND);
    let high = scheduler.add(9, at(500), SECOND);
    assert_eq!(scheduler.next(at(0)), Some(low));
    assert_eq!(scheduler.next(at(500)), Some(high));
    scheduler.finish(high, at(500));
    assert_eq!(scheduler.next(at(501)), Some(low));
    assert_eq!(scheduler.next_wake_up(at(501)), Some(at(501)));
    // Overspent by 20 ms of time: worked off in a second, whatever is due.
    scheduler.record_time(Duration::from_millis(40), at(501));
    assert_eq!(scheduler.next(at(900_000)), None);
    let again = scheduler.next_wake_up(at(900_000)).unwrap();
    assert!((at(1_000_000)..at(1_000_700)).contains(&again), "{again:?}");
    assert_eq!(scheduler.next(again), Some(high));
    // Bytes as well; and a clock that stands or goes back earns nothing.
    scheduler.record_bytes(3_000_000, again);
    assert_eq!(scheduler.next(again), None);
    assert_eq!(scheduler.next(again - Duration::from_micros(500)), None);
    let mut now = at(10_000_000);
    let end = now + 5 * SECOND;
    let mut slices = 0;
    while now < end {
        if scheduler.next(now).is_some() {
            slices += 1;
            now = now + Duration::from_micros(100);
            scheduler.record_time(Duration::from_micros(100), now);
            scheduler.record_bytes(1000, now);
        } else {
            let wake_up = scheduler.next_wake_up(now).unwrap();
            now = wake_up.max(now + Duration::from_micros(1));
        }
    }
    // 20 ms a second at 100 µs a slice: 200 a second and what was saved up.
    assert!((900..=1250).contains(&slices), "{slices}");
}
