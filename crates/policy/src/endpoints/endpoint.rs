//! One endpoint as discovery lists it.

use crate::types::{BuildNumber, EndpointIndex, EndpointState, HardwareClassIndex, Timestamp};

/// The start of a process that no list has named yet: it differs from every other.
const UNKNOWN_PROCESS_START: Option<Timestamp> = Some(Timestamp::MAX);

/// Tells a process from others under the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Process {
    /// The build that it runs.
    pub(crate) build: BuildNumber,
    /// When it started; `None` where it has run for longer than it takes to warm up.
    pub(crate) started_at: Option<Timestamp>,
}

/// An endpoint and its hardware class, for statistics that are kept of both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EndpointWithClass {
    /// The endpoint.
    pub(crate) index: EndpointIndex,
    /// Its hardware class.
    pub(crate) class: HardwareClassIndex,
}

/// One endpoint. Only [`EndpointTable`](super::EndpointTable) changes it.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    /// Its name in the endpoint list.
    pub(crate) name: String,
    /// Its availability zone.
    pub(crate) zone: String,
    /// It is in another zone than this instance.
    pub(crate) in_other_zone: bool,
    /// Endpoints of one hardware class are equally fast.
    pub(crate) hardware_class: HardwareClassIndex,
    /// Its cell within the zone.
    pub(crate) cell: u64,
    /// The process that runs there.
    pub(crate) process: Process,
    /// Whether it takes requests, as far as the list says.
    pub(crate) state: EndpointState,
}

impl Endpoint {
    /// An endpoint of which only the name is known.
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

    /// The build that it runs.
    pub(crate) fn build(&self) -> BuildNumber {
        self.process.build
    }

    /// It takes new requests, as far as the list says.
    pub(crate) fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }

    /// The list names it.
    pub(crate) fn is_listed(&self) -> bool {
        self.state != EndpointState::Removed
    }

    /// It is ready, and the process for which an attempt was chosen still runs there.
    pub(crate) fn still_runs(&self, process: Process) -> bool {
        self.is_ready() && self.process == process
    }
}
