//! Order of the background jobs, and the budgets that limit them.

mod common;

use std::time::Duration;

use common::at;
use tidescale_policy::types::Timestamp;
use tidescale_snapshot::scheduler::{Budgets, JobId, Scheduler};

const SECOND: Duration = Duration::from_secs(1);

/// A scheduler with budgets of 20 ms of working time and 1 MB written per second.
fn scheduler() -> Scheduler {
    let budgets = Budgets {
        time_per_second: Duration::from_millis(20),
        bytes_per_second: 1_000_000,
    };
    Scheduler::new(budgets, at(0))
}

/// A scheduler with two jobs.
struct TwoJobs {
    scheduler: Scheduler,
    /// Due at 0, with low priority.
    low: JobId,
    /// Due at 500 µs, with high priority.
    high: JobId,
}

impl TwoJobs {
    fn new() -> TwoJobs {
        let mut scheduler = scheduler();
        let low = scheduler.add(1, at(0), SECOND);
        let high = scheduler.add(9, at(500), SECOND);
        TwoJobs {
            scheduler,
            low,
            high,
        }
    }

    /// The jobs after the high-priority one has finished and the time budget is overspent by 20 ms.
    fn with_time_overspent() -> TwoJobs {
        let mut jobs = TwoJobs::new();
        jobs.scheduler.finish(jobs.high, at(500));
        jobs.scheduler
            .record_time(Duration::from_millis(40), at(501));
        jobs
    }
}

#[test]
fn due_job_of_the_highest_priority_runs_first() {
    let TwoJobs {
        mut scheduler,
        low,
        high,
    } = TwoJobs::new();

    assert_eq!(scheduler.next(at(0)), Some(low));
    assert_eq!(scheduler.next(at(500)), Some(high));
    scheduler.finish(high, at(500));
    assert_eq!(scheduler.next(at(501)), Some(low));
    assert_eq!(scheduler.next_wake_up(at(501)), Some(at(501)));
}

#[test]
fn overspent_time_delays_all_jobs_until_the_budget_is_refilled() {
    let TwoJobs {
        mut scheduler,
        high,
        ..
    } = TwoJobs::with_time_overspent();

    // The overspent 20 ms take one second to refill.
    assert_eq!(scheduler.next(at(900_000)), None);
    let wake_up = scheduler.next_wake_up(at(900_000)).unwrap();
    let expected = at(1_000_000)..at(1_000_700);
    assert!(expected.contains(&wake_up), "{wake_up:?}");
    assert_eq!(scheduler.next(wake_up), Some(high));
}

#[test]
fn overspent_bytes_delay_all_jobs_and_a_clock_that_stops_or_goes_back_refills_nothing() {
    let TwoJobs { mut scheduler, .. } = TwoJobs::new();
    let now = at(1_000_500);

    scheduler.record_bytes(3_000_000, now);

    assert_eq!(scheduler.next(now), None);
    assert_eq!(scheduler.next(now - Duration::from_micros(500)), None);
}

#[test]
fn steady_work_uses_the_budget_of_time_and_no_more() {
    let mut scheduler = TwoJobs::with_time_overspent().scheduler;
    scheduler.record_bytes(3_000_000, at(1_000_500));

    let slices = run_slices(&mut scheduler, at(10_000_000), 5 * SECOND);

    // A budget of 20 ms per second allows 200 slices of 100 µs per second. The bucket is full at
    // the start, which allows another 200.
    assert!((900..=1250).contains(&slices), "{slices}");
}

/// Runs slices of 100 µs and 1000 bytes whenever the scheduler allows it. Returns their number.
fn run_slices(scheduler: &mut Scheduler, start: Timestamp, run_time: Duration) -> u32 {
    let slice_time = Duration::from_micros(100);
    let mut now = start;
    let mut slices = 0;
    while now < start + run_time {
        if scheduler.next(now).is_some() {
            slices += 1;
            now = now + slice_time;
            scheduler.record_time(slice_time, now);
            scheduler.record_bytes(1000, now);
        } else {
            let wake_up = scheduler.next_wake_up(now).unwrap();
            now = wake_up.max(now + Duration::from_micros(1));
        }
    }
    slices
}
