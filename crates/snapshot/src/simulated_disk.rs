//! A modelled disk that can do what a real one does once a year, and histories of saves on it. Every write, sync,
//! rename and sync of names is a step at which the power may fail; of what was not synced any part survives,
//! sector by sector and name by name.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind};

use oorandom::Rand64;

use crate::disk::Disk;
use crate::format::{Image, Unfit};
use crate::records::{Fact, KeyFact};
use crate::store::{Decode, Store};

const SECTOR: usize = 512;
/// One step in so many meets a fault short of a loss of power, where faults are on.
const FAULTS: u64 = 12;

/// What the disk pretends to do, for tests that must be able to fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pretence {
    #[default]
    None,
    FileSync,
    NameSync,
    /// The first loss of power also turns one bit of what was safe: the one fault that only a checksum shows.
    Rot,
}

#[derive(Clone, Default)]
struct Content {
    safe: Vec<u8>,
    seen: Vec<u8>,
    /// Sectors written and not synced, and those that a failed sync has dropped for good.
    dirty: BTreeSet<usize>,
    dropped: BTreeSet<usize>,
}

#[derive(Clone)]
enum Change {
    Made(String, usize),
    Moved(String, String, usize),
    Removed(String),
}

#[derive(Clone)]
pub struct Model {
    contents: Vec<Content>,
    names: BTreeMap<String, usize>,
    safe_names: BTreeMap<String, usize>,
    changes: Vec<Change>,
    rng: Rand64,
    faults: bool,
    pretence: Pretence,
    pub steps: u64,
    fails_at: Option<u64>,
    lost: bool,
}

fn power() -> io::Error {
    io::Error::other("power lost")
}

impl Model {
    pub fn new(seed: u64, faults: bool, pretence: Pretence, fails_at: Option<u64>) -> Model {
        Model {
            contents: Vec::new(),
            names: BTreeMap::new(),
            safe_names: BTreeMap::new(),
            changes: Vec::new(),
            rng: Rand64::new(u128::from(seed)),
            faults,
            pretence,
            steps: 0,
            fails_at,
            lost: false,
        }
    }

    /// One step: whether it is still carried out, and what fault it meets.
    fn step(&mut self) -> io::Result<Option<u64>> {
        if self.lost {
            return Err(power());
        }
        self.steps += 1;
        let fault = self
            .faults
            .then(|| self.rng.rand_u64())
            .filter(|r| r % FAULTS == 0)
            .map(|r| r / FAULTS);
        if self.fails_at == Some(self.steps) {
            self.lost = true;
            // What was under way may still have come through.
            return if self.rng.rand_u64().is_multiple_of(2) {
                Ok(None)
            } else {
                Err(power())
            };
        }
        Ok(fault)
    }

    fn done(&self) -> io::Result<()> {
        if self.lost { Err(power()) } else { Ok(()) }
    }

    fn content(&mut self, name: &str) -> io::Result<&mut Content> {
        let at = *self.names.get(name).ok_or(ErrorKind::NotFound)?;
        Ok(&mut self.contents[at])
    }

    /// The disk as it is found after the power has failed.
    pub fn survive(mut self, seed: u64, fails_at: Option<u64>) -> Model {
        let mut rng = Rand64::new(u128::from(seed) ^ 0x5eed);
        let mut chance = || rng.rand_u64().is_multiple_of(2);
        for change in std::mem::take(&mut self.changes) {
            if !chance() {
                continue;
            }
            match change {
                Change::Made(name, at) => drop(self.safe_names.insert(name, at)),
                Change::Moved(from, to, at) => {
                    if self.safe_names.get(&from) == Some(&at) {
                        self.safe_names.remove(&from);
                    }
                    self.safe_names.insert(to, at);
                }
                Change::Removed(name) => drop(self.safe_names.remove(&name)),
            }
        }
        for c in &mut self.contents {
            let loose: BTreeSet<usize> = c.dirty.union(&c.dropped).copied().collect();
            let mut left = c.safe.clone();
            for sector in loose.into_iter().filter(|_| chance()) {
                let (from, to) = (sector * SECTOR, c.seen.len().min((sector + 1) * SECTOR));
                left.resize(left.len().max(to), 0);
                left[from..to].copy_from_slice(&c.seen[from..to]);
            }
            *c = Content {
                safe: left.clone(),
                seen: left,
                ..Content::default()
            };
        }
        let named: Vec<usize> = self.safe_names.values().copied().collect();
        if self.pretence == Pretence::Rot && !named.is_empty() {
            let c = &mut self.contents[named[rng.rand_u64() as usize % named.len()]];
            if let Some(bits) = Some(c.safe.len() * 8).filter(|bits| *bits > 0) {
                let bit = rng.rand_u64() as usize % bits;
                c.safe[bit / 8] ^= 1 << (bit % 8);
                c.seen = c.safe.clone();
            }
        }
        let contents = self.contents;
        let names = self.safe_names.clone();
        let (safe_names, changes, lost) = (self.safe_names, Vec::new(), false);
        // Two generations stand one bit gone bad, not one in each.
        let pretence = Some(self.pretence)
            .filter(|p| *p != Pretence::Rot)
            .unwrap_or_default();
        let (rng, faults) = (Rand64::new(u128::from(seed)), self.faults);
        Model {
            contents,
            names,
            safe_names,
            changes,
            rng,
            faults,
            pretence,
            steps: 0,
            fails_at,
            lost,
        }
    }
}

impl Disk for Model {
    fn read(&mut self, name: &str, most: usize) -> io::Result<Vec<u8>> {
        self.done()?;
        let seen = &self.content(name)?.seen;
        Ok(seen[..seen.len().min(most + 1)].to_vec())
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        if self.step()?.is_some() {
            return Err(ErrorKind::StorageFull.into());
        }
        self.contents.push(Content::default());
        let at = self.contents.len() - 1;
        self.names.insert(name.into(), at);
        self.changes.push(Change::Made(name.into(), at));
        self.done()
    }
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<usize> {
        // Disks take a few sectors at a time, so that a file is many steps.
        let mut n = bytes.len().min(3 * SECTOR);
        match self.step()? {
            Some(fault) if fault % 3 == 0 => return Err(ErrorKind::StorageFull.into()),
            Some(fault) if fault % 3 == 1 => return Err(ErrorKind::Interrupted.into()),
            Some(fault) => n = 1 + (fault as usize / 3) % n,
            None => {}
        }
        let c = self.content(name)?;
        let from = c.seen.len();
        c.seen.extend_from_slice(&bytes[..n]);
        c.dirty.extend(from / SECTOR..=(c.seen.len() - 1) / SECTOR);
        self.done()?;
        Ok(n)
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        let (fault, pretence) = (self.step()?.is_some(), self.pretence);
        let lost = self.lost;
        let c = self.content(name)?;
        let dirty = std::mem::take(&mut c.dirty);
        if fault {
            // Marked clean and never written: the next sync has nothing to do and says that all is well.
            c.dropped.extend(dirty);
            return Err(io::Error::other("input/output error"));
        }
        if pretence == Pretence::FileSync || lost {
            c.dirty = dirty;
            return self.done();
        }
        for sector in dirty {
            let (from, to) = (sector * SECTOR, c.seen.len().min((sector + 1) * SECTOR));
            c.safe.resize(c.safe.len().max(to), 0);
            c.safe[from..to].copy_from_slice(&c.seen[from..to]);
        }
        self.done()
    }
    fn close(&mut self, _name: &str) {}
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if self.step()?.is_some() {
            return Err(ErrorKind::PermissionDenied.into());
        }
        let at = self.names.remove(from).ok_or(ErrorKind::NotFound)?;
        self.names.insert(to.into(), at);
        self.changes.push(Change::Moved(from.into(), to.into(), at));
        self.done()
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        if self.step()?.is_some() {
            return Err(ErrorKind::PermissionDenied.into());
        }
        self.names.remove(name).ok_or(ErrorKind::NotFound)?;
        self.changes.push(Change::Removed(name.into()));
        self.done()
    }
    fn sync_names(&mut self) -> io::Result<()> {
        if self.step()?.is_some() {
            return Err(io::Error::other("input/output error"));
        }
        if self.pretence != Pretence::NameSync && !self.lost {
            self.safe_names = self.names.clone();
            self.changes.clear();
        }
        self.done()
    }
    fn names(&mut self) -> io::Result<Vec<String>> {
        self.done()?;
        Ok(self.names.keys().cloned().collect())
    }
}

/// The state of this number: its length and content follow from it, so that a mixture of two shows.
pub fn state(number: u64) -> Vec<Fact> {
    let mut rng = Rand64::new(u128::from(number));
    let facts = 1 + rng.rand_u64() % 60;
    let key = |_| {
        Fact::Key(KeyFact {
            seen: number,
            key: format!("{:016x}", rng.rand_u64()),
            build: 1,
        })
    };
    (0..facts).map(key).collect()
}

/// What a number of histories came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    pub crashes: u64,
    pub saves: u64,
    pub failed_saves: u64,
    /// Crashes after which a state that was never reported as saved was found whole.
    pub newer: u64,
    pub set_aside: u64,
}

impl std::ops::Add for Seen {
    type Output = Seen;
    fn add(self, other: Seen) -> Seen {
        Seen {
            crashes: self.crashes + other.crashes,
            saves: self.saves + other.saves,
            failed_saves: self.failed_saves + other.failed_saves,
            newer: self.newer + other.newer,
            set_aside: self.set_aside + other.set_aside,
        }
    }
}

/// What is known of the states while a history goes on.
#[derive(Clone, Copy, Default)]
struct Known {
    /// The last one reported as saved, the one before it, and the last one begun.
    saved: u64,
    before: u64,
    begun: u64,
    /// One generation may have gone bad.
    rots: bool,
}

impl Known {
    /// What was read back must be a state as it was, the last saved one or one begun since.
    fn check(&self, image: Option<&Image>) -> Result<u64, String> {
        let least = if self.rots { self.before } else { self.saved };
        let Some(image) = image else {
            return if least == 0 {
                Ok(0)
            } else {
                Err(format!("state {least} is lost"))
            };
        };
        let number = image.written;
        if !(least.max(1)..=self.begun).contains(&number) {
            return Err(format!(
                "state {number} where {} was saved last",
                self.saved
            ));
        }
        if image.facts != state(number) {
            return Err(format!("state {number} is a mixture"));
        }
        Ok(number)
    }
}

fn life(
    disk: Model,
    decode: Decode,
    saves: u64,
    known: &mut Known,
    seen: &mut Seen,
) -> Result<Model, String> {
    let (mut store, opened) = Store::open_with(disk, decode);
    if store.disk().lost {
        return Ok(store.into_disk());
    }
    let found = known.check(opened.image.as_ref())?;
    seen.newer += u64::from(found > known.saved);
    seen.set_aside += opened.notes.len() as u64;
    // Read once, it must be read again.
    (known.saved, known.before) = (found, 0);
    for _ in 0..saves {
        known.begun += 1;
        match store.save(known.begun, state(known.begun)) {
            Ok(_) => {
                (known.before, known.saved) = (known.saved, known.begun);
                seen.saves += 1;
            }
            Err(_) => seen.failed_saves += 1,
        }
    }
    Ok(store.into_disk())
}

/// One seeded history: some saves, the power failing at each step in turn, and after it a second life that fails at
/// a drawn step too. What is read back is held against what was reported as saved.
pub fn history(seed: u64, pretence: Pretence, decode: Decode) -> Result<Seen, String> {
    let mut rng = Rand64::new(u128::from(seed));
    let (saves, faults) = (1 + rng.rand_u64() % 3, rng.rand_u64().is_multiple_of(2));
    let (mut seen, mut at) = (Seen::default(), 0);
    loop {
        at += 1;
        let fault = |why: String| format!("seed {seed}, power lost at step {at}: {why}");
        let mut known = Known {
            rots: pretence == Pretence::Rot,
            ..Known::default()
        };
        let disk = Model::new(seed, faults, pretence, Some(at));
        let disk = life(disk, decode, saves, &mut known, &mut seen).map_err(fault)?;
        let ended = !disk.lost;
        for draw in 0..4 {
            let mut known = known;
            let again = Some(1 + rng.rand_u64() % (4 * at));
            let disk = disk.clone().survive(seed ^ (at << 8) ^ draw, again);
            seen.crashes += 1;
            let disk = life(disk, decode, 2, &mut known, &mut seen).map_err(fault)?;
            let last = disk.survive(seed ^ (at << 16) ^ draw, None);
            let (_, opened) = Store::open_with(last, decode);
            known.check(opened.image.as_ref()).map_err(fault)?;
        }
        if ended {
            return Ok(seen);
        }
    }
}

/// A reader that looks at the header alone, as one would that trusts its checksum with no more: to be caught.
pub fn trusting(bytes: &[u8]) -> Result<Image, Unfit> {
    if bytes.len() < crate::format::HEADER {
        Err(Unfit::Torn)
    } else {
        crate::format::records(bytes)
    }
}
