//! Parses endpoint lists in the JSON format of discovery: complete lists and changes to an earlier
//! one. No I/O.

use std::net::SocketAddr;

use serde::{Deserialize, Deserializer};
use tidescale_policy::types::{BuildNumber, EndpointEntry, EndpointState, Timestamp};

use crate::upstream::{EndpointListing, ProcessIdentity};

/// Maximum length of a list, over all its lines.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Why a list was rejected.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
    /// An empty line, which is a keep-alive, was received within a list.
    #[error("keep-alive line within an endpoint list")]
    Unterminated,
    /// The list is longer than the limit.
    #[error("endpoint list is too long")]
    TooLong,
    /// The list is not valid JSON, or a field is missing or invalid.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// All endpoints, or those that have changed since the previous version.
#[derive(Deserialize)]
pub struct EndpointList {
    /// The version of the list, which increases with every change.
    pub version: u64,
    /// Whether the list names all endpoints. Endpoints missing from a complete list have been
    /// removed; those missing from any other list are unchanged.
    #[serde(rename = "full")]
    pub is_complete: bool,
    /// All endpoints if the list is complete, otherwise those that have changed.
    #[serde(rename = "servers")]
    pub endpoints: Vec<ListedEndpoint>,
}

/// One endpoint of a list.
#[derive(Deserialize)]
pub struct ListedEndpoint {
    /// Unique name of the endpoint.
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
    #[serde(rename = "image_id", deserialize_with = "build_number")]
    build: BuildNumber,
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
    /// Returns the endpoint's state, and its process unless the endpoint has been removed.
    pub fn listing(&self) -> EndpointListing {
        let process = ProcessIdentity {
            address: self.address,
            build: self.build,
            started_at: self.started_at(),
        };
        match self.state {
            ListedState::Ready => EndpointListing::Ready(process),
            ListedState::Draining => EndpointListing::Draining(process),
            ListedState::Removed => EndpointListing::Removed,
        }
    }

    /// Returns when the process started. A time of 0 or less stands for a process that has run for
    /// longer than it takes to warm up, and gives `None`.
    fn started_at(&self) -> Option<Timestamp> {
        let micros = (self.started_ms.max(0.0) * 1000.0) as u64;
        (micros > 0).then(|| Timestamp::from_micros(micros))
    }

    /// Converts the endpoint to the form that the policy takes.
    pub fn entry(&self) -> EndpointEntry<'_> {
        EndpointEntry {
            name: &self.name,
            zone: &self.zone,
            cell: self.cell,
            hardware_class: &self.hardware_class,
            build: self.build,
            state: match self.state {
                ListedState::Ready => EndpointState::Ready,
                ListedState::Draining => EndpointState::Draining,
                ListedState::Removed => EndpointState::Removed,
            },
            started_at: self.started_at(),
        }
    }
}

/// Appends a line to `partial`, the lines of a list received so far. A list may span many lines and
/// is parsed only once, when it is complete; then `partial` is cleared and the list returned. An
/// empty line between lists is a keep-alive.
///
/// # Errors
///
/// The list is invalid; the stream has to be closed.
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
        return if partial.len() > MAX_LIST_BYTES {
            Err(EndpointListError::TooLong)
        } else {
            Ok(None)
        };
    }
    let list = serde_json::from_str(partial)?;
    partial.clear();
    Ok(Some(list))
}

/// Whether `text`, whose last line is `last_line`, can be a complete JSON object: each opening
/// brace has a closing one.
fn ends_object(last_line: &str, text: &str) -> bool {
    // Most lines of a long list do not end with a brace, which makes scanning `text` unnecessary.
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

fn build_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<BuildNumber, D::Error> {
    u32::deserialize(deserializer).map(BuildNumber::new)
}
