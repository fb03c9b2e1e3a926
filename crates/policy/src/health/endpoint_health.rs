//! Health of one endpoint.

use crate::types::Timestamp;

/// Number of consecutive health checks that an endpoint must pass to return to service, initially
/// and in panic mode.
pub(super) const MIN_PASSES: u32 = 2;
/// Upper bound of the required number of passes, which doubles with each return by health checks
/// because some endpoints pass health checks and fail requests.
const MAX_PASSES: u32 = 16;

/// Health of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EndpointHealth {
    /// Whether the endpoint is ejected: it takes no requests until health checks or a trial request
    /// show that it serves requests.
    pub(super) ejected: bool,
    /// Refused connections since the last response or return to service.
    pub(super) consecutive_refusals: u32,
    /// When the endpoint last responded to an attempt or returned to service.
    pub(super) last_response_at: Timestamp,
    /// Whether an attempt has missed its latency objective with no response from the endpoint since
    /// it was sent.
    pub(super) unresponsive: bool,
    pub(super) check_in_flight: bool,
    /// When the last health check was sent or the endpoint was ejected, whichever was later.
    pub(super) last_check_at: Timestamp,
    /// When the last trial request was sent or the endpoint was ejected, whichever was later.
    pub(super) last_trial_request_at: Timestamp,
    /// Health checks passed in a row.
    pub(super) consecutive_passes: u32,
    /// Health checks that the endpoint must pass in a row to return to service.
    passes_required: u32,
}

impl EndpointHealth {
    /// Returns the endpoint to service because a new process runs there, and resets the number of
    /// health checks that it must pass after its next ejection.
    pub(super) fn record_process_start(&mut self, now: Timestamp) {
        self.return_to_service(now);
        self.passes_required = MIN_PASSES;
    }

    /// Takes the endpoint out of service.
    pub(super) fn eject(&mut self, now: Timestamp) {
        self.ejected = true;
        self.consecutive_passes = 0;
        self.last_check_at = now;
        self.last_trial_request_at = now;
    }

    /// Puts the endpoint back into service.
    pub(super) fn return_to_service(&mut self, now: Timestamp) {
        self.ejected = false;
        self.last_response_at = now;
        self.consecutive_refusals = 0;
    }

    /// Records the outcome of a health check. Returns whether the endpoint returns to service.
    pub(super) fn record_check(&mut self, passed: bool, panic_mode: bool, now: Timestamp) -> bool {
        self.check_in_flight = false;
        self.consecutive_passes = if passed {
            self.consecutive_passes + 1
        } else {
            0
        };
        let required = if panic_mode {
            MIN_PASSES
        } else {
            self.passes_required
        };
        let returns_to_service = self.ejected && self.consecutive_passes >= required;
        if returns_to_service {
            self.return_to_service(now);
            self.passes_required = (self.passes_required * 2).min(MAX_PASSES);
        }
        returns_to_service
    }
}
