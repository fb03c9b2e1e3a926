//! One endpoint of the endpoint list.

use crate::types::{BuildNumber, EndpointIndex, EndpointState, HardwareClassIndex, Timestamp};

/// Placeholder start time of an endpoint whose process is not yet known. It differs from every
/// listed start time, so that the first entry for the endpoint counts as a new process.
const UNKNOWN_PROCESS_START: Option<Timestamp> = Some(Timestamp::MAX);

/// Identifies a process among those that have run under one endpoint name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Process {
    /// Build that the process runs.
    pub(crate) build: BuildNumber,
    /// Start time; `None` if the process has run for longer than the warm-up time.
    pub(crate) started_at: Option<Timestamp>,
}

/// Indexes of an endpoint and of its hardware class, for statistics that are kept for both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EndpointWithClass {
    pub(crate) index: EndpointIndex,
    pub(crate) class: HardwareClassIndex,
}

/// One endpoint. Only [`EndpointTable`](super::EndpointTable) changes it.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    /// Name in the endpoint list.
    pub(crate) name: String,
    pub(crate) zone: String,
    /// Whether the endpoint is in another zone than this instance.
    pub(crate) in_other_zone: bool,
    /// Hardware class; endpoints of one class are assumed to be equally fast.
    pub(crate) hardware_class: HardwareClassIndex,
    /// Cell within the availability zone.
    pub(crate) cell: u64,
    /// Process that runs at the endpoint.
    pub(crate) process: Process,
    /// State in the endpoint list.
    pub(crate) state: EndpointState,
}

impl Endpoint {
    /// Creates an endpoint of which only the name is known.
    pub(super) fn new(name: &str) -> Endpoint {
        Endpoint {
            name: name.into(),
            zone: String::new(),
            in_other_zone: false,
            hardware_class: HardwareClassIndex::default(),
            cell: 0,
            process: Process {
                build: BuildNumber::default(),
                started_at: UNKNOWN_PROCESS_START,
            },
            state: EndpointState::Removed,
        }
    }

    /// Returns the build that the endpoint runs.
    pub(crate) fn build(&self) -> BuildNumber {
        self.process.build
    }

    /// Returns whether the endpoint takes new requests according to the endpoint list.
    pub(crate) fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }

    /// Returns whether the endpoint is in the endpoint list.
    pub(crate) fn is_listed(&self) -> bool {
        self.state != EndpointState::Removed
    }

    /// Returns whether the endpoint is ready and still runs this process, for which an attempt was
    /// chosen.
    pub(crate) fn still_runs(&self, process: Process) -> bool {
        self.is_ready() && self.process == process
    }
}
