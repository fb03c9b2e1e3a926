//! The events of one batch, sorted by instance.

use std::collections::BTreeMap;

use tidescale_policy::types::Timestamp;
use tidescale_settings::parse_duration;

use crate::endpoint_list::EndpointRows;
use crate::error::AdapterError;
use crate::fields::fields;
use crate::numbers::{BatchNumber, InstanceNumber};

/// An event that is not parsed yet.
pub struct EventLine {
    /// The whole line.
    pub line: String,
    /// The rows that a `ROSTER_CHANGE` refers to. They are looked up when its line is read, because
    /// the list's number may be reused later in the batch.
    pub endpoint_rows: Option<EndpointRows>,
}

/// The lines of a batch that were read so far.
pub struct Batch {
    /// The bench's clock.
    pub now: Timestamp,
    /// Identifies the batch in its acknowledgement.
    pub number: BatchNumber,
    /// Events by instance. An instance that was started in this batch has an entry even without
    /// events.
    pub events: BTreeMap<InstanceNumber, Vec<EventLine>>,
}

impl Batch {
    /// An empty batch with the clock and number of its first line, `MARK <milliseconds> <number>`.
    pub fn parse_header(line: &str) -> Result<Self, AdapterError> {
        let [clock, number] = match fields(line) {
            Ok(values) if line.starts_with("MARK ") => values,
            _ => {
                return Err(AdapterError::MissingBatchHeader {
                    line: line.to_string(),
                });
            }
        };
        Ok(Batch {
            now: Timestamp::ZERO + parse_duration(clock)?,
            number: BatchNumber::parse(number)?,
            events: BTreeMap::new(),
        })
    }

    /// Adds an event for an instance.
    pub fn push_event(&mut self, instance: InstanceNumber, event_line: EventLine) {
        self.events.entry(instance).or_default().push(event_line);
    }

    /// Drops the events that were read for an instance before it started or stopped. The batch
    /// still names the instance.
    pub fn clear_events(&mut self, instance: InstanceNumber) {
        self.events.entry(instance).or_default().clear();
    }
}
