//! Discovery and the rollout platform.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use super::http_server::{self, Answer};

/// Starts a discovery that tells one endpoint list for good, as a watch does.
///
/// # Errors
///
/// Where it cannot listen.
pub fn start_discovery(listing: &str) -> io::Result<SocketAddr> {
    let line = format!("{listing}\n");
    http_server::start(move |_| Answer::Stream {
        content_type: "application/json",
        first_chunk: line.clone(),
        heartbeat: "\n",
    })
}

/// The state of a rollout, in the words of the platform's protocol.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Announcement {
    /// The newest build.
    pub build: u32,
    /// Stage of its evaluation.
    pub stage: u32,
    /// Phase of its rollout: `trial` or `released`.
    pub status: &'static str,
    /// Share of the requests that may go to it.
    pub traffic_cap: f64,
    /// How long ago stage and phase began, in milliseconds.
    pub age_ms: u64,
}

impl Announcement {
    fn as_form(&self) -> String {
        let Announcement {
            build,
            stage,
            status,
            traffic_cap,
            age_ms,
        } = self;
        format!(
            "version={build}&step={stage}&status={status}&maxWeight={traffic_cap}&observedAgoMs={age_ms}"
        )
    }

    fn as_xml(&self) -> String {
        let Announcement {
            build,
            stage,
            status,
            traffic_cap,
            age_ms,
        } = self;
        let item = format!(
            "<version>{build}</version><step>{stage}</step><status>{status}</status>\
             <maxWeight>{traffic_cap}</maxWeight><observedAgoMs>{age_ms}</observedAgoMs>"
        );
        format!("<?xml version=\"1.0\"?><Response><groups><item>{item}</item></groups></Response>")
    }
}

/// A platform whose rollout stands still, and that keeps when rollback votes came.
pub struct StandInPlatform {
    /// Where it listens.
    pub address: SocketAddr,
    rollback_votes: Arc<Mutex<Vec<Instant>>>,
}

impl StandInPlatform {
    /// Starts one that announces this state for good.
    ///
    /// # Errors
    ///
    /// Where it cannot listen.
    pub fn start(announcement: Announcement) -> io::Result<StandInPlatform> {
        let rollback_votes: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let seen = rollback_votes.clone();
        let address = http_server::start(move |request| {
            if request.starts_with("GET") {
                return Answer::Stream {
                    content_type: "text/event-stream",
                    first_chunk: format!("event: stage\ndata: {}\n\n", announcement.as_form()),
                    heartbeat: ":\n",
                };
            }
            if request.contains("vote=reject") {
                seen.lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(Instant::now());
            }
            Answer::Body(announcement.as_xml())
        })?;
        Ok(StandInPlatform {
            address,
            rollback_votes,
        })
    }

    /// Forgets the rollback votes that have come.
    pub fn forget_votes(&self) {
        self.votes().clear();
    }

    /// When the first rollback vote came that is not forgotten.
    pub fn first_rollback_vote(&self) -> Option<Instant> {
        self.votes().first().copied()
    }

    fn votes(&self) -> std::sync::MutexGuard<'_, Vec<Instant>> {
        self.rollback_votes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
