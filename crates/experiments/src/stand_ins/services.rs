//! Stand-ins for discovery and for the rollout platform.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tidescale_policy::types::{BuildNumber, StageIndex};

use super::http_server::{self, Response};

/// Starts a discovery service that answers every request with a stream of this endpoint list.
///
/// # Errors
///
/// Returns an error if it cannot listen.
pub fn start_discovery(listing: &str) -> io::Result<SocketAddr> {
    let line = format!("{listing}\n");
    http_server::start(move |_| Response::Stream {
        content_type: "application/json",
        first_chunk: line.clone(),
        heartbeat: "\n",
    })
}

/// Phase of a rollout, as the stand-in platform announces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncedPhase {
    /// The build is under evaluation.
    Canary,
    /// The build serves on all endpoints.
    Released,
}

impl AnnouncedPhase {
    /// Returns the word for the phase in the platform's protocol.
    pub fn protocol_word(self) -> &'static str {
        match self {
            AnnouncedPhase::Canary => "trial",
            AnnouncedPhase::Released => "released",
        }
    }
}

/// The state of a rollout, as the platform announces it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Announcement {
    /// The build that is rolled out, or the released one.
    pub build: BuildNumber,
    /// Stage of the evaluation.
    pub stage: StageIndex,
    /// Phase of the rollout.
    pub phase: AnnouncedPhase,
    /// Maximum share of the requests that may be sent to the build.
    pub traffic_cap: f64,
    /// Time since the stage and phase began.
    pub age: Duration,
}

/// A field of an announcement in the platform's protocol.
struct Field {
    name: &'static str,
    value: String,
}

impl Announcement {
    fn fields(&self) -> [Field; 5] {
        let field = |name, value| Field { name, value };
        [
            field("version", self.build.to_string()),
            field("step", self.stage.to_string()),
            field("status", self.phase.protocol_word().to_string()),
            field("maxWeight", self.traffic_cap.to_string()),
            field("observedAgoMs", self.age.as_millis().to_string()),
        ]
    }

    fn as_form(&self) -> String {
        let pairs = self
            .fields()
            .map(|Field { name, value }| format!("{name}={value}"));
        pairs.join("&")
    }

    fn as_xml(&self) -> String {
        let elements = self
            .fields()
            .map(|Field { name, value }| format!("<{name}>{value}</{name}>"));
        let item = elements.concat();
        format!("<?xml version=\"1.0\"?><Response><groups><item>{item}</item></groups></Response>")
    }
}

/// A platform that announces an unchanging rollout and records when it receives rollback votes.
pub struct StandInPlatform {
    /// Address on which it listens.
    pub address: SocketAddr,
    rollback_votes: Arc<Mutex<Vec<Instant>>>,
}

impl StandInPlatform {
    /// Starts a platform that always announces this rollout state.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot listen.
    pub fn start(announcement: Announcement) -> io::Result<StandInPlatform> {
        let rollback_votes: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let recorded = rollback_votes.clone();
        let address = http_server::start(move |request| {
            if request.starts_with("GET") {
                return Response::Stream {
                    content_type: "text/event-stream",
                    first_chunk: format!("event: stage\ndata: {}\n\n", announcement.as_form()),
                    heartbeat: ":\n",
                };
            }
            if request.contains("vote=reject") {
                recorded
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(Instant::now());
            }
            Response::Body(announcement.as_xml())
        })?;
        Ok(StandInPlatform {
            address,
            rollback_votes,
        })
    }

    /// Discards the rollback votes received so far.
    pub fn clear_votes(&self) {
        self.votes().clear();
    }

    /// Returns when the first rollback vote since the last [`clear_votes`] was received.
    ///
    /// [`clear_votes`]: StandInPlatform::clear_votes
    pub fn first_rollback_vote(&self) -> Option<Instant> {
        self.votes().first().copied()
    }

    fn votes(&self) -> MutexGuard<'_, Vec<Instant>> {
        self.rollback_votes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
