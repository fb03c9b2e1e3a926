//! Parses endpoint lists: a `ROSTER_CHANGE` line and the rows of the `INVENTORY` that it names.

use std::rc::Rc;

use tidescale_policy::types::{BuildNumber, EndpointEntry, EndpointState, Timestamp};
use tidescale_settings::{parse_duration, parse_number};

use crate::error::AdapterError;
use crate::fields::{fields, optional_field};
use crate::numbers::ListNumber;

/// The `ROW` lines of one `INVENTORY`, shared by the events that refer to the list.
pub type EndpointRows = Rc<Vec<String>>;

/// The content of a `ROSTER_CHANGE`. Names are borrowed from the rows.
pub enum EndpointListUpdate<'a> {
    /// The complete list; endpoints that it does not contain are removed.
    Complete(Vec<EndpointEntry<'a>>),
    /// Only the endpoints that have changed.
    Changes(Vec<EndpointEntry<'a>>),
    /// Polling the endpoint list has failed, so there are no entries.
    Failed,
}

/// Parses `ROSTER_CHANGE <kind> <revision> <list number>`. `rows` are the rows of the list with
/// this number; `None` if there is no such list.
pub fn parse_endpoint_list<'a>(
    line: &str,
    rows: Option<&'a EndpointRows>,
) -> Result<EndpointListUpdate<'a>, AdapterError> {
    let [kind, revision, _list_number] = fields(line)?;
    parse_number::<u64>(revision)?;
    match kind {
        "0" | "1" => Ok(EndpointListUpdate::Complete(parse_entries(rows)?)),
        "2" => Ok(EndpointListUpdate::Failed),
        "3" => Ok(EndpointListUpdate::Changes(parse_entries(rows)?)),
        unknown => Err(AdapterError::UnknownListKind {
            text: unknown.to_string(),
        }),
    }
}

/// Returns the number of the list that a `ROSTER_CHANGE` line refers to; `None` without a valid
/// number.
pub fn referenced_list_number(line: &str) -> Option<ListNumber> {
    let list_number = line.split(' ').nth(3)?;
    ListNumber::parse(list_number).ok()
}

fn parse_entries(rows: Option<&EndpointRows>) -> Result<Vec<EndpointEntry<'_>>, AdapterError> {
    let rows = rows.ok_or(AdapterError::UnknownEndpointList)?;
    rows.iter().map(|row| parse_entry(row)).collect()
}

fn parse_entry(row: &str) -> Result<EndpointEntry<'_>, AdapterError> {
    let [
        name,
        zone,
        build,
        hardware_class,
        cell,
        state,
        weight,
        started_at,
    ] = fields(row)?;
    if let Some(weight) = optional_field(weight) {
        parse_number::<f64>(weight)?;
    }
    let state = parse_state(state, row)?;
    let started_at = parse_started_at(started_at)?;
    let cell = optional_field(cell).map_or(Ok(0), parse_number)?;
    Ok(EndpointEntry {
        name,
        zone,
        cell,
        hardware_class,
        build: BuildNumber::new(parse_number(build)?),
        state,
        started_at,
    })
}

fn parse_state(text: &str, row: &str) -> Result<EndpointState, AdapterError> {
    match text {
        "0" => Ok(EndpointState::Removed),
        "1" => Ok(EndpointState::Ready),
        "2" => Ok(EndpointState::Draining),
        _ => Err(AdapterError::UnknownEndpointState {
            row: row.to_string(),
        }),
    }
}

/// Parses the start time of an endpoint. `None` if the field has no value or is 0: an endpoint with
/// start time 0 was already running when the simulator's clock started.
fn parse_started_at(text: &str) -> Result<Option<Timestamp>, AdapterError> {
    let Some(text) = optional_field(text) else {
        return Ok(None);
    };
    let started_at = Timestamp::ZERO + parse_duration(text)?;
    Ok((started_at > Timestamp::ZERO).then_some(started_at))
}
