//! Numbers by which the simulator identifies batches, instances and endpoint lists.

use std::fmt;

use tidescale_settings::parse_number;

use crate::error::AdapterError;

/// Identifies a batch; its acknowledgement repeats the number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchNumber(u64);

/// Identifies a proxy instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceNumber(u64);

/// Identifies an endpoint list. The simulator may reuse the number for another list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListNumber(u32);

impl BatchNumber {
    /// Parses a field of a line.
    pub fn parse(text: &str) -> Result<Self, AdapterError> {
        Ok(BatchNumber(parse_number(text)?))
    }
}

impl InstanceNumber {
    /// Parses a field of a line.
    pub fn parse(text: &str) -> Result<Self, AdapterError> {
        Ok(InstanceNumber(parse_number(text)?))
    }
}

impl ListNumber {
    /// Parses a field of a line.
    pub fn parse(text: &str) -> Result<Self, AdapterError> {
        Ok(ListNumber(parse_number(text)?))
    }
}

impl fmt::Display for BatchNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl fmt::Display for InstanceNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
