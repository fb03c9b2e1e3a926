//! One simulated proxy instance: its policy and the names of its routes.

use tidescale_policy::Balancer;
use tidescale_policy::types::Timestamp;
use tidescale_settings::{RawSettings, decode_policy_settings, parse_number};

use crate::batch::EventLine;
use crate::decision_writer::DecisionWriter;
use crate::error::AdapterError;
use crate::event_source::LineEventSource;
use crate::route_names::RouteNames;

/// A running instance.
pub struct Instance {
    policy: Balancer,
    routes: RouteNames,
}

impl Instance {
    /// Starts an instance from its line, `SPAWN <seed> <settings>`.
    pub fn spawn(line: &str, now: Timestamp) -> Result<Self, AdapterError> {
        let mut parts = line.splitn(3, ' ').skip(1);
        let seed = parts.next().ok_or(AdapterError::MissingSeed)?;
        let seed = parse_number(seed)?;
        let settings = parts.next().ok_or(AdapterError::MissingSettings)?;
        let raw = parse_raw_settings(settings)?;
        check_answer_slack(&raw)?;
        let settings = decode_policy_settings(&raw)?;
        Ok(Instance {
            routes: RouteNames::from_settings(&settings),
            policy: Balancer::new(settings, seed, now),
        })
    }

    /// Delivers events to the policy and appends its decisions to the reply.
    pub fn step(
        &mut self,
        now: Timestamp,
        event_lines: &[EventLine],
        reply: &mut String,
    ) -> Result<(), AdapterError> {
        let mut events = LineEventSource::new(event_lines, &self.routes);
        let mut decisions = DecisionWriter::new(reply);
        self.policy.step(now, &mut events, &mut decisions);
        events.into_result()
    }
}

/// Parses settings of the form `PATH=TEXT` that are separated by spaces.
fn parse_raw_settings(text: &str) -> Result<RawSettings, AdapterError> {
    text.split(' ')
        .filter(|setting| !setting.is_empty())
        .map(|setting| match setting.split_once('=') {
            Some((path, value)) => Ok((path.to_string(), value.to_string())),
            None => Err(AdapterError::MalformedSetting {
                text: setting.to_string(),
            }),
        })
        .collect()
}

/// Rejects an answer slack, the time by which a response may miss its deadline, that is shorter
/// than the simulator's tick, if there is a setting for the tick. The policy acts on a deadline in
/// the step in which it passes, so the slack has to cover the time between two steps. The adapter
/// adds nothing to the configured slack, whereas the proxy on sockets adds 50 ms.
fn check_answer_slack(raw: &RawSettings) -> Result<(), AdapterError> {
    let slack = raw.duration("rules.answer_slack")?;
    match raw.duration("tick") {
        Ok(tick) if slack < tick => Err(AdapterError::AnswerSlackBelowTick { slack }),
        _ => Ok(()),
    }
}
