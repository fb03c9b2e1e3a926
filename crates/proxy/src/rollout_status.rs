//! The platform: its bulletin, a stream that always stands, and votes on a connection of their own.

use std::net::SocketAddr;

use serde::Deserialize;
use slog::info;
use tidescale_policy::decide::Balancer;
use tidescale_policy::front::{Answer, Phase, Verdict};

use crate::buffers::Fill;
use crate::connection::{Ground, Link, Part};
use crate::http;
use crate::stream::{Pace, Standing};

const MS: u64 = 1000;
const BULLETIN: &str = "/bulletin";
const LONGEST_EVENT: usize = 64 * 1024;
const VOTES: (Part, u64) = (Part::Votes, 0);
/// Five of the signs of life that come every second.
const SILENCE: u64 = 5000 * MS;
/// Calls reuse a connection only well inside the time after which the platform may close it.
const VOTES_IDLE: u64 = 3000 * MS;
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

fn micros(ms: f64) -> u64 {
    (ms.max(0.0) * 1000.0) as u64
}

impl News {
    pub fn tell(&self, to: &mut Balancer) {
        let phase = match self.status {
            Status::Trial => Phase::Trial,
            Status::RollingBack => Phase::GoingBack,
            Status::Released => Phase::Released,
            Status::Withdrawn => Phase::Withdrawn,
        };
        to.news(self.version, self.step, phase, self.cap, micros(self.ago_ms));
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
            cap: field("maxWeight")?.trim().parse().ok().filter(|c| (0.0..=1.0).contains(c))?,
            ago_ms: field("observedAgoMs")?.trim().parse().ok().filter(|t: &f64| t.is_finite())?,
        })
    }
}

/// What an answer to a vote says; none when it can't be read.
pub fn vote_answer(status: u16, body: &[u8]) -> Option<(Answer, Option<News>)> {
    let text = std::str::from_utf8(body).ok()?;
    let document = roxmltree::Document::parse(text).ok()?;
    let text_of = |name: &str| {
        let mut found = document.descendants().filter(|n| n.has_tag_name(name));
        found.next().and_then(|n| n.text())
    };
    match (status, text_of("Code")) {
        (200, _) => Some((Answer::Counts, Some(News::from_fields(text_of)?))),
        (400, Some("Throttling")) => Some((Answer::Busy, None)),
        (400, Some("ConditionFailed")) => Some((Answer::Moot, None)),
        (500, Some("InternalFailure")) | (400, Some("ValidationError")) => Some((Answer::Error, None)),
        _ => None,
    }
}

/// One event of the bulletin, as its lines. Whatever of it can't be read may have been news.
pub fn announce(lines: &str, to: &mut Balancer) -> Result<(), String> {
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
    let field = |name: &str| fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_ref());
    match event {
        "stage" => News::from_fields(field).ok_or_else(|| format!("not a stage: {data}"))?.tell(to),
        "flag" => {
            let ago = field("observedAgoMs").and_then(|t| t.parse().ok()).filter(|t: &f64| t.is_finite());
            let (pod, ago) = field("pod").zip(ago).ok_or_else(|| format!("not a flag: {data}"))?;
            to.flagged(pod, micros(ago));
        }
        // Sampled counts, which the module does without; and events of nothing but a sign of life.
        "tally" => {}
        "" if data.is_empty() => {}
        _ => return off(event),
    }
    Ok(())
}

pub struct Bulletin {
    streams: Standing,
}

impl Bulletin {
    pub fn new(addr: SocketAddr, seed: u64) -> Bulletin {
        Bulletin { streams: Standing::new(Part::Bulletin, addr, Pace::near(SILENCE), seed) }
    }

    pub fn open(&mut self, ground: &mut Ground) {
        self.streams.open(BULLETIN, ground);
    }

    pub fn move_to(&mut self, addr: SocketAddr, ground: &mut Ground) -> bool {
        self.streams.move_to(addr, BULLETIN, ground)
    }

    pub fn due(&mut self, number: u64, ground: &mut Ground) {
        if self.streams.due(number, ground) {
            self.open(ground);
        }
    }

    pub fn found(&mut self, number: u64, readiness: calloop::Readiness) {
        self.streams.found(number, readiness);
    }

    pub fn serve(&mut self, ground: &mut Ground, to: &mut Balancer) {
        self.streams.serve(ground, |line, held, _| {
            // A sign of life belongs to no event.
            if line.starts_with(':') {
                return Ok(());
            }
            if !line.is_empty() {
                held.push_str(line);
                held.push('\n');
                return if held.len() > LONGEST_EVENT { Err("an event without end".into()) } else { Ok(()) };
            }
            let told = announce(held, to);
            held.clear();
            told
        });
    }
}

/// Votes; the module has one out at a time.
pub struct Votes {
    addr: SocketAddr,
    wait: u64,
    link: Option<Link>,
    answer: http::Answer,
    out: bool,
    /// The vote could not begin.
    failed: bool,
    /// The connection leads to an earlier address.
    moved: bool,
}

impl Votes {
    pub fn new(addr: SocketAddr, wait: u64) -> Votes {
        let answer = http::Answer::default();
        Votes { addr, wait, link: None, answer, out: false, failed: false, moved: false }
    }

    pub fn is_pressed(&self) -> bool {
        self.failed
    }

    /// The next vote goes there; one that is out is settled where it went.
    pub fn move_to(&mut self, addr: SocketAddr, ground: &mut Ground) {
        (self.moved, self.addr) = (self.moved || addr != self.addr, addr);
        if self.moved && !self.out {
            self.drop_link(ground);
        }
    }

    fn drop_link(&mut self, ground: &mut Ground) {
        (self.link, self.moved) = (None, false);
        ground.deadlines.clear(VOTES);
    }

    pub fn cast(&mut self, build: u32, stage: u32, verdict: Verdict, ground: &mut Ground) {
        let vote = match verdict {
            Verdict::None => "clear",
            Verdict::On => "approve",
            Verdict::Hold => "wait",
            Verdict::Back => "reject",
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
        if self.out || !self.link.as_ref().is_some_and(Link::is_quiet) {
            self.drop_link(ground);
        }
        if self.link.is_none() {
            match Link::open(ground, self.addr, VOTES) {
                Ok(link) => self.link = Some(link),
                Err(e) => {
                    info!(ground.log, "cannot reach the platform"; "error" => %e);
                    self.failed = true;
                    return;
                }
            }
        }
        let Some(link) = &mut self.link else { return };
        http::post_form(&mut link.output, &self.addr.to_string(), &form);
        // A failure shows at the next read.
        let _ = link.flush();
        self.answer = http::Answer::default();
        self.out = true;
        ground.deadlines.set(VOTES, ground.now + self.wait);
    }

    pub fn tell_failed(&mut self, to: &mut Balancer) {
        if std::mem::take(&mut self.failed) {
            to.answered(Answer::Error);
        }
    }

    pub fn found(&mut self, readiness: calloop::Readiness) {
        if let Some(link) = &mut self.link {
            link.found(readiness);
        }
    }

    pub fn serve(&mut self, ground: &mut Ground, to: &mut Balancer) {
        let Some(link) = &mut self.link else { return };
        let flushed = link.flush();
        let read = link.read(READ_AHEAD);
        let open = flushed.is_ok() && matches!(read, Ok(fill) if fill != Fill::Ended);
        if self.out {
            let fault = self.answer.read(&mut link.input).err();
            let whole = self.answer.is_done() || !open && self.answer.ended();
            if whole {
                let mut keep = open && self.answer.keeps_open && link.input.is_empty() && !self.moved;
                match vote_answer(self.answer.status, &self.answer.body) {
                    Some((answer, news)) => self.settle(answer, news, ground, to),
                    None => {
                        info!(ground.log, "platform answered a vote with what can't be read"; "status" => self.answer.status);
                        // Whatever comes next on it could be the rest of that.
                        keep = false;
                        self.settle(Answer::Unknown, None, ground, to);
                    }
                }
                if keep {
                    ground.deadlines.set(VOTES, ground.now + VOTES_IDLE);
                    return;
                }
            } else if fault.is_some() || !open {
                let never = link_unsent(link);
                self.settle(if never { Answer::Error } else { Answer::Unknown }, None, ground, to);
            } else {
                return;
            }
        } else if open && link.input.is_empty() {
            return;
        }
        self.drop_link(ground);
    }

    fn settle(&mut self, answer: Answer, news: Option<News>, ground: &Ground, to: &mut Balancer) {
        self.out = false;
        if !matches!(answer, Answer::Counts | Answer::Moot) {
            info!(ground.log, "vote not counted"; "answer" => ?answer);
        }
        to.answered(answer);
        if let Some(news) = news {
            news.tell(to);
        }
    }

    /// No answer in the told time, or nothing to ask for a while.
    pub fn due(&mut self, ground: &mut Ground, to: &mut Balancer) {
        if self.out {
            let never = self.link.as_ref().is_none_or(link_unsent);
            self.settle(if never { Answer::Error } else { Answer::Unknown }, None, ground, to);
        }
        self.drop_link(ground);
    }
}

/// The call's last byte was never written.
fn link_unsent(link: &Link) -> bool {
    !link.output.is_empty()
}
