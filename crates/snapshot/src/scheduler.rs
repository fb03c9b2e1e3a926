//! Selects the background job that runs next: the due job with the highest priority, provided that
//! neither the time budget nor the byte budget is exhausted. It does not run jobs itself: the
//! caller runs one slice of work and reports the time and bytes used.

use std::cmp::Reverse;
use std::time::Duration;

use tidescale_policy::types::{Timestamp, fractional_micros};

use crate::rate_limit::RateLimit;

/// Limits on background work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budgets {
    /// Working time per second.
    pub time_per_second: Duration,
    /// Bytes written per second.
    pub bytes_per_second: u64,
}

/// Identifies a job within the scheduler that returned the id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobId(usize);

struct Job {
    /// Of the due jobs, the one with the highest value runs first.
    priority: u8,
    interval: Duration,
    due_at: Timestamp,
}

/// The jobs and the budgets that they share.
pub struct Scheduler {
    jobs: Vec<Job>,
    /// Time budget; one token is one microsecond of working time.
    time: RateLimit,
    /// Byte budget; one token is one byte written.
    bytes: RateLimit,
}

impl Scheduler {
    /// Creates a scheduler without jobs and with full budgets.
    pub fn new(budgets: Budgets, now: Timestamp) -> Scheduler {
        let micros_per_second = fractional_micros(budgets.time_per_second);
        Scheduler {
            jobs: Vec::new(),
            time: RateLimit::new(micros_per_second, now),
            bytes: RateLimit::new(budgets.bytes_per_second as f64, now),
        }
    }

    /// Adds a job that is first due at `first_due_at`, and then `interval` after each time it
    /// finishes. Of the due jobs with the highest priority, the one that has been due the longest
    /// runs first.
    pub fn add(&mut self, priority: u8, first_due_at: Timestamp, interval: Duration) -> JobId {
        self.jobs.push(Job {
            priority,
            interval,
            due_at: first_due_at,
        });
        JobId(self.jobs.len() - 1)
    }

    /// Returns the job that may run one slice of its work now; `None` if no job is due or a budget
    /// is exhausted.
    pub fn next(&mut self, now: Timestamp) -> Option<JobId> {
        if !self.budget_wait(now).is_zero() {
            return None;
        }
        let due_jobs = self.jobs.iter().enumerate();
        due_jobs
            .filter(|(_, job)| job.due_at <= now)
            .max_by_key(|(index, job)| (job.priority, Reverse((job.due_at, *index))))
            .map(|(index, _)| JobId(index))
    }

    /// Charges the working time of a slice to the time budget.
    pub fn record_time(&mut self, time: Duration, now: Timestamp) {
        self.time.spend(fractional_micros(time), now);
    }

    /// Charges bytes written to the byte budget.
    pub fn record_bytes(&mut self, bytes: usize, now: Timestamp) {
        self.bytes.spend(bytes as f64, now);
    }

    /// Marks the job as done: it is due again after its interval.
    pub fn finish(&mut self, job: JobId, now: Timestamp) {
        if let Some(job) = self.jobs.get_mut(job.0) {
            job.due_at = now + job.interval;
        }
    }

    /// Returns the earliest time at which [`next`](Scheduler::next) may return a job; `None`
    /// without jobs.
    pub fn next_wake_up(&mut self, now: Timestamp) -> Option<Timestamp> {
        let first_due_at = self.jobs.iter().map(|job| job.due_at).min()?;
        Some(first_due_at.max(now + self.budget_wait(now)))
    }

    /// Returns the time until both budgets have tokens again.
    fn budget_wait(&mut self, now: Timestamp) -> Duration {
        self.time.wait(now).max(self.bytes.wait(now))
    }
}
