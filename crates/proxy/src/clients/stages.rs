//! In which stage each client connection is and since when, in the order in which connections make room for others.
//! No I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tidescale_policy::types::Timestamp;

/// After an error the connection stays open so long for the client to read it.
const CLOSING_LIMIT: Duration = Duration::from_millis(1000);
/// A connection has so long to open, and again as long to send its first request.
const OPENING_LIMIT: Duration = Duration::from_millis(2000);
/// A client's own connections are limited too: one that stays idle for so long is closed.
const IDLE_LIMIT: Duration = Duration::from_millis(2200);
/// Each message has so long from its first byte to its last.
const MESSAGE_LIMIT: Duration = Duration::from_millis(2400);
/// A client that takes nothing of its answer for so long has gone.
pub const WRITING_LIMIT: Duration = Duration::from_millis(10_000);

/// What a connection waits for. The order of the stages decides which connection makes room for another: the earlier
/// ones are missed less.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It closes once its error has been read.
    Closing,
    /// Its startup message has not come.
    Opening,
    /// It is open, and no message has come.
    AwaitingFirstRequest,
    /// It is open between requests.
    Idle,
    /// A message has begun and is not whole: the rest of it may be on its way.
    ReceivingMessage,
    /// Answers wait until the client takes them.
    Writing,
    /// Its request is pending.
    AwaitingResponse,
}

impl Stage {
    /// How long a connection may stay in it; none where the end is not the client's to bring about.
    pub const fn time_limit(self) -> Option<Duration> {
        match self {
            Stage::Closing => Some(CLOSING_LIMIT),
            Stage::Opening | Stage::AwaitingFirstRequest => Some(OPENING_LIMIT),
            Stage::Idle => Some(IDLE_LIMIT),
            Stage::ReceivingMessage => Some(MESSAGE_LIMIT),
            Stage::Writing => Some(WRITING_LIMIT),
            Stage::AwaitingResponse => None,
        }
    }
}

/// A connection's stage. Placements order by stage, then time, then connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Placement {
    /// The stage.
    pub stage: Stage,
    /// When the connection came into it.
    pub since: Timestamp,
    /// The connection's number.
    pub connection: u64,
}

/// All connections by stage and time.
///
/// Each connection has at most one placement, which stands in both maps; `idle_count` counts those in
/// [`Stage::Idle`]. A stage is the one that was noted last: it can be behind what the connection has done since.
#[derive(Default)]
pub struct StageIndex {
    in_order: BTreeSet<Placement>,
    by_connection: BTreeMap<u64, Placement>,
    idle_count: usize,
}

impl StageIndex {
    /// Notes a connection's stage. Whether it is another one than before, or the first: only then does its time count
    /// from `now`.
    pub fn place(&mut self, connection: u64, stage: Stage, now: Timestamp) -> bool {
        if self
            .get(connection)
            .is_some_and(|earlier| earlier.stage == stage)
        {
            return false;
        }
        self.remove(connection);
        let placement = Placement {
            stage,
            since: now,
            connection,
        };
        self.in_order.insert(placement);
        self.by_connection.insert(connection, placement);
        self.idle_count += usize::from(stage == Stage::Idle);
        true
    }

    /// Forgets a connection.
    pub fn remove(&mut self, connection: u64) {
        if let Some(placement) = self.by_connection.remove(&connection) {
            self.in_order.remove(&placement);
            self.idle_count -= usize::from(placement.stage == Stage::Idle);
        }
    }

    /// A connection's placement.
    pub fn get(&self, connection: u64) -> Option<Placement> {
        self.by_connection.get(&connection).copied()
    }

    /// Number of connections in [`Stage::Idle`].
    pub fn idle_count(&self) -> usize {
        self.idle_count
    }

    /// Connections that may make room for another, the one missed least first: those that close anyway, then those
    /// with nothing pending that have been in their stage since `latest` or longer.
    pub fn least_missed(&self, latest: Timestamp) -> impl Iterator<Item = Placement> {
        self.in_order
            .iter()
            .take_while(|placement| placement.stage <= Stage::ReceivingMessage)
            .filter(move |placement| placement.stage == Stage::Closing || placement.since <= latest)
            .copied()
    }

    /// Connections that came into a stage before a time, the earliest first.
    pub fn in_stage_before(&self, stage: Stage, before: Timestamp) -> impl Iterator<Item = u64> {
        let first = Placement {
            stage,
            since: Timestamp::ZERO,
            connection: 0,
        };
        let end = Placement {
            since: before,
            ..first
        };
        self.in_order
            .range(first..end)
            .map(|placement| placement.connection)
    }
}
