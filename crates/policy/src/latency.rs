//! Baseline latency: how long so much work usually takes.

use crate::statistics::DecayingSums;
use crate::types::Timestamp;

/// How long an answer usually takes on endpoints of one class, and at which load that was learned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassBaseline {
    /// Time to answer in microseconds.
    pub latency: f64,
    /// Requests in flight at the endpoint, the one answered included.
    pub load: f64,
}

/// Times to answer by route, and of all routes together, which stand in where little is known of
/// one.
#[derive(Clone, Debug)]
pub struct LatencyBaselines {
    /// Sums of times in microseconds, costs and answers.
    routes: Vec<DecayingSums<3>>,
    all_routes: DecayingSums<3>,
    /// Answers that are needed to say anything.
    min_answers: f64,
}

impl LatencyBaselines {
    /// Nothing known of so many routes; the decay time is in microseconds.
    pub fn new(routes: usize, decay_time: f64, min_answers: f64) -> Self {
        let all_routes = DecayingSums::new(decay_time);
        LatencyBaselines {
            routes: vec![all_routes; routes],
            all_routes,
            min_answers,
        }
    }

    /// Takes an answer.
    pub fn record(&mut self, route: usize, micros: f64, cost: f64, now: Timestamp) {
        self.all_routes.add([micros, cost, 1.0], now);
        self.routes[route].add([micros, cost, 1.0], now);
    }

    /// The usual time in microseconds for so much work, where enough is known.
    pub fn expected(&mut self, route: usize, cost: f64, now: Timestamp) -> Option<f64> {
        let [all_time, all_cost, all_answers] = self.all_routes.read(now);
        let [own_time, own_cost, _] = self.routes[route].read(now);
        if all_answers < self.min_answers {
            return None;
        }
        let prior_cost = self.min_answers * all_cost / all_answers;
        let prior_time = prior_cost * all_time / all_cost;
        Some((own_time + prior_time) / (own_cost + prior_cost) * cost)
    }

    /// The usual time of each route for one unit of cost, infinite where it is not known.
    pub fn expected_per_cost(&mut self, now: Timestamp) -> Vec<f64> {
        let routes = 0..self.routes.len();
        let expected = routes.map(|route| self.expected(route, 1.0, now));
        expected
            .map(|micros| micros.unwrap_or(f64::INFINITY))
            .collect()
    }

    /// Answers known of all routes, as of the last reading.
    pub fn known_answers(&self) -> f64 {
        let [_, _, answers] = self.all_routes.last_read();
        answers
    }

    /// The sums of one route, or of all together where none is named.
    pub fn sums(&mut self, route: Option<usize>) -> Option<&mut DecayingSums<3>> {
        match route {
            Some(route) => self.routes.get_mut(route),
            None => Some(&mut self.all_routes),
        }
    }
}
