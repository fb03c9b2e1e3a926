//! Client traffic during a canary, with a configurable failure rate of the candidate.

use tidescale_policy::types::AttemptOutcome;

use super::{AttemptResultBuilder, Decisions, Exchange, Instance, millis};

/// Traffic of fifty requests per second. A fixed share of the attempts at the candidate, whose
/// endpoints have names that start with `n`, fails; all attempts at the baseline succeed.
#[derive(Clone, Copy, Debug)]
pub struct CanaryTraffic {
    failures_per_ten: u64,
    candidate_attempts: u64,
}

impl CanaryTraffic {
    /// Creates traffic in which `failures_per_ten` of every ten attempts at the candidate fail.
    pub fn new(failures_per_ten: u64) -> CanaryTraffic {
        CanaryTraffic {
            failures_per_ten,
            candidate_attempts: 0,
        }
    }

    /// Returns the number of attempts at the candidate so far.
    pub fn candidate_attempts(&self) -> u64 {
        self.candidate_attempts
    }

    /// Sends one request and reports the result of its first attempt. If that fails, the client
    /// disconnects, so the request is not retried.
    pub fn send(&mut self, instance: &mut Instance, id: u64) -> Decisions {
        let exchange = Exchange::new(id).response_after(millis(10));
        exchange.run(instance, |decisions| self.respond(decisions))
    }

    fn respond(&mut self, decisions: &Decisions) -> AttemptResultBuilder {
        let is_at_candidate = decisions.attempts_at("n") > 0;
        self.candidate_attempts += u64::from(is_at_candidate);
        if is_at_candidate && self.candidate_attempts % 10 < self.failures_per_ten {
            AttemptResultBuilder::new(AttemptOutcome::Failed, millis(10)).client_disconnects()
        } else {
            AttemptResultBuilder::succeeded(millis(10))
        }
    }
}
