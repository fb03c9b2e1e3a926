//! The interface between the decision module and a host that speaks some protocol.
//!
//! A host decodes [`Settings`] once, and then for every round that brought news calls
//! [`Balancer::round`](crate::decide::Balancer::round) with an [`Inbox`] that replays the news as plain
//! calls on the module, and a [`Writer`] that takes the decisions. Times are whole microseconds.

use crate::decide::Balancer;

/// What a repeat of a req can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Retriable,
    /// Repeats are dropped inside the scope, for so long from the first send that may have run.
    Deduped {
        scope: Scope,
        window: u64,
    },
    NonRetriable,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug)]
pub struct Route {
    pub name: String,
    pub objective: u64,
    pub earnings: f64,
    pub repeat: Repeat,
}

/// The told figures that the module reads.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This front's number among them.
    pub me: u32,
    pub fronts: u32,
    pub zone: String,
    pub routes: Vec<Route>,
    /// The machine list has to be asked for.
    pub ask_list: bool,
    /// A front without a watch that has not asked for so long counts as told.
    pub must_ask_in: u64,
    pub cross_zone_price: f64,
    pub probes: bool,
    pub cancel: bool,
    /// Two tries of a req may be out together.
    pub second_copies: bool,
    pub max_tries: usize,
    /// 0 where no time to come back reaches the client.
    pub max_come_back: u64,
    pub grace: u64,
    pub cold_from: f64,
    pub cold_for: u64,
    pub fall_multiple: f64,
    pub fall_for: u64,
    pub stage_caps: Vec<f64>,
    pub free: f64,
    pub exposure_window: u64,
    pub by_route: bool,
    pub guarded_stages: u32,
    pub one_way: bool,
    /// Stages move on by themselves unless held.
    pub timed: bool,
    pub min_dwell: u64,
    /// Fronts needed to send a build back.
    pub back_votes: u32,
    pub votes_per_s: f64,
    pub vote_life: u64,
    pub vote_wait: u64,
}

/// What the list says of a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    #[default]
    Gone,
    Ready,
    Draining,
}

/// How an upstream try or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Done,
    Error,
    /// An answer that can't be read: it may have run, and peers and links spoil answers of any build.
    Spoilt,
    /// The machine finds fault with the req itself; that was the req's answer.
    Unfit,
    Full,
    TimedOut,
    Refused,
    Reset,
    Cancelled,
    NotSent,
}

/// Where the newest build stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Trial,
    GoingBack,
    Released,
    Withdrawn,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    On,
    Hold,
    Back,
    None,
}

/// What a front found against a build: the outcomes on both sides, and what they were held to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    pub build: u32,
    pub stage: u32,
    /// 0 failures, 1 slowness against the earlier build, 2 errors, 3 the whole fleet against before the trial.
    pub test: usize,
    /// Hits and outcomes of the new build, and of what it is compared with; recalled ones are among them.
    pub new: [f64; 2],
    pub old: [f64; 2],
    /// Outcomes of the new build from before a restart.
    pub recalled: f64,
    /// The score, less what is doubted and this front's part of α, and the bound that it has passed.
    pub score: f64,
    pub bound: f64,
    /// The rates that the bounds stand for.
    pub alpha: f64,
    pub beta: f64,
    /// Machines of the build that were set aside as failing by themselves.
    pub aside: usize,
}

/// What became of a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Counts,
    Moot,
    Busy,
    Error,
    Unknown,
}

/// A machine's report of its load, as far as it reports any.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub inflight: Option<f64>,
    pub queue: Option<f64>,
}

/// Replays all that came in since the last round, in order, as calls on the module.
pub trait Inbox {
    fn replay(&mut self, to: &mut Balancer);
}

/// Takes the decisions of a round, in order.
pub trait Writer {
    fn upstream_try(&mut self, rq: u64, machine: &str, until: u64);
    fn cancel_try(&mut self, rq: u64, n: usize);
    /// `come_back`: how long the client is asked to stay away; 0 says nothing.
    fn shed(&mut self, rq: u64, come_back: u64);
    fn error(&mut self, rq: u64);
    fn vote(&mut self, build: u32, stage: u32, verdict: Verdict);
    /// What has not been answered by `until` is not waited for.
    fn probe(&mut self, machine: &str, until: u64);
    fn watch_list(&mut self);
    /// Asks for another round after so long.
    fn wake(&mut self, after: u64);
    /// A build is found bad, for the first time.
    fn found(&mut self, finding: &Finding);
}
