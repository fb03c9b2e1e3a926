//! Admission: which requests are served, and which are rejected.

use std::time::Duration;

use crate::Balancer;
use crate::host::DecisionSink;
use crate::requests::Request;
use crate::types::whole_micros;

impl Balancer {
    /// Gives each request that waits an endpoint, or its answer where none can serve it in time.
    pub(super) fn serve_requests(&mut self, sink: &mut dyn DecisionSink) {
        // Where one request finds no endpoint, no other first attempt of its route does: a jam must
        // not cost CPU too.
        let mut is_full = vec![false; self.settings.routes.len()];
        for id in self.requests.awaiting_attempt() {
            if self.give_up_if_hopeless(id, sink) {
                continue;
            }
            let Some(request) = self.requests.get(id) else {
                continue;
            };
            let route = request.route;
            let like_others = request.attempts.is_empty() && !self.settings.monotonic_key_builds;
            if let Some(endpoint) = request.crash_suspect {
                self.check_endpoint(endpoint, sink);
            } else if self.traffic.limit.admits(self.traffic.in_flight)
                && !(like_others && is_full[route])
            {
                match self.choose_endpoint(id) {
                    Some(endpoint) => self.start_attempt(id, endpoint, sink),
                    None => is_full[route] |= like_others,
                }
            }
        }
    }

    /// Answers a request that cannot meet its objective any more or that no endpoint may take;
    /// whether there is nothing more to do for it now.
    fn give_up_if_hopeless(&mut self, id: u64, sink: &mut dyn DecisionSink) -> bool {
        let Some(request) = self.requests.get(id) else {
            return true;
        };
        let (route, cost) = (request.route, request.cost);
        let now = self.clock.now;
        let expected = self.latency.expected(route, cost, now).unwrap_or(0.0) as u64;
        let objective = self.objective_micros(route);
        // At most half the objective: else a jam would reject all on arrival, and nothing be
        // learned again.
        let needed = Duration::from_micros((expected * 3 / 2).min(objective / 2));
        let is_late = now + needed >= request.objective_deadline;
        let may_attempt = |endpoint| self.may_attempt(request, endpoint);
        if !is_late && self.endpoints.iter().any(may_attempt) {
            return false;
        }
        if request.has_attempt_in_flight() {
            return true;
        }
        if self.may_be_sent_again(request) {
            let retry_after = whole_micros(self.settings.max_retry_after).min(objective / 2);
            sink.reject_request(id, Duration::from_micros(retry_after));
        } else {
            sink.fail_request(id);
        }
        self.on_client_disconnected(id);
        true
    }

    /// Its client may repeat the request without harm.
    fn may_be_sent_again(&self, request: &Request) -> bool {
        let idempotency = self.settings.routes[request.route].idempotency;
        idempotency.is_safe_everywhere() || !request.may_have_executed()
    }
}
