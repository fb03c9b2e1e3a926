//! A folder of a test's own, and a state with a fact of each kind.
#![allow(dead_code)] // Each test file uses some of it.

use std::path::PathBuf;

use tidescale_snapshot::format::Image;
use tidescale_snapshot::records::*;

pub struct Guard(PathBuf);

impl Drop for Guard {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
        let _ = std::fs::remove_file(&self.0);
    }
}

/// A path at which nothing is yet.
pub fn folder(name: &str) -> (PathBuf, Guard) {
    let path =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let guard = Guard(path.clone());
    let _ = std::fs::remove_dir_all(&path);
    (path, guard)
}

pub fn process(id: &str, build: u32, started: u64) -> Process {
    Process {
        id: id.into(),
        addr: "127.0.0.1:5432".into(),
        build,
        started,
    }
}

pub fn machine_fact(seen: u64, pace: [f64; 2], aside: bool) -> MachineFact {
    let process = process("m1", 7, 5);
    MachineFact {
        seen,
        process,
        kind: "k".into(),
        pace,
        load: (3.0, seen),
        aside,
    }
}

pub fn image_of_all_kinds() -> Image {
    let seen = 1_700_000_000_000_000;
    let facts = vec![
        Fact::News(NewsFact {
            seen,
            build: 7,
            stage: 1,
            phase: "trial".into(),
            cap: 0.25,
            since: 9,
        }),
        Fact::Key(KeyFact {
            seen,
            key: "k1".into(),
            build: 7,
        }),
        Fact::Condemned(CondemnedFact { seen, build: 6 }),
        Fact::Machine(machine_fact(seen, [8.5, 4.0], true)),
        Fact::Kind(KindFact {
            seen,
            kind: "k".into(),
            load: [3.0, 2.0],
            pace: [1.0, 1.5],
            usual: [1.0, 2.0, 3.0],
        }),
        Fact::Route(RouteFact {
            seen,
            route: "look".into(),
            usual: [9000.0, 4.0, 4.0],
        }),
        Fact::Evidence(EvidenceFact {
            seen,
            process: process("m1", 7, 5),
            build: 7,
            all: vec![4.0, 3.0, 2.0, 1.0],
            hits: vec![1.0, 0.0, 0.5, 0.25],
        }),
        Fact::Calm(CalmFact {
            seen,
            outcomes: 120.0,
            hits: 3.0,
            spread: [1.0, 2.0, 3.0],
            machines: 9,
            sends: 80.0,
        }),
        Fact::Zones(ZonesFact {
            seen,
            paces: [[1.0, 2.0], [3.0, 4.0]],
        }),
        Fact::Listed(ListedFact {
            seen,
            version: 41,
            process: process("m1", 7, 5),
            zone: "z1".into(),
            kind: "k".into(),
            cell: 3,
            state: "leaving".into(),
        }),
    ];
    Image {
        sequence: 5,
        written: seen + 1,
        facts,
        unknown: 0,
    }
}
