//! A request and the result of its first attempt.

use std::time::Duration;

use super::{AttemptResultBuilder, Decisions, IDEMPOTENT, Instance, RequestBuilder, millis};

/// A request, delivered in one step, and the result of its first attempt, delivered in the next.
#[derive(Clone, Copy, Debug)]
pub struct Exchange<'a> {
    id: u64,
    request: RequestBuilder<'a>,
    pause: Duration,
    response_after: Option<Duration>,
}

impl<'a> Exchange<'a> {
    /// Creates the exchange of a request on the idempotent route, sent 10 ms after the previous
    /// step.
    pub fn new(id: u64) -> Exchange<'a> {
        Exchange {
            id,
            request: RequestBuilder::new(IDEMPOTENT),
            pause: millis(10),
            response_after: None,
        }
    }

    pub fn request(mut self, request: RequestBuilder<'a>) -> Self {
        self.request = request;
        self
    }

    /// Sets the time from the previous step to the step of the request.
    pub fn pause(mut self, pause: Duration) -> Self {
        self.pause = pause;
        self
    }

    /// Sets the time from the request to the step that reports the result; by default, the
    /// attempt's duration.
    pub fn response_after(mut self, response_after: Duration) -> Self {
        self.response_after = Some(response_after);
        self
    }

    /// Sends the request and reports the result of its first attempt, which `respond` chooses from
    /// the decisions of the request's step. Returns the decisions of both steps.
    pub fn run(
        self,
        instance: &mut Instance,
        respond: impl FnOnce(&Decisions) -> AttemptResultBuilder,
    ) -> Decisions {
        let mut decisions = instance.step(self.pause, |policy| self.request.send(policy, self.id));
        let result = respond(&decisions);
        let response_after = self.response_after.unwrap_or(result.duration());
        decisions.append(instance.step(response_after, |policy| result.report(policy, self.id)));
        decisions
    }
}
