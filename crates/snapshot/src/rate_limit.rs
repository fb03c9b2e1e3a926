//! Background work in slices: whichever job is due and matters most goes next, as far as the budgets of time and
//! bytes allow. It says what may run and never runs anything; who asks measures what a slice took.

/// So much a second, saved up for at most a second; what was overdrawn is worked off first.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    a_second: f64,
    has: f64,
    at: u64,
}

impl Budget {
    pub fn new(a_second: f64, now: u64) -> Budget {
        Budget {
            a_second,
            has: a_second,
            at: now,
        }
    }
    fn read(&mut self, now: u64) -> f64 {
        let passed = now.saturating_sub(self.at) as f64 / 1e6;
        (self.has, self.at) = (
            (self.has + passed * self.a_second).min(self.a_second),
            now.max(self.at),
        );
        self.has
    }
    fn spend(&mut self, what: f64, now: u64) {
        self.has = self.read(now) - what;
    }
    /// How long until there is something again.
    fn wait(&mut self, now: u64) -> u64 {
        let missing = -self.read(now);
        if missing < 0.0 {
            0
        } else {
            (missing / self.a_second.max(1e-9) * 1e6).min(1e12) as u64 + 1
        }
    }
}

struct Job {
    /// The higher goes first.
    priority: u8,
    every: u64,
    due: u64,
}

/// Jobs by number, in the order they were added.
pub struct Schedule {
    jobs: Vec<Job>,
    time: Budget,
    bytes: Budget,
}

impl Schedule {
    /// `time`: microseconds a second; `bytes`: a second.
    pub fn new(time: f64, bytes: f64, now: u64) -> Schedule {
        Schedule {
            jobs: Vec::new(),
            time: Budget::new(time, now),
            bytes: Budget::new(bytes, now),
        }
    }

    /// Due for the first time after `first`, then each `every` from its last end on.
    pub fn add(&mut self, priority: u8, first: u64, every: u64) -> usize {
        self.jobs.push(Job {
            priority,
            every,
            due: first,
        });
        self.jobs.len() - 1
    }

    /// The job that may do one slice now.
    pub fn next(&mut self, now: u64) -> Option<usize> {
        if self.time.wait(now) > 0 || self.bytes.wait(now) > 0 {
            return None;
        }
        let due = self.jobs.iter().enumerate().filter(|(_, j)| j.due <= now);
        due.max_by_key(|(n, j)| (j.priority, std::cmp::Reverse((j.due, *n))))
            .map(|(n, _)| n)
    }

    pub fn spent(&mut self, time: u64, bytes: usize, now: u64) {
        self.time.spend(time as f64, now);
        self.bytes.spend(bytes as f64, now);
    }

    /// The job has come to its end, or has to wait for something: it is due again after its time.
    pub fn ended(&mut self, job: usize, now: u64) {
        self.jobs[job].due = now + self.jobs[job].every;
    }

    /// When `next` is worth asking again.
    pub fn wake_at(&mut self, now: u64) -> Option<u64> {
        let due = self.jobs.iter().map(|j| j.due).min()?;
        Some(due.max(now + self.time.wait(now).max(self.bytes.wait(now))))
    }
}
