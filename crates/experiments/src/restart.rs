//! A front killed under load and started again, with and without its memory, against stand-ins on loopback.

use std::fs;
use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use oorandom::Rand64;
use rayon::prelude::*;
use serde_json::json;
use tidescale_policy::types::Timestamp;
use tidescale_snapshot::format::{self, Snapshot};
use tidescale_snapshot::records::{
    EndpointRecord, ListedEndpointRecord, ListedState, OutcomeRecord, Process, Record, ReportedLoad,
};

use crate::standins::{self, Answered, Machine, Manner, Platform};
use crate::table::{self, Column};

const OBJECTIVE: Duration = Duration::from_millis(200);
const BEFORE: Duration = Duration::from_secs(7);
const AFTER: Duration = Duration::from_secs(10);
const CLIENTS: u64 = 24;
const EVERY: Duration = Duration::from_millis(150);
const SLOW_MS: u64 = 320;
const USUAL_MS: u64 = 16;
/// Looks after the restart, in seconds.
const LOOKS: [u64; 3] = [1, 3, 10];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Case {
    /// One machine is slow, one silent, one drains.
    Trouble,
    /// The same, and both have healed by the time the front is back.
    Healed,
    /// Traffic is thin, a build on trial fails one req in twelve, and the front had found out.
    BadBuild,
}

impl Case {
    const ALL: [Case; 3] = [Case::Trouble, Case::Healed, Case::BadBuild];
    fn name(self) -> &'static str {
        match self {
            Case::Trouble => "trouble",
            Case::Healed => "healed",
            Case::BadBuild => "bad build",
        }
    }
}

/// One play: what came of the reqs after the restart, and where tries went.
#[derive(Clone)]
struct Row {
    case: Case,
    seed: u64,
    remembers: bool,
    within: [f64; 3],
    slow: f64,
    silent: f64,
    draining: f64,
    on_trial: f64,
    /// Until a vote to send the bad build back; NaN where none came.
    found_ms: f64,
    /// Of the tries in the last 5 s at the machine that was slow, against an even part.
    share_of_healed: f64,
    up_ms: f64,
}

struct Front(Child);

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn fault(e: impl std::fmt::Display) -> String {
    e.to_string()
}

fn up(
    program: &Path,
    config: &Path,
    operators: Option<&Path>,
    addr: SocketAddr,
) -> Result<(Front, Duration), String> {
    let begun = Instant::now();
    let mut command = Command::new(program);
    command
        .arg("run")
        .env("PROXY_CONFIG", config)
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    if let Some(path) = operators {
        command.arg("--operators").arg(path);
    }
    let mut front = Front(command.spawn().map_err(fault)?);
    while TcpStream::connect(addr).is_err() {
        if begun.elapsed() > Duration::from_secs(20) || front.0.try_wait().map_err(fault)?.is_some()
        {
            return Err("a front does not come up".into());
        }
        thread::sleep(Duration::from_millis(1));
    }
    Ok((front, begun.elapsed()))
}

/// Reads on, or a full pipe would hold the front's log up.
fn drain(front: &mut Front) -> thread::JoinHandle<String> {
    let mut from = front.0.stderr.take();
    thread::spawn(move || {
        let mut text = String::new();
        from.as_mut().map(|f| f.read_to_string(&mut text));
        text
    })
}

/// Machines, builds and states as told; the settings of a small deployment.
fn config(
    listen: SocketAddr,
    discovery: SocketAddr,
    platform: SocketAddr,
    listing: &serde_json::Value,
    trial: bool,
    seed: u64,
) -> serde_json::Value {
    let (version, status, cap) = if trial {
        (42, "trial", 0.5)
    } else {
        (41, "released", 1.0)
    };
    json!({"name": "n0", "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{seed:x}"), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "pipeline": {"address": platform.to_string(), "news":
            {"version": version, "step": 1, "status": status, "maxWeight": cap, "observedAgoMs": 4000}},
        "known": listing,
        "settings": {"me": 0, "balancers": 1, "zone": "z1", "zones": ["z1"], "parties": [],
            "classes": [{"name": "look", "idempotency": "retryable", "target": 200.0, "deadline": 1200.0, "value": 1.0}],
            "membership_mode": "push", "tariffs": {"cross_zone": 0.0},
            "stats": {"how": "piggyback", "names": ["inflight"]},
            "policy_limits": {"probes": true, "may_cancel": true, "second_copies": true, "max_attempts": 3,
                "retry_after": true, "max_retry_after": 1000.0, "conn_idle": 5000.0, "connect_timeout": 250.0},
            "rules": {"drain_grace": 500.0, "cold_from": 0.3, "cold": 4000.0, "fall_multiple": 2.0, "fall": 1500.0},
            "family_info": {"stage_cap": [0.1, 0.5, 1.0], "allowance": 3.0, "exposure_window": 4000.0,
                "counted_by": "all", "guarded_stages": 0, "forward_only": false, "gate_mode": "automatic",
                "min_dwell": 1000.0, "to_abort": 1, "api_rate": 100.0, "vote_life": 5000.0, "vote_wait": 400.0}}})
}

fn entry(id: &str, addr: SocketAddr, build: u32, state: &str) -> serde_json::Value {
    json!({"id": id, "addr": addr.to_string(), "zone": "z1", "kind": "k", "cell": 0, "state": state, "weight": 1.0,
        "started_ms": 0, "image_id": build})
}

/// An address of this play's own, free a moment ago.
fn own_address(play: u64) -> Result<SocketAddr, String> {
    let ip = Ipv4Addr::new(127, 9, (play / 250) as u8, 1 + (play % 250) as u8);
    TcpListener::bind((ip, 0))
        .and_then(|l| l.local_addr())
        .map_err(fault)
}

fn play(
    number: u64,
    case: Case,
    remembers: bool,
    seed: u64,
    program: &Path,
    dir: &Path,
) -> Result<Row, String> {
    let dir = dir.join(format!("play-{number}"));
    fs::create_dir_all(&dir).map_err(fault)?;
    let mut rng = Rand64::new(u128::from(seed));
    let jitter = Duration::from_millis(rng.rand_u64() % 400);
    let bad = case == Case::BadBuild;
    let mut machines = Vec::new();
    for _ in 0..8 {
        machines.push(Machine::start(USUAL_MS).map_err(fault)?);
    }
    let manner = |n: usize| machines[n].manner.clone();
    let entries: Vec<_> = machines
        .iter()
        .enumerate()
        .map(|(n, m)| {
            let build = if bad && n < 3 { 42 } else { 41 };
            let state = if !bad && n == 2 { "leaving" } else { "active" };
            entry(&format!("s-{n}"), m.addr, build, state)
        })
        .collect();
    if bad {
        (0..3).for_each(|n| manner(n).errors.store(8, Relaxed));
    } else {
        manner(0).delay_ms.store(SLOW_MS, Relaxed);
    }
    let listing = json!({"version": 7, "full": true, "servers": entries});
    let discovery = standins::discovery(listing.to_string()).map_err(fault)?;
    let (build, status, cap) = if bad {
        (42, "trial", 0.5)
    } else {
        (41, "released", 1.0)
    };
    let platform = Platform::start(build, 1, status, cap).map_err(fault)?;
    let listen = own_address(number)?;
    let (config_path, operators) = (dir.join("config.json"), dir.join("operators.toml"));
    let text = config(listen, discovery, platform.addr, &listing, bad, seed).to_string();
    fs::write(&config_path, text).map_err(fault)?;
    let folder = dir.join("memory");
    let set = format!(
        "[memory]\nfolder = \"{}\"\nevery = \"500 ms\"\n",
        folder.display()
    );
    fs::write(&operators, set).map_err(fault)?;
    let operators = remembers.then_some(operators.as_path());

    let (mut front, _) = up(program, &config_path, operators, listen)?;
    drain(&mut front);
    let stop = Arc::new(AtomicBool::new(false));
    let every = if bad { 3 * EVERY } else { EVERY };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let stop = stop.clone();
            thread::spawn(move || standins::client(listen, n, every, stop))
        })
        .collect();
    thread::sleep(BEFORE / 2 + jitter);
    // What is usual is known by now; from here on one machine is silent.
    if !bad {
        manner(1).silent.store(true, Relaxed);
    }
    thread::sleep(BEFORE / 2);
    drop(front);
    if case == Case::Healed {
        manner(0).delay_ms.store(USUAL_MS, Relaxed);
        manner(1).silent.store(false, Relaxed);
    }
    let reqs = |m: &Manner| m.reqs.load(Relaxed) as f64;
    let count = || {
        machines
            .iter()
            .map(|m| reqs(&m.manner))
            .collect::<Vec<f64>>()
    };
    let at_kill = count();
    platform.rejects.lock().map_err(fault)?.clear();
    let (mut front, took) = up(program, &config_path, operators, listen)?;
    drain(&mut front);
    let since = Instant::now();
    thread::sleep(AFTER / 2);
    let half = count();
    thread::sleep(AFTER / 2);
    let end = count();
    stop.store(true, Relaxed);
    let mut answered: Vec<Answered> = Vec::new();
    for c in clients {
        answered.extend(c.join().map_err(|_| "a client fell")?);
    }
    let found = platform.rejects.lock().map_err(fault)?.first().copied();
    drop(front);
    let _ = fs::remove_dir_all(&dir);
    let share = |seconds: u64| {
        let end = since + Duration::from_secs(seconds);
        let all = answered.iter().filter(|(at, _)| *at >= since && *at < end);
        let good = all
            .clone()
            .filter(|(_, took)| took.is_some_and(|t| t <= OBJECTIVE))
            .count();
        good as f64 / all.count().max(1) as f64
    };
    let tries = |n: usize| end[n] - at_kill[n];
    let late: Vec<f64> = end.iter().zip(&half).map(|(e, h)| e - h).collect();
    let serving = late.iter().filter(|n| **n > 0.0).count().max(1) as f64;
    let none = |is: bool, x: f64| if is { x } else { f64::NAN };
    Ok(Row {
        case,
        seed,
        remembers,
        within: LOOKS.map(share),
        slow: none(!bad, tries(0)),
        silent: none(!bad, tries(1)),
        draining: none(!bad, tries(2)),
        on_trial: none(bad, tries(0) + tries(1) + tries(2)),
        found_ms: found.map_or(f64::NAN, |at| {
            at.saturating_duration_since(since).as_secs_f64() * 1e3
        }),
        share_of_healed: none(
            !bad,
            late[0] / (late.iter().sum::<f64>() / serving).max(1.0),
        ),
        up_ms: took.as_secs_f64() * 1e3,
    })
}

/// Sizes and times of a state of so many machines, and of a front that starts with it and keeps it.
struct Size {
    machines: usize,
    bytes: f64,
    encode_ms: f64,
    decode_ms: f64,
    up_with_ms: f64,
    up_without_ms: f64,
    longest_slice_us: f64,
    longest_turn_us: [f64; 2],
}

/// A front's log after some seconds and SIGTERM.
fn stopped(mut front: Front) -> Result<String, String> {
    let log = drain(&mut front);
    thread::sleep(Duration::from_secs(3));
    Command::new("kill")
        .args(["-TERM", &front.0.id().to_string()])
        .status()
        .map_err(fault)?;
    front.0.wait().map_err(fault)?;
    log.join().map_err(|_| "no log".into())
}

/// A number that the log tells under this name.
fn told(log: &str, name: &str) -> Result<f64, String> {
    let digits = log
        .split(name)
        .nth(1)
        .and_then(|t| t.split(|c: char| !c.is_ascii_digit()).next());
    digits
        .and_then(|t| t.parse().ok())
        .ok_or_else(|| format!("the front does not tell {name}"))
}

fn size(number: u64, machines: usize, program: &Path, dir: &Path) -> Result<Size, String> {
    let dir = dir.join(format!("size-{machines}"));
    fs::create_dir_all(&dir).map_err(fault)?;
    let seen = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64);
    let observed_at = Timestamp::from_micros(seen);
    let addr = |n: usize| SocketAddr::from(([127, 10, (n / 250) as u8, (1 + n % 250) as u8], 5432));
    let records: Vec<Record> = (0..machines)
        .flat_map(|n| {
            let process = Process {
                endpoint: format!("s-{n:08x}"),
                address: addr(n).to_string(),
                build: 41,
                started_at: Timestamp::ZERO,
            };
            let (zone, kind, state) = ("z1".to_string(), "k".to_string(), ListedState::Ready);
            let (all, hits) = (vec![4.0, 3.0, 5.0, 2.0], vec![0.1, 0.0, 0.2, 0.3]);
            [
                Record::ListedEndpoint(ListedEndpointRecord {
                    observed_at,
                    list_version: 7,
                    process: process.clone(),
                    zone,
                    hardware_class: kind.clone(),
                    cell: 0,
                    state,
                }),
                Record::Endpoint(EndpointRecord {
                    observed_at,
                    process: process.clone(),
                    hardware_class: kind,
                    slowdown: [3.5, 4.0],
                    reported_load: ReportedLoad {
                        in_flight: 2.0,
                        reported_at: observed_at,
                    },
                    ejected: false,
                }),
                Record::Outcomes(OutcomeRecord {
                    observed_at,
                    process,
                    build: 41,
                    outcomes: all,
                    failures: hits,
                }),
            ]
        })
        .collect();
    let begun = Instant::now();
    let bytes = format::encode(&Snapshot {
        sequence: 1,
        written_at: observed_at,
        records,
        unknown_records: 0,
    });
    let encode_ms = begun.elapsed().as_secs_f64() * 1e3;
    let begun = Instant::now();
    format::decode(&bytes).map_err(fault)?;
    let decode_ms = begun.elapsed().as_secs_f64() * 1e3;
    let entries: Vec<_> = (0..machines)
        .map(|n| entry(&format!("s-{n:08x}"), addr(n), 41, "active"))
        .collect();
    let listing = json!({"version": 7, "full": true, "servers": entries});
    let closed = TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .map_err(fault)?;
    let listen = own_address(number)?;
    let (config_path, operators, folder) = (
        dir.join("config.json"),
        dir.join("operators.toml"),
        dir.join("memory"),
    );
    fs::write(
        &config_path,
        config(listen, closed, closed, &listing, false, 1).to_string(),
    )
    .map_err(fault)?;
    fs::write(
        &operators,
        format!(
            "[memory]\nfolder = \"{}\"\nevery = \"100 ms\"\nstop_within = \"2 s\"\n",
            folder.display()
        ),
    )
    .map_err(fault)?;
    let (without, up_without) = up(program, &config_path, None, listen)?;
    let without = stopped(without)?;
    fs::create_dir_all(&folder).map_err(fault)?;
    fs::write(folder.join("memory.0"), &bytes).map_err(fault)?;
    let (front, up_with) = up(program, &config_path, Some(&operators), listen)?;
    let with = stopped(front)?;
    let longest_slice_us = told(&with, "longest_slice_us: ")?;
    let longest_turn_us = [
        told(&with, "longest_turn_us: ")?,
        told(&without, "longest_turn_us: ")?,
    ];
    let _ = fs::remove_dir_all(&dir);
    let ms = |d: Duration| d.as_secs_f64() * 1e3;
    Ok(Size {
        machines,
        bytes: bytes.len() as f64,
        encode_ms,
        decode_ms,
        up_with_ms: ms(up_with),
        up_without_ms: ms(up_without),
        longest_slice_us,
        longest_turn_us,
    })
}

/// One figure of a play.
type Figure<'a> = &'a dyn Fn(&Row) -> f64;

fn median(mut of: Vec<f64>) -> f64 {
    of.retain(|x| x.is_finite());
    of.sort_unstable_by(f64::total_cmp);
    if of.is_empty() {
        f64::NAN
    } else {
        of[of.len() / 2]
    }
}

pub fn run(
    runs: u64,
    seed: u64,
    out: &Path,
    front: Option<PathBuf>,
    lanes: usize,
) -> Result<String, String> {
    let beside = || std::env::current_exe().map(|p| p.with_file_name("tidescale"));
    let program = front.map_or_else(beside, Ok).map_err(fault)?;
    fs::create_dir_all(out).map_err(fault)?;
    let dir = std::env::temp_dir().join(format!("tidescale-restart-{}", std::process::id()));
    let mut plays = Vec::new();
    for n in 0..runs {
        for case in Case::ALL {
            plays.extend([(case, seed + n, false), (case, seed + n, true)]);
        }
    }
    let pool = rayon::ThreadPoolBuilder::new()
        .num_threads(lanes)
        .build()
        .map_err(fault)?;
    let one = |(n, (case, seed, remembers)): (usize, &(Case, u64, bool))| {
        play(n as u64, *case, *remembers, *seed, &program, &dir)
    };
    let rows: Result<Vec<Row>, String> =
        pool.install(|| plays.par_iter().enumerate().map(one).collect());
    let rows = rows?;
    let mut sizes = Vec::new();
    for (n, machines) in [10, 400, 5000].into_iter().enumerate() {
        sizes.push(size(
            plays.len() as u64 + n as u64,
            machines,
            &program,
            &dir,
        )?);
    }
    let _ = fs::remove_dir_all(&dir);
    tell(&rows, &sizes, out)
}

fn tell(rows: &[Row], sizes: &[Size], out: &Path) -> Result<String, String> {
    let numbers = |name: &'static str, of: &dyn Fn(&Row) -> f64| {
        Column::Numbers(name, rows.iter().map(of).collect())
    };
    table::write(
        &out.join("rows.parquet"),
        &[
            Column::Words(
                "case_name",
                rows.iter().map(|r| r.case.name().into()).collect(),
            ),
            numbers("seed", &|r| r.seed as f64),
            numbers("remembers", &|r| f64::from(r.remembers)),
            numbers("within_1s", &|r| r.within[0]),
            numbers("within_3s", &|r| r.within[1]),
            numbers("within_10s", &|r| r.within[2]),
            numbers("tries_slow", &|r| r.slow),
            numbers("tries_silent", &|r| r.silent),
            numbers("tries_draining", &|r| r.draining),
            numbers("tries_on_trial", &|r| r.on_trial),
            numbers("found_ms", &|r| r.found_ms),
            numbers("share_of_healed", &|r| r.share_of_healed),
            numbers("up_ms", &|r| r.up_ms),
        ],
    )?;
    let of = |case: Case, remembers: bool, figure: &dyn Fn(&Row) -> f64| {
        median(
            rows.iter()
                .filter(|r| r.case == case && r.remembers == remembers)
                .map(figure)
                .collect(),
        )
    };
    let figures: [(&str, Figure); 10] = [
        ("within objective, 1 s", &|r| r.within[0]),
        ("within objective, 3 s", &|r| r.within[1]),
        ("within objective, 10 s", &|r| r.within[2]),
        ("tries at the slow machine", &|r| r.slow),
        ("tries at the silent one", &|r| r.silent),
        ("tries at the draining one", &|r| r.draining),
        ("tries at the build on trial", &|r| r.on_trial),
        ("ms until voted back", &|r| r.found_ms),
        ("part of the once slow machine, last 5 s", &|r| {
            r.share_of_healed
        }),
        ("ms until it serves", &|r| r.up_ms),
    ];
    let mut text = String::from("| medians | ");
    for case in Case::ALL {
        text += &format!("{0}, without | {0}, with | ", case.name());
    }
    text = text.trim_end().to_string() + "\n| --- |" + &" ---: |".repeat(6) + "\n";
    for (name, figure) in figures {
        text += &format!("| {name} |");
        for case in Case::ALL {
            for remembers in [false, true] {
                let x = of(case, remembers, figure);
                text += &if x.is_finite() {
                    format!(" {x:.*} |", if x < 10.0 { 3 } else { 0 })
                } else {
                    " - |".into()
                };
            }
        }
        text.push('\n');
    }
    text += "\n| machines | bytes | encode ms | decode ms | up with ms | up without ms | longest slice us | longest turn us with | without |\n| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n";
    for s in sizes {
        text += &format!(
            "| {} | {:.0} | {:.2} | {:.2} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} |\n",
            s.machines,
            s.bytes,
            s.encode_ms,
            s.decode_ms,
            s.up_with_ms,
            s.up_without_ms,
            s.longest_slice_us,
            s.longest_turn_us[0],
            s.longest_turn_us[1]
        );
    }
    fs::write(out.join("tables.md"), &text).map_err(fault)?;
    print!("{text}");
    let series = |remembers: bool| {
        Case::ALL
            .iter()
            .flat_map(|case| (0..3).map(move |n| (*case, n)))
            .map(|(case, n)| of(case, remembers, &|r: &Row| r.within[n]))
            .collect::<Vec<f64>>()
    };
    let groups = [
        "trouble 1 s",
        "3 s",
        "10 s",
        "healed 1 s",
        "3 s",
        "10 s",
        "bad build 1 s",
        "3 s",
        "10 s",
    ];
    let both = [
        ("without memory", series(false)),
        ("with memory", series(true)),
    ];
    table::bars(
        &out.join("within.svg"),
        "Reqs within their objective after a restart",
        &groups,
        &both,
        1.05,
    )?;
    let found = |remembers| vec![of(Case::BadBuild, remembers, &|r| r.found_ms)];
    let (without, with) = (found(false), found(true));
    let most = without[0].max(with[0]) * 1.2;
    table::bars(
        &out.join("found.svg"),
        "ms until a bad build that was known is voted back",
        &["bad build"],
        &[("without memory", without), ("with memory", with)],
        most,
    )?;
    // Bounds: rule 3 in every play, and a memory that helps where there is trouble and costs little where it is over.
    let drained = rows.iter().filter(|r| r.draining > 0.0).count();
    if drained > 0 {
        return Err(format!(
            "restart: {drained} plays sent tries to a draining machine"
        ));
    }
    for (case, look, least) in [
        (Case::Trouble, 0, 0.0),
        (Case::Healed, 2, -0.03),
        (Case::BadBuild, 2, -0.03),
    ] {
        let [with, without] = [true, false].map(|r| of(case, r, &|row: &Row| row.within[look]));
        if with < without + least {
            return Err(format!(
                "restart: {}: {with:.3} with memory, {without:.3} without",
                case.name()
            ));
        }
    }
    let first = |r| of(Case::Trouble, r, &|row: &Row| row.within[0]);
    Ok(format!(
        "restart: {} plays, within objective in the first second under trouble {:.3} with memory, {:.3} without; \
         no try at a draining machine",
        rows.len(),
        first(true),
        first(false)
    ))
}
