//! The table of requests that are open, with their attempts.
//!
//! A request stays until it is finished and none of its attempts is in flight any more.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::types::{AttemptResult, Timestamp};

/// The life of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// Sent, and nothing of an answer has come.
    AwaitingResponse {
        /// It has been out for so long that its answer may be lost: another may go out beside it.
        hedge_due: bool,
        /// It has been counted as evidence already, since it took too long or is of no more use.
        evidence_recorded: bool,
    },
    /// Its answer streams to the client, and no time limit applies any more.
    Streaming {
        /// It has been counted as evidence already.
        evidence_recorded: bool,
    },
    /// It has ended.
    Finished {
        /// The endpoint executed the request, or may have.
        may_have_executed: bool,
    },
}

/// Circumstances under which an attempt was sent, which say what its outcome can be compared with.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptConditions {
    /// The endpoint had been up for long enough to be judged.
    pub past_start_up: bool,
    /// The endpoint had its full capacity.
    pub warm: bool,
    /// Requests in flight at the endpoint.
    pub endpoint_load: f64,
    /// The other side of the evaluation had an endpoint in service.
    pub has_concurrent_baseline: bool,
    /// The fleet was in a state that can be compared with the one before the rollout.
    pub comparable_to_baseline: bool,
}

/// One attempt of a request at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Index of the endpoint.
    pub endpoint: usize,
    /// The build that it ran.
    pub build: u32,
    /// The start of its process, as listed when the attempt was sent.
    pub process_started_at: Option<Timestamp>,
    /// When it was sent.
    pub sent_at: Timestamp,
    /// Where it stands.
    pub state: AttemptState,
    /// What was the case when it was sent.
    pub conditions: AttemptConditions,
}

impl Attempt {
    /// It has not ended.
    pub fn in_flight(&self) -> bool {
        !matches!(self.state, AttemptState::Finished { .. })
    }

    /// Another attempt may go out beside it.
    pub fn hedge_due(&self) -> bool {
        matches!(
            self.state,
            AttemptState::AwaitingResponse {
                hedge_due: true,
                ..
            }
        )
    }

    /// It is in flight, and nothing else may be done for its request meanwhile.
    pub fn blocks_request(&self) -> bool {
        self.in_flight() && !self.hedge_due()
    }

    /// The endpoint executed the request, or may have.
    pub fn may_have_executed(&self) -> bool {
        match self.state {
            AttemptState::Finished { may_have_executed } => may_have_executed,
            AttemptState::AwaitingResponse { .. } | AttemptState::Streaming { .. } => true,
        }
    }

    /// It has been counted as evidence.
    pub fn evidence_recorded(&self) -> bool {
        match self.state {
            AttemptState::AwaitingResponse {
                evidence_recorded, ..
            }
            | AttemptState::Streaming { evidence_recorded } => evidence_recorded,
            AttemptState::Finished { .. } => true,
        }
    }
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Index of its route.
    pub route: usize,
    /// The client's idempotency key.
    pub idempotency_key: Option<String>,
    /// How much work it is: as hinted, or the route's latency objective in milliseconds.
    pub cost: f64,
    /// When it came.
    pub arrived_at: Timestamp,
    /// When its client waits no longer.
    pub deadline: Timestamp,
    /// Until when an answer counts in full.
    pub objective_deadline: Timestamp,
    /// Steps of two below the highest priority; higher levels go first.
    pub priority_level: i32,
    /// Its client has its answer or is gone.
    pub finished: bool,
    /// The endpoint that broke off its last attempt, until a health check tells whether it still
    /// runs.
    pub crash_suspect: Option<usize>,
    /// Its attempt went down with its endpoint, which does not run any more: it may bring down the
    /// next.
    pub query_of_death: bool,
    /// Its attempts, by index.
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// One of its attempts has not ended.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::in_flight)
    }

    /// It is open, and another attempt may be made now.
    pub fn awaits_attempt(&self) -> bool {
        !self.finished && !self.attempts.iter().any(Attempt::blocks_request)
    }

    /// Attempts that may have executed it, but for one.
    pub fn executed_attempts(&self, except: Option<usize>) -> impl Iterator<Item = &Attempt> {
        let attempts = self.attempts.iter().enumerate();
        let counts = move |index: usize, attempt: &Attempt| {
            attempt.may_have_executed() && Some(index) != except
        };
        attempts.filter_map(move |(index, attempt)| counts(index, attempt).then_some(attempt))
    }

    /// Something of it was executed, or may have been.
    pub fn may_have_executed(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_executed)
    }
}

/// The order in which requests are served.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ServingOrder {
    priority_level: Reverse<i32>,
    arrived_at: Reverse<Timestamp>,
    id: u64,
}

/// All open requests by id.
#[derive(Debug, Default)]
pub struct Requests {
    by_id: BTreeMap<u64, Request>,
}

impl Requests {
    /// Adds a request.
    pub fn insert(&mut self, id: u64, request: Request) {
        self.by_id.insert(id, request);
    }

    /// The request of this id.
    pub fn get(&self, id: u64) -> Option<&Request> {
        self.by_id.get(&id)
    }

    /// The request of this id, to change it.
    pub fn get_mut(&mut self, id: u64) -> Option<&mut Request> {
        self.by_id.get_mut(&id)
    }

    /// One attempt of a request, to change it.
    pub fn attempt_mut(&mut self, id: u64, index: usize) -> Option<&mut Attempt> {
        self.by_id.get_mut(&id)?.attempts.get_mut(index)
    }

    /// Takes the end of an attempt; the attempt as it was before, if it was in flight.
    pub fn finish_attempt(
        &mut self,
        id: u64,
        index: usize,
        result: AttemptResult,
    ) -> Option<Attempt> {
        let request = self.by_id.get_mut(&id)?;
        let attempt = request.attempts.get_mut(index)?;
        let before = *attempt;
        if !before.in_flight() {
            return None;
        }
        let may_have_executed = !result.outcome.never_executed();
        attempt.state = AttemptState::Finished { may_have_executed };
        request.finished |= result.request_finished;
        request.crash_suspect = None;
        Some(before)
    }

    /// The request's last attempt was broken off, and its endpoint may have gone down with it.
    pub fn suspect_crash(&mut self, id: u64, endpoint: usize) {
        if let Some(request) = self.by_id.get_mut(&id) {
            request.crash_suspect = Some(endpoint);
        }
    }

    /// All requests in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &Request)> {
        self.by_id.iter().map(|(id, request)| (*id, request))
    }

    /// The same, to change them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (u64, &mut Request)> {
        self.by_id.iter_mut().map(|(id, request)| (*id, request))
    }

    /// Ids of the requests that another attempt may be made for: by priority, and the newest first.
    pub fn awaiting_attempt(&self) -> Vec<u64> {
        let waiting = self.iter().filter(|(_, request)| request.awaits_attempt());
        let mut order: Vec<ServingOrder> = waiting
            .map(|(id, request)| ServingOrder {
                priority_level: Reverse(request.priority_level),
                arrived_at: Reverse(request.arrived_at),
                id,
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|waiting| waiting.id).collect()
    }

    /// The next time after `now` at which the objective of a request is missed that has nothing in
    /// flight.
    pub fn next_missed_objective(&self, now: Timestamp) -> Option<Timestamp> {
        let requests = self.by_id.values();
        let waiting =
            requests.filter(|request| !request.finished && !request.has_attempt_in_flight());
        let deadlines = waiting.map(|request| request.objective_deadline);
        deadlines.filter(|deadline| *deadline > now).min()
    }

    /// An attempt in flight whose request is open and whose client still waits.
    pub fn live_attempt(
        &self,
        id: u64,
        index: usize,
        now: Timestamp,
    ) -> Option<(&Request, Attempt)> {
        let request = self.get(id)?;
        let attempt = *request.attempts.get(index)?;
        let is_live = attempt.in_flight() && !request.finished && now < request.deadline;
        is_live.then_some((request, attempt))
    }

    /// The latest build that is being asked for a key.
    pub fn latest_build_asked(&self, key: &str) -> Option<u32> {
        let requests = self.by_id.values();
        let same_key = requests.filter(|other| other.idempotency_key.as_deref() == Some(key));
        let attempts = same_key.flat_map(|other| &other.attempts);
        let in_flight = attempts.filter(|attempt| attempt.in_flight());
        in_flight.map(|attempt| attempt.build).max()
    }

    /// Number of requests.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// No request is open.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Removes a request that is finished and has no attempt in flight.
    pub fn remove_if_done(&mut self, id: u64) {
        let is_done = |request: &Request| request.finished && !request.has_attempt_in_flight();
        if self.get(id).is_some_and(is_done) {
            self.by_id.remove(&id);
        }
    }

    /// Whether a request refers to this endpoint.
    pub fn refer_to(&self, endpoint: usize) -> bool {
        self.by_id.values().any(|request| {
            let attempted = request
                .attempts
                .iter()
                .any(|attempt| attempt.endpoint == endpoint);
            attempted || request.crash_suspect == Some(endpoint)
        })
    }
}
