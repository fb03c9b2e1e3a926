//! The bench's wire: lines in, calls on the decision module, lines out. Decides nothing.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write as _};
use std::rc::Rc;

use tidescale_policy::decide::Balancer;
use tidescale_policy::front::{Answer, End, Finding, Inbox, Load, Phase, Standing, Verdict, Writer};
use tidescale_settings::{Fault, Told, flag, micros, number};

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

fn end(text: &str) -> Result<End, Fault> {
    Ok(match text {
        "done" => End::Done,
        "err" => End::Error,
        "busy" => End::Full,
        "etimedout" => End::TimedOut,
        "econnrefused" => End::Refused,
        "econnreset" => End::Reset,
        "ecanceled" => End::Cancelled,
        "skipped" => End::NotSent,
        _ => return Err(format!("unknown outcome: {text}")),
    })
}

fn load(text: &str) -> Result<Option<Load>, Fault> {
    let Some(text) = present(text) else { return Ok(None) };
    let mut load = Load::default();
    for pair in text.split(',') {
        let (name, value) = pair.split_once(':').ok_or_else(|| format!("not a load report: {text}"))?;
        let value: f64 = number(value)?;
        match name {
            "inflight" => load.inflight = Some(value),
            "queue" => load.queue = Some(value),
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
        *slot = all.next().ok_or_else(|| format!("too few values: {line}"))?;
    }
    match all.next() {
        Some(_) => Err(format!("too many values: {line}")),
        None => Ok(got),
    }
}

/// The settings as the wire has them.
fn pairs(text: &str) -> Result<Told, Fault> {
    let pair = |p: &str| match p.split_once('=') {
        Some((path, value)) => Ok((path.to_string(), value.to_string())),
        None => Err(format!("not a setting: {p}")),
    };
    text.split(' ').filter(|p| !p.is_empty()).map(pair).collect()
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

impl Inbox for Lines<'_> {
    fn replay(&mut self, to: &mut Balancer) {
        for (line, rows) in self.lines {
            if let Err(fault) = self.replay_line(line, rows.as_ref(), to) {
                self.fault = Some(fault);
                return;
            }
        }
    }
}

impl Lines<'_> {
    fn route(&self, name: &str) -> Result<usize, Fault> {
        self.routes.iter().position(|r| r == name).ok_or_else(|| format!("unknown class: {name}"))
    }

    fn replay_line(&self, line: &str, rows: Option<&List>, to: &mut Balancer) -> Result<(), Fault> {
        match line.split(' ').next().unwrap_or_default() {
            "ASK" => {
                let [job, class, _team, key, left, hint, again, update] = parts(line)?;
                let hint = present(hint).map(number).transpose()?;
                flag(again)?;
                flag(update)?;
                let hint = hint.unwrap_or(0.0);
                to.req(number(job)?, self.route(class)?, present(key), micros(left)?, hint);
            }
            "OUTCOME" => {
                let [job, trial, _machine, rc, took, over, info] = parts(line)?;
                let took = present(took).map_or(Ok(0), micros)?;
                to.outcome(number(job)?, number(trial)?, end(rc)?, took, flag(over)?, load(info)?);
            }
            "WITHDRAWN" => {
                let [job] = parts(line)?;
                to.withdrawn(number(job)?);
            }
            "OPENED" => {
                let [job, took, _machine, trial] = parts(line)?;
                micros(took)?;
                to.begun(number(job)?, number(trial)?);
            }
            "WAKEUP" => {
                let [token] = parts(line)?;
                number::<u64>(token)?;
            }
            "ECHO" => {
                let [machine, rc, _took, info] = parts(line)?;
                to.probed(machine, end(rc)?, load(info)?);
            }
            "CONTESTED" => {
                let [machine, class, since] = parts(line)?;
                self.route(class)?;
                to.flagged(machine, micros(since)?);
            }
            "PHASE_TOLD" => {
                let [stage, rc, code, course, since, allowed, build] = parts(line)?;
                let reply = number::<u8>(code)? == 1;
                let answer = match rc {
                    "done" => Answer::Counts,
                    "skipped" => Answer::Moot,
                    "busy" => Answer::Busy,
                    "err" => Answer::Error,
                    "etimedout" => Answer::Unknown,
                    _ => return Err(format!("unknown answer to a vote: {rc}")),
                };
                if reply {
                    to.answered(answer);
                }
                if answer != Answer::Counts {
                    return Ok(());
                }
                let phase = match course {
                    "0" => Phase::Trial,
                    "1" => Phase::GoingBack,
                    "2" => Phase::Released,
                    "3" => Phase::Withdrawn,
                    _ => return Err(format!("unknown course: {course}")),
                };
                let (build, stage, cap) = (number(build)?, number(stage)?, number(allowed)?);
                to.news(build, stage, phase, cap, micros(since)?);
            }
            "ROSTER_CHANGE" => {
                let [how, revision, _list] = parts(line)?;
                number::<u64>(revision)?;
                if how == "2" {
                    to.list_failed();
                    return Ok(());
                }
                to.list(match how {
                    "0" | "1" => true,
                    "3" => false,
                    _ => return Err(format!("unknown kind of list: {how}")),
                });
                for row in rows.ok_or("a list that was never given")?.iter() {
                    let [machine, zone, ver, kind, cell, readiness, weight, since] = parts(row)?;
                    present(weight).map_or(Ok(0.0), number::<f64>)?;
                    let standing = match readiness {
                        "0" => Standing::Gone,
                        "1" => Standing::Ready,
                        "2" => Standing::Draining,
                        _ => return Err(format!("unknown readiness: {row}")),
                    };
                    let started = present(since).map_or(Ok(0), micros)?;
                    let cell = present(cell).map_or(Ok(0), number)?;
                    to.machine(machine, (zone, cell, kind), number(ver)?, standing, started);
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

fn ms(us: u64) -> f64 {
    us as f64 / 1000.0
}

impl Writer for Reply<'_> {
    fn upstream_try(&mut self, rq: u64, machine: &str, until: u64) {
        let _ = writeln!(self.0, "SEND {rq} {machine} {}", ms(until));
    }
    fn cancel_try(&mut self, rq: u64, n: usize) {
        let _ = writeln!(self.0, "STOP_ATTEMPT {rq} {n}");
    }
    fn shed(&mut self, rq: u64, come_back: u64) {
        let _ = writeln!(self.0, "TURN_AWAY {rq} {}", ms(come_back));
    }
    fn error(&mut self, rq: u64) {
        let _ = writeln!(self.0, "ERROR {rq}");
    }
    fn vote(&mut self, build: u32, stage: u32, verdict: Verdict) {
        let code = match verdict {
            Verdict::None => 0,
            Verdict::On => 1,
            Verdict::Hold => 2,
            Verdict::Back => 3,
        };
        let _ = writeln!(self.0, "OPINION {build} {stage} {code}");
    }
    fn probe(&mut self, machine: &str, _until: u64) {
        let _ = writeln!(self.0, "HEALTH_CHECK {machine}");
    }
    fn watch_list(&mut self) {
        let _ = writeln!(self.0, "TAIL 1");
    }
    fn wake(&mut self, after: u64) {
        let _ = writeln!(self.0, "SCHEDULE {} 0", ms(after));
    }
    fn found(&mut self, f: &Finding) {
        let Finding { build, test, new: [k, n], old: [l, m], .. } = f;
        let _ = writeln!(
            self.0,
            "EMIT build {build} to go back: test {test}, new and old [{k:.1}, {n:.1}, {l:.1}, {m:.1}]"
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
            let n = input.read_line(line).map_err(|e| format!("cannot read: {e}"))?;
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
                    let at = at.ok_or_else(|| format!("an event before any instance was named: {line}"))?;
                    let lines = news.entry(at).or_default();
                    if name == "SPAWN" {
                        let mut parts = line.splitn(3, ' ').skip(1);
                        let seed = number(parts.next().ok_or("a start without a seed")?)?;
                        let told = parts.next().ok_or("a start without settings")?;
                        let told = pairs(told)?;
                        // What is due is seen in the very round; on sockets 50 ms are added to the slack.
                        let slack = told.time("rules.answer_slack")?;
                        if told.time("tick").is_ok_and(|tick| slack < tick) {
                            return Err(format!("rules.answer_slack: {slack} us are less than a tick"));
                        }
                        let settings = tidescale_settings::decode(&told)?;
                        let routes = settings.routes.iter().map(|r| r.name.clone()).collect();
                        let module = Balancer::new(settings, seed, now);
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
            let Some(host) = hosts.get_mut(at) else { continue };
            let _ = writeln!(reply, "INSTANCE {at}");
            let routes = &host.routes;
            let mut inbox = Lines { lines, routes, fault: None };
            host.module.round(now, &mut inbox, &mut Reply(&mut reply));
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
