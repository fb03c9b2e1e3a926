//! Delivers the events of an instance in one batch to the instance's policy.

use tidescale_policy::{Balancer, EventSource};

use crate::batch::EventLine;
use crate::endpoint_list::EndpointListUpdate;
use crate::error::AdapterError;
use crate::event::Event;
use crate::route_names::RouteNames;

/// Parses and delivers lines in order, up to the first line that cannot be parsed.
pub struct LineEventSource<'a> {
    event_lines: &'a [EventLine],
    routes: &'a RouteNames,
    error: Option<AdapterError>,
}

impl<'a> LineEventSource<'a> {
    /// Creates a source of events for an instance with these routes.
    pub fn new(event_lines: &'a [EventLine], routes: &'a RouteNames) -> Self {
        LineEventSource {
            event_lines,
            routes,
            error: None,
        }
    }

    /// Returns the error if delivery stopped at a line that could not be parsed. To be called after
    /// delivery.
    pub fn into_result(self) -> Result<(), AdapterError> {
        match self.error {
            Some(error) => Err(error),
            None => Ok(()),
        }
    }

    fn parse_and_deliver(&self, policy: &mut Balancer) -> Result<(), AdapterError> {
        for event_line in self.event_lines {
            let event = Event::parse(event_line, self.routes)?;
            deliver_event(event, policy);
        }
        Ok(())
    }
}

impl EventSource for LineEventSource<'_> {
    fn deliver(&mut self, policy: &mut Balancer) {
        self.error = self.parse_and_deliver(policy).err();
    }
}

fn deliver_event(event: Event<'_>, policy: &mut Balancer) {
    match event {
        Event::Request {
            request_id,
            request,
        } => policy.on_request(request_id, request),
        Event::AttemptFinished { attempt, result } => policy.on_attempt_result(attempt, result),
        Event::ClientDisconnected { request_id } => policy.on_client_disconnected(request_id),
        Event::ResponseStarted { attempt } => policy.on_response_started(attempt),
        Event::HealthCheckFinished {
            endpoint,
            outcome,
            load,
        } => policy.on_health_check(endpoint, outcome, load),
        Event::ResponseFlagged { endpoint, age } => policy.on_response_flagged(endpoint, age),
        Event::Rollout {
            vote_result,
            status,
        } => {
            if let Some(vote_result) = vote_result {
                policy.on_vote_result(vote_result);
            }
            if let Some(status) = status {
                policy.on_rollout_status(status);
            }
        }
        Event::EndpointList(update) => deliver_endpoint_list(update, policy),
        Event::Unused => {}
    }
}

fn deliver_endpoint_list(update: EndpointListUpdate<'_>, policy: &mut Balancer) {
    let entries = match update {
        EndpointListUpdate::Complete(entries) => {
            policy.on_complete_endpoint_list();
            entries
        }
        EndpointListUpdate::Changes(entries) => entries,
        EndpointListUpdate::Failed => {
            policy.on_endpoint_list_failed();
            return;
        }
    };
    for entry in entries {
        policy.on_endpoint(entry);
    }
}
