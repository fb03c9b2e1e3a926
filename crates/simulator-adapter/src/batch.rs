//! The events of one batch, grouped by instance.

use std::collections::BTreeMap;

use tidescale_policy::types::Timestamp;
use tidescale_settings::parse_duration;

use crate::endpoint_list::EndpointRows;
use crate::error::AdapterError;
use crate::fields::fields;
use crate::numbers::{BatchNumber, InstanceNumber};

/// An event that has not been parsed yet.
pub struct EventLine {
    /// The whole line.
    pub line: String,
    /// The rows that a `ROSTER_CHANGE` refers to; `None` for other events and unknown lists. They
    /// are looked up when the line is read, because the list number may be reused later in the
    /// batch.
    pub endpoint_rows: Option<EndpointRows>,
}

/// The part of a batch that has been read so far.
pub struct Batch {
    /// Time on the simulator's clock.
    pub now: Timestamp,
    /// Number that the acknowledgement repeats.
    pub number: BatchNumber,
    /// Events by instance. An instance that was started in this batch has an entry even if it has
    /// no events, so that it is stepped.
    pub events: BTreeMap<InstanceNumber, Vec<EventLine>>,
}

impl Batch {
    /// Creates an empty batch from its first line, `MARK <milliseconds> <batch number>`.
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

    /// Appends an event to those of an instance.
    pub fn push_event(&mut self, instance: InstanceNumber, event_line: EventLine) {
        self.events.entry(instance).or_default().push(event_line);
    }

    /// Discards the events that were read for an instance before it started or stopped. Its entry
    /// stays, so that an instance that has started is stepped.
    pub fn clear_events(&mut self, instance: InstanceNumber) {
        self.events.entry(instance).or_default().clear();
    }
}
