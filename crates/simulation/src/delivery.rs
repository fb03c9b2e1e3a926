//! The host's event source, which delivers the events of one step as calls on an instance's policy.

use std::cell::RefCell;

use tidescale_policy::types::{
    AttemptOutcome, AttemptResult, EndpointEntry, IncomingRequest, LoadReport, RouteIndex,
};
use tidescale_policy::{Balancer, EventSource};

use crate::clients::ClientRequest;
use crate::environment::Environment;
use crate::events::{AttemptFinished, Notification, ResponseFlagged};
use crate::ids::{EndpointId, InstanceIndex};
use crate::parameters::{REQUEST_DEADLINE, ROUTES};
use crate::settings::{hardware_class_name, zone_name};

/// The events of one instance in one step. The event source borrows the environment during delivery
/// and the decision sink borrows it afterwards, never both at the same time.
pub(crate) struct InstanceEventSource<'a, 'env> {
    environment: &'a RefCell<&'env mut Environment>,
    instance: InstanceIndex,
    notifications: Vec<Notification>,
}

impl<'a, 'env> InstanceEventSource<'a, 'env> {
    /// Creates the event source of an instance from its notifications, which are in order.
    pub(crate) fn new(
        environment: &'a RefCell<&'env mut Environment>,
        instance: InstanceIndex,
        notifications: Vec<Notification>,
    ) -> Self {
        InstanceEventSource {
            environment,
            instance,
            notifications,
        }
    }
}

impl EventSource for InstanceEventSource<'_, '_> {
    fn deliver(&mut self, policy: &mut Balancer) {
        let mut environment = self.environment.borrow_mut();
        let mut delivery = Delivery {
            environment: &mut environment,
            policy,
            instance: self.instance,
        };
        for notification in std::mem::take(&mut self.notifications) {
            delivery.deliver(notification);
        }
    }
}

/// Borrows of everything that the delivery of one step's events needs.
struct Delivery<'a> {
    environment: &'a mut Environment,
    policy: &'a mut Balancer,
    instance: InstanceIndex,
}

impl Delivery<'_> {
    fn deliver(&mut self, notification: Notification) {
        let now = self.environment.now;
        match notification {
            Notification::RequestArrived => self.on_request_arrived(),
            Notification::ClientRetry(retry) => self.send_request(retry.route, true),
            Notification::AttemptFinished(finished) => self.on_attempt_finished(&finished),
            Notification::EndpointListed(endpoint) => self.on_endpoint_listed(endpoint),
            Notification::RolloutAnnounced(announcement) => {
                self.policy.on_rollout_status(announcement.status(now));
            }
            Notification::VoteAnswered(result) => self.policy.on_vote_result(result),
            Notification::ResponseFlagged(flagged) => {
                let name = &self.environment.fleet.endpoint(flagged.endpoint).name;
                self.policy.on_response_flagged(name, now - flagged.sent_at);
            }
            Notification::HealthCheckFinished(finished) => {
                let name = &self.environment.fleet.endpoint(finished.endpoint).name;
                self.policy.on_health_check(name, finished.outcome, None);
            }
        }
    }

    fn on_request_arrived(&mut self) {
        let pattern = self.environment.traffic_pattern();
        let route = self.environment.clients.draw_route(pattern);
        self.send_request(route, false);
        let until_next = self
            .environment
            .clients
            .draw_next_arrival(self.instance, pattern);
        let next_at = self.environment.now + until_next;
        self.environment
            .network
            .queue
            .notify(next_at, self.instance, Notification::RequestArrived);
    }

    fn send_request(&mut self, route: RouteIndex, is_retry: bool) {
        let id = self.environment.record_request(ClientRequest {
            instance: self.instance,
            route,
            arrived_at: self.environment.now,
            is_retry,
        });
        let key = self.environment.idempotency_key(id);
        let request = IncomingRequest {
            route,
            idempotency_key: key.as_deref(),
            time_remaining: REQUEST_DEADLINE,
            cost_hint: None,
        };
        self.policy.on_request(id, request);
    }

    fn on_attempt_finished(&mut self, finished: &AttemptFinished) {
        let now = self.environment.now;
        let succeeded = finished.outcome == AttemptOutcome::Succeeded;
        let Some(progress) = self
            .environment
            .clients
            .end_attempt(finished.attempt.request, succeeded)
        else {
            return;
        };
        if self.is_candidate_failure(finished) {
            self.environment
                .rollout
                .on_candidate_failure(self.instance, now);
        }
        if progress.answers_request {
            self.on_request_answered(progress.request, finished);
        }
        let load_reported = succeeded && self.environment.network.draw_load_report_arrives();
        let load = load_reported.then_some(LoadReport {
            in_flight: Some(finished.reported_in_flight as f64),
            queued: None,
        });
        let result = AttemptResult {
            outcome: finished.outcome,
            duration: now - finished.sent_at,
            request_finished: progress.request_finished,
            load,
        };
        self.policy.on_attempt_result(finished.attempt, result);
    }

    fn is_candidate_failure(&self, finished: &AttemptFinished) -> bool {
        let failed = matches!(
            finished.outcome,
            AttemptOutcome::Failed | AttemptOutcome::TimedOut
        );
        failed
            && self
                .environment
                .fleet
                .endpoint(finished.endpoint)
                .runs_candidate()
    }

    /// Counts a correct answer within the latency objective as served. The client may flag a
    /// wrong response later.
    fn on_request_answered(&mut self, request: ClientRequest, finished: &AttemptFinished) {
        let now = self.environment.now;
        if finished.wrong_answer {
            self.flag_wrong_response(finished);
            return;
        }
        let route = &ROUTES[request.route.get()];
        if now <= request.arrived_at + route.latency_objective {
            self.environment
                .served_weight
                .add_served(request.arrived_at, route.priority_weight);
        }
    }

    fn flag_wrong_response(&mut self, finished: &AttemptFinished) {
        if !self.environment.attempts.draw_flagged() {
            return;
        }
        let at = self.environment.now + self.environment.network.draw_flag_delay();
        let flagged = ResponseFlagged {
            endpoint: finished.endpoint,
            sent_at: finished.sent_at,
        };
        self.environment.network.queue.notify(
            at,
            self.instance,
            Notification::ResponseFlagged(flagged),
        );
    }

    fn on_endpoint_listed(&mut self, id: EndpointId) {
        let endpoint = self.environment.fleet.endpoint(id);
        let zone = zone_name(endpoint.placement.zone);
        let hardware_class = hardware_class_name(endpoint.placement.hardware_class);
        self.policy.on_endpoint(EndpointEntry {
            name: &endpoint.name,
            zone: &zone,
            cell: 0,
            hardware_class: &hardware_class,
            build: endpoint.build,
            state: endpoint.state,
            started_at: endpoint.started_at,
        });
    }
}
