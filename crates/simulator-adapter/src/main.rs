//! The bench's wire: lines in, calls on the decision module, lines out. Decides nothing.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write as _};
use std::rc::Rc;
use std::time::Duration;

use tidescale_policy::Balancer;
use tidescale_policy::host::{DecisionSink, EventSource};
use tidescale_policy::types::{
    AttemptOutcome, AttemptResult, Ballot, EndpointEntry, EndpointState, EvidenceTest,
    IncomingRequest, LoadReport, RollbackVerdict, RolloutPhase, RolloutStatus, Timestamp, Vote,
    VoteResult, whole_micros,
};
use tidescale_settings::{Fault, RawSettings, flag, micros, number};

type List = Rc<Vec<String>>;

fn main() {
    if let Err(fault) = run() {
        eprintln!("tidescale-simhost: {fault}");
        println!("INTERNAL_ERROR {fault}");
        std::process::exit(1);
    }
}

fn present(text: &str) -> Option<&str> {
    (text != "-").then_some(text)
}

fn end(text: &str) -> Result<AttemptOutcome, Fault> {
    Ok(match text {
        "done" => AttemptOutcome::Succeeded,
        "err" => AttemptOutcome::Failed,
        "busy" => AttemptOutcome::Overloaded,
        "etimedout" => AttemptOutcome::TimedOut,
        "econnrefused" => AttemptOutcome::Refused,
        "econnreset" => AttemptOutcome::ConnectionReset,
        "ecanceled" => AttemptOutcome::Cancelled,
        "skipped" => AttemptOutcome::NotSent,
        _ => return Err(format!("unknown outcome: {text}")),
    })
}

fn load(text: &str) -> Result<Option<LoadReport>, Fault> {
    let Some(text) = present(text) else {
        return Ok(None);
    };
    let mut load = LoadReport::default();
    for pair in text.split(',') {
        let (name, value) = pair
            .split_once(':')
            .ok_or_else(|| format!("not a load report: {text}"))?;
        let value: f64 = number(value)?;
        match name {
            "inflight" => load.in_flight = Some(value),
            "queue" => load.queued = Some(value),
            _ => {}
        }
    }
    Ok(Some(load))
}

/// The parts of a line, `N` of them after the name.
fn parts<const N: usize>(line: &str) -> Result<[&str; N], Fault> {
    let mut all = line.split(' ').skip(1);
    let mut got = [""; N];
    for slot in &mut got {
        *slot = all
            .next()
            .ok_or_else(|| format!("too few values: {line}"))?;
    }
    match all.next() {
        Some(_) => Err(format!("too many values: {line}")),
        None => Ok(got),
    }
}

/// The settings as the wire has them.
fn pairs(text: &str) -> Result<RawSettings, Fault> {
    let pair = |p: &str| match p.split_once('=') {
        Some((path, value)) => Ok((path.to_string(), value.to_string())),
        None => Err(format!("not a setting: {p}")),
    };
    text.split(' ')
        .filter(|p| !p.is_empty())
        .map(pair)
        .collect()
}

/// One instance in service, and how its names map to indices.
struct Host {
    module: Balancer,
    routes: Vec<String>,
}

/// The lines of one instance in one batch; a list's rows are bound when its line is read, since numbers
/// may be reused later in the batch.
struct Lines<'a> {
    lines: &'a [(String, Option<List>)],
    routes: &'a [String],
    fault: Option<Fault>,
}

impl EventSource for Lines<'_> {
    fn deliver(&mut self, policy: &mut Balancer) {
        for (line, rows) in self.lines {
            if let Err(fault) = self.deliver_line(line, rows.as_ref(), policy) {
                self.fault = Some(fault);
                return;
            }
        }
    }
}

impl Lines<'_> {
    fn route(&self, name: &str) -> Result<usize, Fault> {
        self.routes
            .iter()
            .position(|r| r == name)
            .ok_or_else(|| format!("unknown class: {name}"))
    }

    fn deliver_line(
        &self,
        line: &str,
        rows: Option<&List>,
        policy: &mut Balancer,
    ) -> Result<(), Fault> {
        match line.split(' ').next().unwrap_or_default() {
            "ASK" => {
                let [job, class, _team, key, left, hint, again, update] = parts(line)?;
                let hint = present(hint).map(number).transpose()?;
                flag(again)?;
                flag(update)?;
                let request = IncomingRequest {
                    route: self.route(class)?,
                    idempotency_key: present(key),
                    time_remaining: Duration::from_micros(micros(left)?),
                    cost_hint: hint,
                };
                policy.on_request(number(job)?, request);
            }
            "OUTCOME" => {
                let [job, trial, _machine, rc, took, over, info] = parts(line)?;
                let took = present(took).map_or(Ok(0), micros)?;
                let result = AttemptResult {
                    outcome: end(rc)?,
                    duration: Duration::from_micros(took),
                    request_finished: flag(over)?,
                    load: load(info)?,
                };
                policy.on_attempt_result(number(job)?, number(trial)?, result);
            }
            "WITHDRAWN" => {
                let [job] = parts(line)?;
                policy.on_client_disconnected(number(job)?);
            }
            "OPENED" => {
                let [job, took, _machine, trial] = parts(line)?;
                micros(took)?;
                policy.on_response_started(number(job)?, number(trial)?);
            }
            "WAKEUP" => {
                let [token] = parts(line)?;
                number::<u64>(token)?;
            }
            "ECHO" => {
                let [machine, rc, _took, info] = parts(line)?;
                policy.on_health_check(machine, end(rc)?, load(info)?);
            }
            "CONTESTED" => {
                let [machine, class, since] = parts(line)?;
                self.route(class)?;
                policy.on_answer_flagged(machine, Duration::from_micros(micros(since)?));
            }
            "PHASE_TOLD" => {
                let [stage, rc, code, course, since, allowed, build] = parts(line)?;
                let reply = number::<u8>(code)? == 1;
                let answer = match rc {
                    "done" => VoteResult::Accepted,
                    "skipped" => VoteResult::Superseded,
                    "busy" => VoteResult::Busy,
                    "err" => VoteResult::Failed,
                    "etimedout" => VoteResult::Unknown,
                    _ => return Err(format!("unknown answer to a vote: {rc}")),
                };
                if reply {
                    policy.on_vote_result(answer);
                }
                if answer != VoteResult::Accepted {
                    return Ok(());
                }
                let phase = match course {
                    "0" => RolloutPhase::Canary,
                    "1" => RolloutPhase::RollingBack,
                    "2" => RolloutPhase::Released,
                    "3" => RolloutPhase::Withdrawn,
                    _ => return Err(format!("unknown course: {course}")),
                };
                let (build, stage, cap) = (number(build)?, number(stage)?, number(allowed)?);
                let age = Duration::from_micros(micros(since)?);
                policy.on_rollout_status(RolloutStatus {
                    build,
                    stage,
                    phase,
                    traffic_cap: cap,
                    age,
                });
            }
            "ROSTER_CHANGE" => {
                let [how, revision, _list] = parts(line)?;
                number::<u64>(revision)?;
                if how == "2" {
                    policy.on_endpoint_list_failed();
                    return Ok(());
                }
                match how {
                    "0" | "1" => policy.on_complete_endpoint_list(),
                    "3" => {}
                    _ => return Err(format!("unknown kind of list: {how}")),
                }
                for row in rows.ok_or("a list that was never given")?.iter() {
                    let [machine, zone, ver, kind, cell, readiness, weight, since] = parts(row)?;
                    present(weight).map_or(Ok(0.0), number::<f64>)?;
                    let standing = match readiness {
                        "0" => EndpointState::Removed,
                        "1" => EndpointState::Ready,
                        "2" => EndpointState::Draining,
                        _ => return Err(format!("unknown readiness: {row}")),
                    };
                    let started_at = present(since).map(micros).transpose()?.filter(|at| *at > 0);
                    let started_at = started_at.map(Timestamp::from_micros);
                    let cell = present(cell).map_or(Ok(0), number)?;
                    policy.on_endpoint(EndpointEntry {
                        name: machine,
                        zone,
                        cell,
                        hardware_class: kind,
                        build: number(ver)?,
                        state: standing,
                        started_at,
                    });
                }
            }
            "SCORECARD" => {
                let [class, took, since, count, lost, build] = parts(line)?;
                present(took).map_or(Ok(0), micros)?;
                micros(since)?;
                self.route(class)?;
                number::<u32>(build)?;
                number::<f64>(count)?;
                number::<f64>(lost)?;
            }
            "MESSAGE" => {
                let [_by, _body] = parts(line)?;
            }
            _ => return Err(format!("unknown message: {line}")),
        }
        Ok(())
    }
}

/// Writes the decisions as lines; a time on the way back is cut, never rounded up past a limit.
struct Reply<'a>(&'a mut String);

fn ms(duration: Duration) -> f64 {
    whole_micros(duration) as f64 / 1000.0
}

impl DecisionSink for Reply<'_> {
    fn start_attempt(&mut self, request: u64, endpoint: &str, deadline: Timestamp) {
        let _ = writeln!(
            self.0,
            "SEND {request} {endpoint} {}",
            ms(deadline - Timestamp::ZERO)
        );
    }
    fn cancel_attempt(&mut self, request: u64, attempt_index: usize) {
        let _ = writeln!(self.0, "STOP_ATTEMPT {request} {attempt_index}");
    }
    fn reject_request(&mut self, request: u64, retry_after: Duration) {
        let _ = writeln!(self.0, "TURN_AWAY {request} {}", ms(retry_after));
    }
    fn fail_request(&mut self, request: u64) {
        let _ = writeln!(self.0, "ERROR {request}");
    }
    fn cast_vote(&mut self, ballot: Ballot) {
        let code = match ballot.vote {
            Vote::Abstain => 0,
            Vote::Advance => 1,
            Vote::Hold => 2,
            Vote::RollBack => 3,
        };
        let _ = writeln!(self.0, "OPINION {} {} {code}", ballot.build, ballot.stage);
    }
    fn start_health_check(&mut self, endpoint: &str, _deadline: Timestamp) {
        let _ = writeln!(self.0, "HEALTH_CHECK {endpoint}");
    }
    fn poll_endpoints(&mut self) {
        let _ = writeln!(self.0, "TAIL 1");
    }
    fn schedule_wake_up(&mut self, after: Duration) {
        let _ = writeln!(self.0, "SCHEDULE {} 0", ms(after));
    }
    fn report_rollback_verdict(&mut self, verdict: &RollbackVerdict) {
        let RollbackVerdict {
            build,
            candidate,
            baseline,
            ..
        } = verdict;
        let test = match verdict.test {
            EvidenceTest::Failures => 0,
            EvidenceTest::Slowness => 1,
            EvidenceTest::Errors => 2,
            EvidenceTest::FleetSlowdown => 3,
        };
        let _ = writeln!(
            self.0,
            "EMIT build {build} to go back: test {test}, new and old [{:.1}, {:.1}, {:.1}, {:.1}]",
            candidate.failures, candidate.outcomes, baseline.failures, baseline.outcomes
        );
    }
}

fn run() -> Result<(), Fault> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut hosts: BTreeMap<u64, Host> = BTreeMap::new();
    let mut lists: BTreeMap<u32, List> = BTreeMap::new();
    let mut line = String::new();
    loop {
        let mut next = |line: &mut String| -> Result<bool, Fault> {
            line.clear();
            let n = input
                .read_line(line)
                .map_err(|e| format!("cannot read: {e}"))?;
            line.truncate(line.trim_end_matches(['\n', '\r']).len());
            Ok(n > 0)
        };
        if !next(&mut line)? {
            return Ok(());
        }
        if line.is_empty() {
            continue;
        }
        let [clock, batch] = match parts(&line) {
            Ok(told) if line.starts_with("MARK ") => told,
            _ => return Err(format!("a batch must start with its clock: {line}")),
        };
        let (now, batch) = (micros(clock)?, number::<u64>(batch)?);
        let mut news: BTreeMap<u64, Vec<(String, Option<List>)>> = BTreeMap::new();
        let mut at = None;
        loop {
            if !next(&mut line)? {
                return Err("input ended inside a batch".into());
            }
            match line.split(' ').next().unwrap_or_default() {
                "OVER_TO_YOU" => break,
                "AT" => at = Some(number::<u64>(parts::<1>(&line)?[0])?),
                "INVENTORY" => {
                    let [list, count] = parts(&line)?;
                    let (list, count) = (number(list)?, number::<usize>(count)?);
                    let mut rows = Vec::new();
                    for _ in 0..count {
                        if !next(&mut line)? || !line.starts_with("ROW ") {
                            return Err(format!("a list is shorter than told: {line}"));
                        }
                        rows.push(line.clone());
                    }
                    lists.insert(list, Rc::new(rows));
                }
                name => {
                    let at = at
                        .ok_or_else(|| format!("an event before any instance was named: {line}"))?;
                    let lines = news.entry(at).or_default();
                    if name == "SPAWN" {
                        let mut parts = line.splitn(3, ' ').skip(1);
                        let seed = number(parts.next().ok_or("a start without a seed")?)?;
                        let told = parts.next().ok_or("a start without settings")?;
                        let told = pairs(told)?;
                        // What is due is seen in the very round; on sockets 50 ms are added to the slack.
                        let slack = told.time("rules.answer_slack")?;
                        if told.time("tick").is_ok_and(|tick| slack < tick) {
                            return Err(format!(
                                "rules.answer_slack: {slack} us are less than a tick"
                            ));
                        }
                        let settings = tidescale_settings::decode(&told)?;
                        let routes = settings.routes.iter().map(|r| r.name.clone()).collect();
                        let module = Balancer::new(settings, seed, Timestamp::from_micros(now));
                        hosts.insert(at, Host { module, routes });
                        lines.clear();
                    } else if name == "DOWN" {
                        hosts.remove(&at);
                        lines.clear();
                    } else {
                        let list = (name == "ROSTER_CHANGE")
                            .then(|| line.split(' ').nth(3).and_then(|n| n.parse().ok()))
                            .flatten()
                            .and_then(|n: u32| lists.get(&n).cloned());
                        lines.push((line.clone(), list));
                    }
                }
            }
        }
        let mut reply = String::new();
        for (at, lines) in &news {
            let Some(host) = hosts.get_mut(at) else {
                continue;
            };
            let _ = writeln!(reply, "INSTANCE {at}");
            let routes = &host.routes;
            let mut inbox = Lines {
                lines,
                routes,
                fault: None,
            };
            host.module.step(
                Timestamp::from_micros(now),
                &mut inbox,
                &mut Reply(&mut reply),
            );
            if let Some(fault) = inbox.fault {
                return Err(fault);
            }
        }
        let _ = writeln!(reply, "ACK {batch}");
        output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|e| format!("cannot write: {e}"))?;
    }
}
