//! Two generations in one folder. A state is written to a file of its own, synced, and only then takes the place of
//! the older generation; the newer one is never touched. Whatever breaks off in between leaves one of the last two
//! complete states.

use std::io::{self, ErrorKind};

use crate::disk::Disk;
use crate::format::{self, Image, Unfit};
use crate::records::Fact;

const SLOTS: [&str; 2] = ["memory.0", "memory.1"];
const NEW: &str = "memory.new";
const ASIDE: &str = "set-aside.";
/// Files set aside that are kept for inspection.
pub const MOST_ASIDE: usize = 4;
/// Interruptions in a row that a write bears.
const PATIENCE: usize = 100;

pub type Decode = fn(&[u8]) -> Result<Image, Unfit>;

pub struct Store<D> {
    disk: D,
    /// Where the next state goes: the slot of the older generation.
    next: usize,
    sequence: u64,
}

/// What a folder held.
#[derive(Debug, Default)]
pub struct Opened {
    pub image: Option<Image>,
    /// A line for each file that was not used.
    pub notes: Vec<String>,
}

impl<D: Disk> Store<D> {
    pub fn open(disk: D) -> (Store<D>, Opened) {
        Store::open_with(disk, format::decode)
    }

    /// With another reader, for tests that have to show what a reader is good for.
    pub fn open_with(mut disk: D, decode: Decode) -> (Store<D>, Opened) {
        let mut opened = Opened::default();
        let mut sequences = [0, 0];
        for (slot, name) in SLOTS.into_iter().enumerate() {
            let read = match disk.read(name, format::MOST_BYTES + format::HEADER) {
                Ok(bytes) => decode(&bytes).map_err(|unfit| (unfit.word(), unfit.to_string())),
                Err(e) if e.kind() == ErrorKind::NotFound => continue,
                Err(e) => Err(("unreadable", e.to_string())),
            };
            match read {
                Ok(image) => {
                    sequences[slot] = image.sequence;
                    if opened
                        .image
                        .as_ref()
                        .is_none_or(|best| image.sequence > best.sequence)
                    {
                        opened.image = Some(image);
                    }
                }
                Err((word, why)) => {
                    let kept = set_aside(&mut disk, name, word);
                    let kept = kept
                        .map_or_else(|e| format!("left where it is, {e}"), |n| format!("now {n}"));
                    opened
                        .notes
                        .push(format!("{name} is not read: {why}; {kept}"));
                }
            }
        }
        // Broken off before it took a slot: never complete, as far as anyone was told.
        let _ = disk.remove(NEW);
        let next = usize::from(sequences[0] > sequences[1]);
        (
            Store {
                disk,
                next,
                sequence: sequences[0].max(sequences[1]),
            },
            opened,
        )
    }

    /// Once this returns without a fault, the state outlives a loss of power; after a fault the last one still does.
    pub fn save(&mut self, written: u64, facts: Vec<Fact>) -> io::Result<usize> {
        // One that failed may be on the disk all the same: its number is not used again.
        self.sequence += 1;
        let bytes = format::encode(&Image {
            sequence: self.sequence,
            written,
            facts,
            unknown: 0,
        });
        let done = self.write(&bytes).and_then(|()| {
            self.disk.rename(NEW, SLOTS[self.next])?;
            self.disk.sync_names()
        });
        if let Err(e) = done {
            // What a failed sync left in the page cache reads well and is not on the disk.
            let _ = self.disk.remove(NEW);
            return Err(e);
        }
        self.next = 1 - self.next;
        Ok(bytes.len())
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.disk.create(NEW)?;
        let (mut rest, mut interrupted) = (bytes, 0);
        let mut done = Ok(());
        while done.is_ok() && !rest.is_empty() {
            match self.disk.write(NEW, rest) {
                Ok(n) => (rest, interrupted) = (&rest[n..], 0),
                Err(e) if e.kind() == ErrorKind::Interrupted && interrupted < PATIENCE => {
                    interrupted += 1
                }
                Err(e) => done = Err(e),
            }
        }
        let done = done.and_then(|()| self.disk.sync(NEW));
        self.disk.close(NEW);
        done
    }

    pub(crate) fn disk(&self) -> &D {
        &self.disk
    }

    pub fn into_disk(self) -> D {
        self.disk
    }
}

/// Keeps a file that can't be used under another name, and only so many of them.
fn set_aside<D: Disk>(disk: &mut D, name: &str, word: &str) -> io::Result<String> {
    let names = disk.names()?;
    let number = |n: &str| {
        n.strip_prefix(ASIDE)?
            .split('.')
            .next()?
            .parse::<u64>()
            .ok()
    };
    let mut kept: Vec<(u64, &String)> =
        names.iter().filter_map(|n| Some((number(n)?, n))).collect();
    kept.sort_unstable();
    let to = format!("{ASIDE}{}.{word}", kept.last().map_or(1, |(n, _)| n + 1));
    let over = (kept.len() + 1).saturating_sub(MOST_ASIDE);
    for (_, old) in &kept[..over] {
        disk.remove(old)?;
    }
    disk.rename(name, &to)?;
    disk.sync_names()?;
    Ok(to)
}

/// Removes what the memory has written, and nothing else.
pub fn clear<D: Disk>(disk: &mut D) -> io::Result<usize> {
    let mut removed = 0;
    for name in disk.names()? {
        if SLOTS.contains(&name.as_str()) || name == NEW || name.starts_with(ASIDE) {
            disk.remove(&name)?;
            removed += 1;
        }
    }
    disk.sync_names()?;
    Ok(removed)
}

/// The newest whole state in a folder, without a change to it, and a line for each file that is not whole.
pub fn look<D: Disk>(disk: &mut D) -> Opened {
    let mut opened = Opened::default();
    for name in SLOTS {
        match disk.read(name, format::MOST_BYTES + format::HEADER) {
            Err(e) if e.kind() == ErrorKind::NotFound => {}
            Err(e) => opened.notes.push(format!("{name}: {e}")),
            Ok(bytes) => match format::decode(&bytes) {
                Err(unfit) => opened.notes.push(format!("{name}: {unfit}")),
                Ok(image)
                    if opened
                        .image
                        .as_ref()
                        .is_none_or(|best| image.sequence > best.sequence) =>
                {
                    opened.image = Some(image);
                }
                Ok(_) => {}
            },
        }
    }
    opened
}
