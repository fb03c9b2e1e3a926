//! Runs the policy and the observer over one random history.

use std::time::Duration;

use tidescale_policy::Balancer;
use tidescale_policy::settings::Settings;

use super::model::Observer;
use super::violation::Violation;
use crate::harness::{DecisionRecorder, START, millis};

/// The longest time between two steps.
pub const MAX_STEP_INTERVAL: Duration = millis(7);
/// The number of steps in a history.
const STEPS_PER_HISTORY: usize = 1500;

/// Runs a policy with one set of settings and checks its decisions against another, usually the
/// same.
pub struct HistoryRunner {
    pub policy_settings: Settings,
    pub observer_settings: Settings,
}

impl HistoryRunner {
    /// Runs the history with this seed. Returns the first violation of a rule.
    pub fn run(&self, seed: u64) -> Option<Violation> {
        let mut observer = Observer::new(self.observer_settings.clone(), seed);
        let mut policy = Balancer::new(self.policy_settings.clone(), seed, START);
        for _ in 0..STEPS_PER_HISTORY {
            let mut recorder = DecisionRecorder::default();
            policy.step(observer.now, &mut observer, &mut recorder);
            for decision in recorder.recorded {
                observer.observe(decision);
            }
            observer.check_overdue();
            if observer.violation.is_some() {
                break;
            }
            let pause = 1 + observer.random.rand_u64() % MAX_STEP_INTERVAL.as_micros() as u64;
            observer.now = observer.now + Duration::from_micros(pause);
        }
        observer.violation
    }
}
