//! Endpoint lists in discovery's format.

use std::fmt::{Display, Formatter, Result};
use std::net::SocketAddr;

/// The released build, which endpoints run unless a test sets another.
pub const RELEASED_BUILD: u32 = 41;

/// One entry of an endpoint list.
pub struct ListedEndpoint {
    pub id: String,
    pub address: SocketAddr,
    pub state: &'static str,
    /// When the endpoint started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    pub build: u32,
}

impl ListedEndpoint {
    /// An active endpoint that started at time 0 and runs the released build.
    pub fn active(id: &str, address: SocketAddr) -> ListedEndpoint {
        ListedEndpoint {
            id: id.to_string(),
            address,
            state: "active",
            started_ms: 0,
            build: RELEASED_BUILD,
        }
    }
}

impl Display for ListedEndpoint {
    fn fmt(&self, formatter: &mut Formatter) -> Result {
        write!(
            formatter,
            concat!(
                r#"{{"id":"{}","addr":"{}","zone":"z1","kind":"k","cell":0,"state":"{}","#,
                r#""weight":1.0,"started_ms":{},"image_id":{}}}"#,
            ),
            self.id, self.address, self.state, self.started_ms, self.build
        )
    }
}

/// A version of the endpoint list: the complete list or only its changes.
pub struct EndpointList {
    pub version: u64,
    pub complete: bool,
    pub endpoints: Vec<ListedEndpoint>,
}

impl EndpointList {
    /// The complete list with the configuration's version and the ids `s-0`, `s-1` and so on.
    pub fn of_endpoints(endpoints: &[(SocketAddr, u32)]) -> EndpointList {
        let numbered = endpoints.iter().enumerate();
        let listed = numbered.map(|(index, (address, build))| ListedEndpoint {
            build: *build,
            ..ListedEndpoint::active(&format!("s-{index}"), *address)
        });
        EndpointList {
            version: 41,
            complete: true,
            endpoints: listed.collect(),
        }
    }
}

impl Display for EndpointList {
    fn fmt(&self, formatter: &mut Formatter) -> Result {
        let endpoints: Vec<String> = self.endpoints.iter().map(ToString::to_string).collect();
        write!(
            formatter,
            r#"{{"version":{},"full":{},"servers":[{}]}}"#,
            self.version,
            self.complete,
            endpoints.join(",")
        )
    }
}
