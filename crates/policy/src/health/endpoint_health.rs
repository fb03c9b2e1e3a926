//! Whether one endpoint responds.

use crate::types::Timestamp;

/// Health checks that an endpoint must pass in a row at first, and while no endpoint is in service.
pub(super) const MIN_PASSES: u32 = 2;
/// The number doubles with each return by health checks up to this: some endpoints pass health
/// checks and fail requests.
const MAX_PASSES: u32 = 16;

/// Whether one endpoint responds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EndpointHealth {
    /// It takes no requests until health checks or a trial request show that it serves.
    pub(super) ejected: bool,
    /// Connections that it refused in a row.
    pub(super) consecutive_refusals: u32,
    /// When it last responded to an attempt.
    pub(super) last_response_at: Timestamp,
    /// It let an attempt pass its latency objective and has not responded since.
    pub(super) unresponsive: bool,
    /// A health check is in flight.
    pub(super) check_in_flight: bool,
    /// When the last health check was sent.
    pub(super) last_check_at: Timestamp,
    /// While ejected: since when, or when a request was last tried there.
    pub(super) last_trial_request_at: Timestamp,
    /// Health checks that it passed in a row.
    pub(super) consecutive_passes: u32,
    /// Health checks that it must pass in a row to return to service.
    passes_required: u32,
}

impl EndpointHealth {
    /// Another process runs at the endpoint.
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

    /// Records the end of a health check. Returns whether the endpoint has returned to service.
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
        let returns = self.ejected && self.consecutive_passes >= required;
        if returns {
            self.return_to_service(now);
            self.passes_required = (self.passes_required * 2).min(MAX_PASSES);
        }
        returns
    }
}
