//! The events of one batch, sorted by instance.

use std::collections::BTreeMap;

use tidescale_policy::types::Timestamp;
use tidescale_settings::{parse_duration, parse_number};

use crate::endpoint_list::EndpointRows;
use crate::error::AdapterError;
use crate::fields::fields;

/// An event as it was read.
pub struct EventLine {
    /// The whole line.
    pub line: String,
    /// The rows that a `ROSTER_CHANGE` refers to, bound when it was read: the list's number may be
    /// reused later in the batch.
    pub endpoint_rows: Option<EndpointRows>,
}

/// A batch, as far as it was read.
pub struct Batch {
    /// The bench's clock.
    pub now: Timestamp,
    /// Identifies the batch in its acknowledgement.
    pub number: u64,
    /// Events by instance. An instance that was started in this batch has an entry even without
    /// events.
    pub events: BTreeMap<u64, Vec<EventLine>>,
}

impl Batch {
    /// An empty batch with the clock and number of its first line, `MARK <milliseconds> <number>`.
    pub fn begin(line: &str) -> Result<Self, AdapterError> {
        let [clock, number] = match fields(line) {
            Ok(values) if line.starts_with("MARK ") => values,
            _ => {
                return Err(AdapterError::BatchWithoutClock {
                    line: line.to_string(),
                });
            }
        };
        Ok(Batch {
            now: Timestamp::ZERO + parse_duration(clock)?,
            number: parse_number(number)?,
            events: BTreeMap::new(),
        })
    }

    /// Adds an event for an instance.
    pub fn push(&mut self, instance: u64, event_line: EventLine) {
        self.events.entry(instance).or_default().push(event_line);
    }

    /// Drops what was read for an instance before it started or stopped, but keeps it as named.
    pub fn clear(&mut self, instance: u64) {
        self.events.entry(instance).or_default().clear();
    }
}
