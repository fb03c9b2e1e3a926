//! The endpoint list in discovery's JSON form, whole or as a change to an earlier one. No I/O.

use std::net::SocketAddr;

use serde::Deserialize;
use tidescale_policy::types::{EndpointEntry, EndpointState, Timestamp};

use crate::upstream::ProcessIdentity;

const MAX_LIST: usize = 4 * 1024 * 1024;

/// Why a list cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
    /// A sign of life came where the rest of a list should have.
    #[error("a list without its end")]
    Unterminated,
    /// A list that does not end.
    #[error("a list too long")]
    TooLong,
    /// A list of another form.
    #[error(transparent)]
    Form(#[from] serde_json::Error),
}

/// A list of endpoints, or those that have changed.
#[derive(Deserialize)]
pub struct EndpointList {
    /// Grows with every change.
    pub version: u64,
    /// Endpoints that it does not name are gone; otherwise they are unchanged.
    #[serde(rename = "full")]
    pub is_complete: bool,
    /// The endpoints.
    #[serde(rename = "servers")]
    pub endpoints: Vec<ListedEndpoint>,
}

/// One endpoint of a list.
#[derive(Deserialize)]
pub struct ListedEndpoint {
    /// Identifies the endpoint.
    #[serde(rename = "id")]
    pub name: String,
    #[serde(rename = "addr")]
    address: SocketAddr,
    zone: String,
    #[serde(rename = "kind")]
    hardware_class: String,
    cell: u64,
    state: ListedState,
    started_ms: f64,
    #[serde(rename = "image_id")]
    build: u32,
}

#[derive(Clone, Copy, PartialEq, Eq, Deserialize)]
enum ListedState {
    #[serde(rename = "active")]
    Ready,
    #[serde(rename = "leaving")]
    Draining,
    #[serde(rename = "left")]
    Removed,
}

impl EndpointList {
    /// Whether the list names an endpoint.
    pub fn contains(&self, name: &str) -> bool {
        self.endpoints.iter().any(|endpoint| endpoint.name == name)
    }
}

impl ListedEndpoint {
    /// Whether it takes new requests.
    pub fn is_ready(&self) -> bool {
        self.state == ListedState::Ready
    }

    /// The process that runs there; none where it has been removed. One that drains may still be health checked.
    pub fn process(&self) -> Option<ProcessIdentity> {
        (self.state != ListedState::Removed).then(|| ProcessIdentity {
            address: self.address,
            build: self.build.into(),
            started_at: self.started_at(),
        })
    }

    /// None where the list says 0 or less: it has run for long.
    fn started_at(&self) -> Option<Timestamp> {
        let micros = (self.started_ms.max(0.0) * 1000.0) as u64;
        (micros > 0).then(|| Timestamp::from_micros(micros))
    }

    /// As the policy takes it.
    pub fn entry(&self) -> EndpointEntry<'_> {
        EndpointEntry {
            name: &self.name,
            zone: &self.zone,
            cell: self.cell,
            hardware_class: &self.hardware_class,
            build: self.build.into(),
            state: match self.state {
                ListedState::Ready => EndpointState::Ready,
                ListedState::Draining => EndpointState::Draining,
                ListedState::Removed => EndpointState::Removed,
            },
            started_at: self.started_at(),
        }
    }
}

/// Adds a line to what has come of a list; returns the list once it is whole and leaves `partial` empty then. A list may
/// come over many lines, and is parsed once. An empty line is a sign of life and stands between lists.
///
/// # Errors
///
/// Where the list cannot be used; the stream that it came from is of no more use.
pub fn add_line(
    partial: &mut String,
    line: &str,
) -> Result<Option<EndpointList>, EndpointListError> {
    if line.trim().is_empty() {
        return if partial.is_empty() {
            Ok(None)
        } else {
            Err(EndpointListError::Unterminated)
        };
    }
    partial.push_str(line);
    partial.push('\n');
    if !ends_object(line, partial) {
        return if partial.len() > MAX_LIST {
            Err(EndpointListError::TooLong)
        } else {
            Ok(None)
        };
    }
    let list = serde_json::from_str(partial)?;
    partial.clear();
    Ok(Some(list))
}

/// Whether the text, which ends with this line, can be a whole object: each brace that it opens is closed.
fn ends_object(last_line: &str, text: &str) -> bool {
    // Only what closes the outermost brace ends a list; of a long one most lines do not even end with a brace.
    if !last_line.trim_end().ends_with('}') && text.starts_with('{') {
        return false;
    }
    let mut depth = 0usize;
    let mut in_string = false;
    let mut escaped = false;
    for byte in text.bytes() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' => escaped = in_string,
            b'"' => in_string = !in_string,
            b'{' if !in_string => depth += 1,
            b'}' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    depth == 0
}
