//! The platform: its bulletin, a stream that always stands, and votes on a connection of their own.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use slog::info;
use tidescale_policy::Balancer;
use tidescale_policy::types::{Ballot, RolloutPhase, RolloutStatus, Vote, VoteResult};

use crate::buffers::Fill;
use crate::connection::{Component, Connection, IoContext, Owner};
use crate::http;
use crate::stream::{Pace, PersistentStream};

const BULLETIN: &str = "/bulletin";
const LONGEST_EVENT: usize = 64 * 1024;
const VOTES: Owner = Owner::new(Component::Votes, 0);
/// Five of the signs of life that come every second.
const SILENCE: Duration = Duration::from_millis(5000);
/// Calls reuse a connection only well inside the time after which the platform may close it.
const VOTES_IDLE: Duration = Duration::from_millis(3000);
const READ_AHEAD: usize = 64 * 1024;

/// Where the newest build stands.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct News {
    version: u32,
    step: u32,
    status: Status,
    #[serde(rename = "maxWeight")]
    cap: f64,
    #[serde(rename = "observedAgoMs")]
    ago_ms: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Status {
    Trial,
    RollingBack,
    Released,
    Withdrawn,
}

fn age(ms: f64) -> Duration {
    Duration::from_micros((ms.max(0.0) * 1000.0) as u64)
}

impl News {
    pub fn tell(&self, policy: &mut Balancer) {
        let phase = match self.status {
            Status::Trial => RolloutPhase::Canary,
            Status::RollingBack => RolloutPhase::RollingBack,
            Status::Released => RolloutPhase::Released,
            Status::Withdrawn => RolloutPhase::Withdrawn,
        };
        policy.on_rollout_status(RolloutStatus {
            build: self.version,
            stage: self.step,
            phase,
            traffic_cap: self.cap,
            age: age(self.ago_ms),
        });
    }

    /// From named fields, wherever they stand.
    fn from_fields<'a>(field: impl Fn(&str) -> Option<&'a str>) -> Option<News> {
        let status = match field("status")? {
            "trial" => Status::Trial,
            "rolling_back" => Status::RollingBack,
            "released" => Status::Released,
            "withdrawn" => Status::Withdrawn,
            _ => return None,
        };
        Some(News {
            version: field("version")?.trim().parse().ok()?,
            step: field("step")?.trim().parse().ok()?,
            status,
            cap: field("maxWeight")?
                .trim()
                .parse()
                .ok()
                .filter(|c| (0.0..=1.0).contains(c))?,
            ago_ms: field("observedAgoMs")?
                .trim()
                .parse()
                .ok()
                .filter(|t: &f64| t.is_finite())?,
        })
    }
}

/// What an answer to a vote says; none when it can't be read.
pub fn vote_answer(status: u16, body: &[u8]) -> Option<(VoteResult, Option<News>)> {
    let text = std::str::from_utf8(body).ok()?;
    let document = roxmltree::Document::parse(text).ok()?;
    let text_of = |name: &str| {
        let mut found = document.descendants().filter(|n| n.has_tag_name(name));
        found.next().and_then(|n| n.text())
    };
    match (status, text_of("Code")) {
        (200, _) => Some((VoteResult::Accepted, Some(News::from_fields(text_of)?))),
        (400, Some("Throttling")) => Some((VoteResult::Busy, None)),
        (400, Some("ConditionFailed")) => Some((VoteResult::Superseded, None)),
        (500, Some("InternalFailure")) | (400, Some("ValidationError")) => {
            Some((VoteResult::Failed, None))
        }
        _ => None,
    }
}

/// One event of the bulletin, as its lines. Whatever of it can't be read may have been news.
pub fn announce(lines: &str, policy: &mut Balancer) -> Result<(), String> {
    let off = |what: &str| Err(format!("not an event: {what}"));
    let (mut event, mut data) = ("", "");
    for line in lines.lines() {
        match line.split_once(':') {
            Some(("event", value)) => event = value.trim(),
            Some(("data", value)) => data = value.trim(),
            Some(("id" | "retry" | "", _)) => {}
            _ => return off(line),
        }
    }
    let fields: Vec<_> = form_urlencoded::parse(data.as_bytes()).collect();
    let field = |name: &str| {
        fields
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_ref())
    };
    match event {
        "stage" => News::from_fields(field)
            .ok_or_else(|| format!("not a stage: {data}"))?
            .tell(policy),
        "flag" => {
            let ago = field("observedAgoMs")
                .and_then(|t| t.parse().ok())
                .filter(|t: &f64| t.is_finite());
            let (pod, ago) = field("pod")
                .zip(ago)
                .ok_or_else(|| format!("not a flag: {data}"))?;
            policy.on_answer_flagged(pod, age(ago));
        }
        // Sampled counts, which the module does without; and events of nothing but a sign of life.
        "tally" => {}
        "" if data.is_empty() => {}
        _ => return off(event),
    }
    Ok(())
}

pub struct RolloutStatusStream {
    streams: PersistentStream,
}

impl RolloutStatusStream {
    pub fn new(addr: SocketAddr, seed: u64) -> RolloutStatusStream {
        RolloutStatusStream {
            streams: PersistentStream::new(
                Component::RolloutStatus,
                addr,
                Pace::near(SILENCE),
                seed,
            ),
        }
    }

    pub fn open(&mut self, context: &mut IoContext) {
        self.streams.open(BULLETIN, context);
    }

    pub fn change_address(&mut self, addr: SocketAddr, context: &mut IoContext) -> bool {
        self.streams.change_address(addr, BULLETIN, context)
    }

    pub fn on_deadline(&mut self, number: u64, context: &mut IoContext) {
        if self.streams.on_deadline(number, context) {
            self.open(context);
        }
    }

    pub fn on_ready(&mut self, number: u64, readiness: calloop::Readiness) {
        self.streams.on_ready(number, readiness);
    }

    pub fn serve(&mut self, context: &mut IoContext, policy: &mut Balancer) {
        self.streams.serve(context, |line, held, _| {
            // A sign of life belongs to no event.
            if line.starts_with(':') {
                return Ok(());
            }
            if !line.is_empty() {
                held.push_str(line);
                held.push('\n');
                return if held.len() > LONGEST_EVENT {
                    Err("an event without end".into())
                } else {
                    Ok(())
                };
            }
            let told = announce(held, policy);
            held.clear();
            told
        });
    }
}

/// Votes; the module has one out at a time.
pub struct Votes {
    addr: SocketAddr,
    wait: Duration,
    connection: Option<Connection>,
    answer: http::Answer,
    out: bool,
    /// The vote could not begin.
    failed: bool,
    /// The connection leads to an earlier address.
    moved: bool,
}

impl Votes {
    pub fn new(addr: SocketAddr, wait: Duration) -> Votes {
        let answer = http::Answer::default();
        Votes {
            addr,
            wait,
            connection: None,
            answer,
            out: false,
            failed: false,
            moved: false,
        }
    }

    pub fn has_pending_work(&self) -> bool {
        self.failed
    }

    /// The next vote goes there; one that is out is settled where it went.
    pub fn change_address(&mut self, addr: SocketAddr, context: &mut IoContext) {
        (self.moved, self.addr) = (self.moved || addr != self.addr, addr);
        if self.moved && !self.out {
            self.drop_link(context);
        }
    }

    fn drop_link(&mut self, context: &mut IoContext) {
        (self.connection, self.moved) = (None, false);
        context.deadlines.clear(VOTES);
    }

    pub fn cast_vote(&mut self, ballot: Ballot, context: &mut IoContext) {
        let Ballot { build, stage, vote } = ballot;
        let vote = match vote {
            Vote::Abstain => "clear",
            Vote::Advance => "approve",
            Vote::Hold => "wait",
            Vote::RollBack => "reject",
        };
        let (version, step) = (build.to_string(), stage.to_string());
        let form = form_urlencoded::Serializer::new(String::new())
            .extend_pairs([
                ("Action", "RecordOpinion"),
                ("version", &version),
                ("step", &step),
                ("vote", vote),
            ])
            .finish();
        // An answer that is still owed would be taken for this vote's.
        if self.out || !self.connection.as_ref().is_some_and(Connection::is_quiet) {
            self.drop_link(context);
        }
        if self.connection.is_none() {
            match Connection::open(context, self.addr, VOTES) {
                Ok(connection) => self.connection = Some(connection),
                Err(e) => {
                    info!(context.log, "cannot reach the platform"; "error" => %e);
                    self.failed = true;
                    return;
                }
            }
        }
        let Some(connection) = &mut self.connection else {
            return;
        };
        http::post_form(&mut connection.output, &self.addr.to_string(), &form);
        // A failure shows at the next read.
        let _ = connection.flush();
        self.answer = http::Answer::default();
        self.out = true;
        context.deadlines.set(VOTES, context.now + self.wait);
    }

    pub fn notify_failed_vote(&mut self, policy: &mut Balancer) {
        if std::mem::take(&mut self.failed) {
            policy.on_vote_result(VoteResult::Failed);
        }
    }

    pub fn on_ready(&mut self, readiness: calloop::Readiness) {
        if let Some(connection) = &mut self.connection {
            connection.on_ready(readiness);
        }
    }

    pub fn serve(&mut self, context: &mut IoContext, policy: &mut Balancer) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        let flushed = connection.flush();
        let read = connection.read(READ_AHEAD);
        let open = flushed.is_ok() && matches!(read, Ok(fill) if fill != Fill::Ended);
        if self.out {
            let fault = self.answer.read(&mut connection.input).err();
            let whole = self.answer.is_done() || !open && self.answer.ended();
            if whole {
                let mut keep =
                    open && self.answer.keeps_open && connection.input.is_empty() && !self.moved;
                match vote_answer(self.answer.status, &self.answer.body) {
                    Some((answer, news)) => self.settle(answer, news, context, policy),
                    None => {
                        info!(context.log, "platform answered a vote with what can't be read"; "status" => self.answer.status);
                        // Whatever comes next on it could be the rest of that.
                        keep = false;
                        self.settle(VoteResult::Unknown, None, context, policy);
                    }
                }
                if keep {
                    context.deadlines.set(VOTES, context.now + VOTES_IDLE);
                    return;
                }
            } else if fault.is_some() || !open {
                let never = link_unsent(connection);
                self.settle(
                    if never {
                        VoteResult::Failed
                    } else {
                        VoteResult::Unknown
                    },
                    None,
                    context,
                    policy,
                );
            } else {
                return;
            }
        } else if open && connection.input.is_empty() {
            return;
        }
        self.drop_link(context);
    }

    fn settle(
        &mut self,
        answer: VoteResult,
        news: Option<News>,
        context: &IoContext,
        policy: &mut Balancer,
    ) {
        self.out = false;
        if !matches!(answer, VoteResult::Accepted | VoteResult::Superseded) {
            info!(context.log, "vote not counted"; "answer" => ?answer);
        }
        policy.on_vote_result(answer);
        if let Some(news) = news {
            news.tell(policy);
        }
    }

    /// No answer in the told time, or nothing to ask for a while.
    pub fn on_deadline(&mut self, context: &mut IoContext, policy: &mut Balancer) {
        if self.out {
            let never = self.connection.as_ref().is_none_or(link_unsent);
            self.settle(
                if never {
                    VoteResult::Failed
                } else {
                    VoteResult::Unknown
                },
                None,
                context,
                policy,
            );
        }
        self.drop_link(context);
    }
}

/// The call's last byte was never written.
fn link_unsent(connection: &Connection) -> bool {
    !connection.output.is_empty()
}
