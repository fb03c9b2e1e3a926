//! One proxy instance of the bench: its policy, and the names that its lines use.

use tidescale_policy::Balancer;
use tidescale_policy::types::{Timestamp, whole_micros};
use tidescale_settings::{RawSettings, decode, parse_number};

use crate::batch::EventLine;
use crate::decision_writer::DecisionWriter;
use crate::error::AdapterError;
use crate::event_source::LineEvents;

/// A running instance.
pub struct Instance {
    policy: Balancer,
    /// Names of the routes, by index.
    route_names: Vec<String>,
}

impl Instance {
    /// Starts an instance as its line says: `SPAWN <seed> <settings>`.
    pub fn spawn(line: &str, now: Timestamp) -> Result<Self, AdapterError> {
        let mut parts = line.splitn(3, ' ').skip(1);
        let seed = parts.next().ok_or(AdapterError::SpawnWithoutSeed)?;
        let seed = parse_number(seed)?;
        let settings = parts.next().ok_or(AdapterError::SpawnWithoutSettings)?;
        let raw = parse_raw_settings(settings)?;
        check_answer_slack(&raw)?;
        let settings = decode(&raw)?;
        let route_names = settings
            .routes
            .iter()
            .map(|route| route.name.clone())
            .collect();
        Ok(Instance {
            policy: Balancer::new(settings, seed, now),
            route_names,
        })
    }

    /// Delivers events and appends the decisions to the reply.
    pub fn step(
        &mut self,
        now: Timestamp,
        event_lines: &[EventLine],
        reply: &mut String,
    ) -> Result<(), AdapterError> {
        let mut events = LineEvents::new(event_lines, &self.route_names);
        let mut decisions = DecisionWriter::new(reply);
        self.policy.step(now, &mut events, &mut decisions);
        events.finish()
    }
}

/// Parses settings as the bench writes them: `PATH=TEXT`, separated by spaces.
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

/// Refuses a slack for answers that is shorter than the bench's tick, which may be left out. The
/// policy acts in the very step in which something falls due, and on the bench nothing is added to
/// the slack; on sockets 50 ms are.
fn check_answer_slack(raw: &RawSettings) -> Result<(), AdapterError> {
    let slack = raw.duration("rules.answer_slack")?;
    match raw.duration("tick") {
        Ok(tick) if slack < tick => Err(AdapterError::AnswerSlackBelowTick {
            slack_micros: whole_micros(slack),
        }),
        _ => Ok(()),
    }
}
