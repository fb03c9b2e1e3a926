//! The stage of each connection, its timeout, and the order in which connections are closed to free
//! resources. No I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tidescale_policy::types::Timestamp;

use crate::ids::{ClientKey, SlotKey};

/// Timeout for the client to read a fatal error before the connection closes.
const CLOSING_TIMEOUT: Duration = Duration::from_millis(1000);
/// Timeout for the startup message, and again for the first request.
const OPENING_TIMEOUT: Duration = Duration::from_millis(2000);
/// Timeout between requests. Clients, too, limit the number of their connections, and an idle one
/// counts towards that limit.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2200);
/// Timeout from the first byte of a message to its last.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2400);
/// Timeout for the client to read its responses; after that it counts as disconnected.
pub const WRITE_TIMEOUT: Duration = Duration::from_millis(10_000);

/// What a connection waits for. The variants are in eviction order: connections in earlier stages
/// are closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The client to read a fatal error, after which the connection closes.
    Closing,
    /// The startup message.
    Opening,
    /// The first message after the startup message.
    AwaitingFirstRequest,
    /// The next request.
    Idle,
    /// The rest of an incomplete message, which may be in transit.
    ReceivingMessage,
    /// The client to read its responses.
    Writing,
    /// The response to the pending request.
    AwaitingResponse,
}

impl Stage {
    /// Returns how long a connection may stay in the stage; `None` if the client cannot end the
    /// stage.
    pub const fn timeout(self) -> Option<Duration> {
        match self {
            Stage::Closing => Some(CLOSING_TIMEOUT),
            Stage::Opening | Stage::AwaitingFirstRequest => Some(OPENING_TIMEOUT),
            Stage::Idle => Some(IDLE_TIMEOUT),
            Stage::ReceivingMessage => Some(MESSAGE_TIMEOUT),
            Stage::Writing => Some(WRITE_TIMEOUT),
            Stage::AwaitingResponse => None,
        }
    }
}

/// The stage of a connection and when it began. Entries are ordered by stage, then time, then
/// connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StageEntry {
    /// What the connection waits for.
    pub stage: Stage,
    /// When the connection entered the stage.
    pub since: Timestamp,
    /// The key of the connection.
    pub connection: ClientKey,
}

/// An index of all connections by stage and time.
///
/// Invariants: each connection has at most one entry, which is in both `in_order` and
/// `by_connection`; `idle_count` is the number of entries in [`Stage::Idle`]. An entry holds the
/// stage recorded last, which may be older than the state of the connection.
#[derive(Default)]
pub struct ConnectionsByStage {
    in_order: BTreeSet<StageEntry>,
    by_connection: BTreeMap<ClientKey, StageEntry>,
    idle_count: usize,
}

impl ConnectionsByStage {
    /// Records the stage of a connection. Returns whether it differs from the previous one; if so,
    /// the time in the stage starts at `now`.
    pub fn record(&mut self, connection: ClientKey, stage: Stage, now: Timestamp) -> bool {
        if self
            .get(connection)
            .is_some_and(|earlier| earlier.stage == stage)
        {
            return false;
        }
        self.remove(connection);
        let entry = StageEntry {
            stage,
            since: now,
            connection,
        };
        self.in_order.insert(entry);
        self.by_connection.insert(connection, entry);
        self.idle_count += usize::from(stage == Stage::Idle);
        true
    }

    /// Removes a connection.
    pub fn remove(&mut self, connection: ClientKey) {
        if let Some(entry) = self.by_connection.remove(&connection) {
            self.in_order.remove(&entry);
            self.idle_count -= usize::from(entry.stage == Stage::Idle);
        }
    }

    /// Returns the entry of a connection.
    pub fn get(&self, connection: ClientKey) -> Option<StageEntry> {
        self.by_connection.get(&connection).copied()
    }

    /// Returns the number of connections in [`Stage::Idle`].
    pub fn idle_count(&self) -> usize {
        self.idle_count
    }

    /// Returns the connections that may be closed to make room for another one, in eviction order:
    /// those that are closing already, then those without a pending request that entered their
    /// stage at or before `latest`.
    pub fn eviction_order(&self, latest: Timestamp) -> impl Iterator<Item = StageEntry> {
        self.in_order
            .iter()
            .take_while(|entry| entry.stage <= Stage::ReceivingMessage)
            .filter(move |entry| entry.stage == Stage::Closing || entry.since <= latest)
            .copied()
    }

    /// Returns the connections that are in a stage and entered it before a time, the earliest
    /// first.
    pub fn entered_stage_before(
        &self,
        stage: Stage,
        before: Timestamp,
    ) -> impl Iterator<Item = ClientKey> {
        let first = StageEntry {
            stage,
            since: Timestamp::ZERO,
            connection: SlotKey::new(0).into(),
        };
        let end = StageEntry {
            since: before,
            ..first
        };
        self.in_order
            .range(first..end)
            .map(|entry| entry.connection)
    }
}
