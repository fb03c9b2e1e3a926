//! Traffic of this instance: what comes in, with its priorities, what is in flight, and what
//! endpoints can bear of it.

use crate::Balancer;
use crate::concurrency::ConcurrencyLimit;
use crate::endpoints::DecayTimes;
use crate::statistics::DecayingSums;

/// The highest priority seen fades by this with each request, so that it can fall again.
const HIGHEST_PRIORITY_DECAY: f64 = 0.99;
/// Sums count as having been added to for at least this long, in microseconds.
pub(crate) const MIN_SPAN: u64 = 1_000_000;

/// Traffic and the limit on it.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// Attempts in flight that take a place.
    pub in_flight: f64,
    /// How many may be in flight in all.
    pub limit: ConcurrencyLimit,
    /// The highest priority of late.
    pub highest_priority: f64,
    /// Requests that came.
    pub arrivals: DecayingSums<1>,
    /// Attempts that were sent.
    pub attempts: DecayingSums<1>,
}

impl Traffic {
    /// No traffic yet, and no limit.
    pub fn new(decay_times: DecayTimes) -> Self {
        let rate = DecayingSums::new(decay_times.rates);
        Traffic {
            in_flight: 0.0,
            limit: ConcurrencyLimit::new(f64::INFINITY, decay_times),
            highest_priority: 0.0,
            arrivals: rate,
            attempts: rate,
        }
    }
}

impl Balancer {
    /// Requests a second that a warm endpoint of the class answers, else one of any class, else an
    /// even part of what comes in.
    pub(crate) fn endpoint_capacity(&mut self, class: usize) -> f64 {
        let now = self.clock.now;
        let classes = self.endpoints.classes.iter_mut();
        let completions: Vec<[f64; 2]> = classes.map(|class| class.completions.read(now)).collect();
        let add = |sum: [f64; 2], class: &[f64; 2]| [sum[0] + class[0], sum[1] + class[1]];
        let all = completions.iter().fold([0.0, 0.0], add);
        let measured = [completions[class], all]
            .into_iter()
            .find(|[_, seconds]| *seconds >= 1.0);
        if let Some([answered, seconds]) = measured {
            return answered / seconds;
        }
        let ready = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.is_ready())
            .count()
            .max(1);
        let arrivals = self.traffic.arrivals.read(now)[0];
        arrivals / self.span_seconds(&self.traffic.arrivals, MIN_SPAN) / ready as f64
    }

    /// Cost of a request and its priority level. Levels are steps of two below the highest
    /// priority: in a jam one of several routes that are nearly alike would go without any service
    /// otherwise.
    pub(crate) fn prioritize(&mut self, route: usize, cost_hint: Option<f64>) -> (f64, i32) {
        let weight = self.settings.routes[route].priority_weight;
        // Where no cost is told, the objective measures it: what takes longer is given longer.
        let objective_millis = self.objective_micros(route) as f64 / 1e3;
        let cost_hint = cost_hint.filter(|hint| *hint > 0.0);
        let (worth, cost) = cost_hint.map_or((1.0, objective_millis), |hint| (hint, hint));
        let expected = self
            .latency
            .expected(route, cost, self.clock.now)
            .unwrap_or(1.0);
        let priority = weight * worth / expected.max(1.0);
        let highest = priority.max(HIGHEST_PRIORITY_DECAY * self.traffic.highest_priority);
        self.traffic.highest_priority = highest;
        (cost, (priority / highest).log2().round() as i32)
    }
}
