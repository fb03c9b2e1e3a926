//! Discovery and the rollout platform.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tidescale_policy::types::{BuildNumber, StageIndex};

use super::http_server::{self, Response};

/// Starts a discovery service whose watch always sends the same endpoint list.
///
/// # Errors
///
/// If it cannot listen.
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
    /// The build serves everywhere.
    Released,
}

impl AnnouncedPhase {
    /// The phase's word in the platform's protocol.
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
    /// The newest build.
    pub build: BuildNumber,
    /// Stage of its evaluation.
    pub stage: StageIndex,
    /// Phase of its rollout.
    pub phase: AnnouncedPhase,
    /// Share of the requests that may go to it.
    pub traffic_cap: f64,
    /// Time since stage and phase began.
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

/// A platform whose rollout does not change, and that records the times of rollback votes.
pub struct StandInPlatform {
    /// Where it listens.
    pub address: SocketAddr,
    rollback_votes: Arc<Mutex<Vec<Instant>>>,
}

impl StandInPlatform {
    /// Starts a platform that always announces this state.
    ///
    /// # Errors
    ///
    /// If it cannot listen.
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

    /// Forgets the rollback votes received so far.
    pub fn clear_votes(&self) {
        self.votes().clear();
    }

    /// When the first rollback vote was received, without forgotten ones.
    pub fn first_rollback_vote(&self) -> Option<Instant> {
        self.votes().first().copied()
    }

    fn votes(&self) -> MutexGuard<'_, Vec<Instant>> {
        self.rollback_votes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
