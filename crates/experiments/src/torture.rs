//! SIGKILL during writes: a process saves one state after the other and says so; killed at a drawn time, what is read
//! back is a whole state, the last reported or one begun since, and nothing piles up.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use oorandom::Rand64;
use rayon::prelude::*;
use tidescale_policy::types::Timestamp;
use tidescale_snapshot::crash_history::records_of;
use tidescale_snapshot::directory::{Directory, LockError};
use tidescale_snapshot::disk::Disk;
use tidescale_snapshot::store::Store;

/// A kill comes this long after the first save of a process at the latest.
const MOST_LIFE: u64 = 8_000;
/// A process that was killed lets go of its folder within so long.
const LETS_GO: Duration = Duration::from_secs(5);

fn hold(folder: &Path) -> Result<Directory, String> {
    let begun = Instant::now();
    loop {
        match Directory::lock(folder) {
            Ok(folder) => return Ok(folder),
            Err(LockError::Locked) if begun.elapsed() < LETS_GO => {
                std::thread::sleep(Duration::from_millis(1))
            }
            Err(why) => return Err(why.to_string()),
        }
    }
}

/// Saves for ever, and names each state before and after.
pub fn save(folder: &Path) -> Result<String, String> {
    let (mut store, opened) = Store::open(hold(folder)?);
    let mut number = opened
        .snapshot
        .map_or(0, |snapshot| snapshot.written_at.as_micros());
    let mut out = std::io::stdout();
    loop {
        number += 1;
        writeln!(out, "begun {number}").map_err(|e| e.to_string())?;
        store
            .save(Timestamp::from_micros(number), records_of(number))
            .map_err(|e| e.to_string())?;
        writeln!(out, "saved {number}").map_err(|e| e.to_string())?;
    }
}

#[derive(Default)]
struct Lane {
    kills: u64,
    saves: u64,
    in_flight: u64,
    slowest_start: Duration,
}

fn lane(folder: &Path, kills: u64, seed: u64) -> Result<Lane, String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let (mut rng, mut lane, mut last) = (Rand64::new(u128::from(seed)), Lane::default(), 0);
    for _ in 0..kills {
        let begun_at = Instant::now();
        let mut child = Command::new(&program)
            .arg("saver")
            .arg(folder)
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| e.to_string())?;
        let mut lines = BufReader::new(child.stdout.take().ok_or("no output")?).lines();
        let first = lines
            .next()
            .and_then(Result::ok)
            .ok_or("a process does not come up")?;
        lane.slowest_start = lane.slowest_start.max(begun_at.elapsed());
        std::thread::sleep(Duration::from_micros(rng.rand_u64() % MOST_LIFE));
        child
            .kill()
            .and_then(|()| child.wait().map(drop))
            .map_err(|e| e.to_string())?;
        let (mut begun, mut saved) = (last, last);
        for line in std::iter::once(first).chain(lines.map_while(Result::ok)) {
            match line.split_once(' ') {
                Some(("begun", n)) => begun = n.parse().unwrap_or(begun),
                Some(("saved", n)) => saved = n.parse().unwrap_or(saved),
                _ => return Err(format!("an odd line: {line}")),
            }
        }
        let (store, opened) = Store::open(hold(folder)?);
        if let Some(note) = opened.unusable_files.first() {
            return Err(format!("after kill {}: {note}", lane.kills + 1));
        }
        let found = opened
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.written_at.as_micros());
        if !(saved..=begun).contains(&found) {
            return Err(format!(
                "state {found}, where {saved} was saved and {begun} begun"
            ));
        }
        if opened
            .snapshot
            .is_some_and(|snapshot| snapshot.records != records_of(found))
        {
            return Err(format!("state {found} is torn or mixed"));
        }
        let names = store.into_disk().names().map_err(|e| e.to_string())?;
        if names.iter().any(|n| n != "memory.0" && n != "memory.1") {
            return Err(format!("files pile up: {names:?}"));
        }
        lane.kills += 1;
        lane.saves += saved - last;
        lane.in_flight += u64::from(begun > saved);
        last = found;
    }
    Ok(lane)
}

pub fn run(kills: u64, seed: u64, lanes: u64, dir: Option<PathBuf>) -> Result<String, String> {
    let lanes = lanes.max(1);
    let dir = dir
        .unwrap_or_else(std::env::temp_dir)
        .join(format!("tidescale-torture-{}", std::process::id()));
    fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    let share = |n: u64| kills / lanes + u64::from(n < kills % lanes);
    let one = |n: u64| {
        lane(
            &dir.join(n.to_string()),
            share(n),
            seed.wrapping_mul(1 << 20).wrapping_add(n),
        )
    };
    let done: Result<Vec<Lane>, String> = (0..lanes).into_par_iter().map(one).collect();
    let _ = fs::remove_dir_all(&dir);
    let done = done?;
    let sum = |of: fn(&Lane) -> u64| done.iter().map(of).sum::<u64>();
    let slowest = done
        .iter()
        .map(|l| l.slowest_start)
        .max()
        .unwrap_or_default();
    Ok(format!(
        "torture: {} kills in {lanes} folders, {} of them during a save, {} saves, slowest start {} ms, no torn file \
         and none left over",
        sum(|l| l.kills),
        sum(|l| l.in_flight),
        sum(|l| l.saves),
        slowest.as_millis()
    ))
}
