//! One proxy instance of the bench: its policy, and the names of its routes.

use tidescale_policy::Balancer;
use tidescale_policy::types::Timestamp;
use tidescale_settings::{RawSettings, decode_policy_settings, parse_number};

use crate::batch::EventLine;
use crate::decision_writer::DecisionWriter;
use crate::error::AdapterError;
use crate::event_source::LineEvents;
use crate::route_names::RouteNames;

/// A running instance.
pub struct Instance {
    policy: Balancer,
    routes: RouteNames,
}

impl Instance {
    /// Starts an instance by its line, `SPAWN <seed> <settings>`.
    pub fn spawn(line: &str, now: Timestamp) -> Result<Self, AdapterError> {
        let mut parts = line.splitn(3, ' ').skip(1);
        let seed = parts.next().ok_or(AdapterError::SpawnWithoutSeed)?;
        let seed = parse_number(seed)?;
        let settings = parts.next().ok_or(AdapterError::SpawnWithoutSettings)?;
        let raw = parse_raw_settings(settings)?;
        check_answer_slack(&raw)?;
        let settings = decode_policy_settings(&raw)?;
        Ok(Instance {
            routes: RouteNames::of(&settings),
            policy: Balancer::new(settings, seed, now),
        })
    }

    /// Delivers events and appends the decisions to the reply.
    pub fn step(
        &mut self,
        now: Timestamp,
        event_lines: &[EventLine],
        reply: &mut String,
    ) -> Result<(), AdapterError> {
        let mut events = LineEvents::new(event_lines, &self.routes);
        let mut decisions = DecisionWriter::new(reply);
        self.policy.step(now, &mut events, &mut decisions);
        events.finish()
    }
}

/// Parses settings of the form `PATH=TEXT`, separated by spaces.
fn parse_raw_settings(text: &str) -> Result<RawSettings, AdapterError> {
    text.split(' ')
        .filter(|setting| !setting.is_empty())
        .map(|setting| match setting.split_once('=') {
            Some((path, value)) => Ok((path.to_string(), value.to_string())),
            None => Err(AdapterError::NotASetting {
                text: setting.to_string(),
            }),
        })
        .collect()
}

/// Refuses an answer slack that is shorter than the bench's tick; the setting of the tick is
/// optional. The policy acts in the step in which a deadline passes. On the bench nothing is added
/// to the slack, so it has to cover the time between two steps; the proxy on sockets adds 50 ms.
fn check_answer_slack(raw: &RawSettings) -> Result<(), AdapterError> {
    let slack = raw.duration("rules.answer_slack")?;
    match raw.duration("tick") {
        Ok(tick) if slack < tick => Err(AdapterError::AnswerSlackBelowTick { slack }),
        _ => Ok(()),
    }
}
