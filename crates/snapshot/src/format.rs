//! The file's form: a header of fixed length, then records that each say their kind and length.
//!
//! | bytes | field |
//! | --- | --- |
//! | 8 | `tidemem` and a line feed |
//! | 4 | version, big-endian as all numbers here |
//! | 4 | CRC-32 of all that follows, to the end of the file |
//! | 8 | sequence: one more with each state that was written |
//! | 8 | when it was written, Unix time in microseconds |
//! | 8 | bytes after the header |
//! | 4 | records |
//!
//! A record is its kind (2 bytes), its length (4 bytes) and a body in CBOR. A reader steps over records of kinds
//! that it does not know; fields that it does not know are passed over inside a body.

use std::fmt;

use crate::records::Fact;

pub const VERSION: u32 = 1;
/// The whole file; what would be longer is cut by dropping the last facts.
pub const MOST_BYTES: usize = 16 << 20;
const MAGIC: &[u8; 8] = b"tidemem\n";
pub const HEADER: usize = 44;
/// From here on the checksum counts.
const SUMMED: usize = 16;
const RECORD: usize = 6;

/// One complete state of the memory.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Image {
    pub sequence: u64,
    pub written: u64,
    pub facts: Vec<Fact>,
    /// Records of kinds that this reader does not know.
    pub unknown: usize,
}

/// Why a file is not read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unfit {
    Empty,
    TooLong,
    NotOurs,
    Newer(u32),
    Torn,
    Checksum,
    Record,
}

impl fmt::Display for Unfit {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Unfit::Empty => f.write_str("empty"),
            Unfit::TooLong => f.write_str("too long"),
            Unfit::NotOurs => f.write_str("not a memory file"),
            Unfit::Newer(v) => write!(f, "of the newer version {v}"),
            Unfit::Torn => f.write_str("not as long as it says"),
            Unfit::Checksum => f.write_str("checksum does not match"),
            Unfit::Record => f.write_str("a record can't be read"),
        }
    }
}

impl Unfit {
    /// A word for the name of the file set aside.
    pub fn word(&self) -> &'static str {
        match self {
            Unfit::Empty => "empty",
            Unfit::TooLong => "long",
            Unfit::NotOurs => "foreign",
            Unfit::Newer(_) => "newer",
            Unfit::Torn => "torn",
            Unfit::Checksum => "checksum",
            Unfit::Record => "record",
        }
    }
}

fn kind(fact: &Fact) -> u16 {
    match fact {
        Fact::Machine(_) => 1,
        Fact::Kind(_) => 2,
        Fact::Route(_) => 3,
        Fact::Evidence(_) => 4,
        Fact::Condemned(_) => 5,
        Fact::Calm(_) => 6,
        Fact::Zones(_) => 7,
        Fact::Key(_) => 8,
        Fact::Listed(_) => 9,
        Fact::News(_) => 10,
    }
}

fn body(fact: &Fact, to: &mut Vec<u8>) {
    // Into a vector nothing fails, and every fact is plain data.
    let done = match fact {
        Fact::Machine(f) => ciborium::into_writer(f, to),
        Fact::Kind(f) => ciborium::into_writer(f, to),
        Fact::Route(f) => ciborium::into_writer(f, to),
        Fact::Evidence(f) => ciborium::into_writer(f, to),
        Fact::Condemned(f) => ciborium::into_writer(f, to),
        Fact::Calm(f) => ciborium::into_writer(f, to),
        Fact::Zones(f) => ciborium::into_writer(f, to),
        Fact::Key(f) => ciborium::into_writer(f, to),
        Fact::Listed(f) => ciborium::into_writer(f, to),
        Fact::News(f) => ciborium::into_writer(f, to),
    };
    debug_assert!(done.is_ok());
}

fn fact(kind: u16, body: &[u8]) -> Result<Option<Fact>, Unfit> {
    fn read<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, Unfit> {
        ciborium::from_reader(body).map_err(|_| Unfit::Record)
    }
    Ok(Some(match kind {
        1 => Fact::Machine(read(body)?),
        2 => Fact::Kind(read(body)?),
        3 => Fact::Route(read(body)?),
        4 => Fact::Evidence(read(body)?),
        5 => Fact::Condemned(read(body)?),
        6 => Fact::Calm(read(body)?),
        7 => Fact::Zones(read(body)?),
        8 => Fact::Key(read(body)?),
        9 => Fact::Listed(read(body)?),
        10 => Fact::News(read(body)?),
        _ => return Ok(None),
    }))
}

/// The file of this state; facts beyond the bound on its size are left out.
pub fn encode(image: &Image) -> Vec<u8> {
    let mut bytes = vec![0; HEADER];
    let mut records = 0u32;
    for f in &image.facts {
        let at = bytes.len();
        bytes.extend(kind(f).to_be_bytes());
        bytes.extend([0; 4]);
        body(f, &mut bytes);
        if bytes.len() > MOST_BYTES {
            bytes.truncate(at);
            break;
        }
        let len = (bytes.len() - at - RECORD) as u32;
        bytes[at + 2..at + RECORD].copy_from_slice(&len.to_be_bytes());
        records += 1;
    }
    let len = (bytes.len() - HEADER) as u64;
    bytes[..8].copy_from_slice(MAGIC);
    bytes[8..12].copy_from_slice(&VERSION.to_be_bytes());
    bytes[16..24].copy_from_slice(&image.sequence.to_be_bytes());
    bytes[24..32].copy_from_slice(&image.written.to_be_bytes());
    bytes[32..40].copy_from_slice(&len.to_be_bytes());
    bytes[40..44].copy_from_slice(&records.to_be_bytes());
    let sum = crc32fast::hash(&bytes[SUMMED..]);
    bytes[12..SUMMED].copy_from_slice(&sum.to_be_bytes());
    bytes
}

fn number<const N: usize>(bytes: &[u8], at: usize) -> Result<[u8; N], Unfit> {
    bytes
        .get(at..at + N)
        .and_then(|b| b.try_into().ok())
        .ok_or(Unfit::Torn)
}

/// The state of a whole file.
pub fn decode(bytes: &[u8]) -> Result<Image, Unfit> {
    if bytes.is_empty() {
        return Err(Unfit::Empty);
    }
    if bytes.len() > MOST_BYTES + RECORD {
        return Err(Unfit::TooLong);
    }
    if !bytes.starts_with(MAGIC) {
        return Err(if MAGIC.starts_with(bytes) {
            Unfit::Torn
        } else {
            Unfit::NotOurs
        });
    }
    let version = u32::from_be_bytes(number(bytes, 8)?);
    // A newer version may mean anything by what follows, its checksum too.
    if version > VERSION {
        return Err(Unfit::Newer(version));
    }
    let len = u64::from_be_bytes(number(bytes, 32)?);
    if bytes.len() < HEADER || len != (bytes.len() - HEADER) as u64 {
        return Err(Unfit::Torn);
    }
    if crc32fast::hash(&bytes[SUMMED..]) != u32::from_be_bytes(number(bytes, 12)?) {
        return Err(Unfit::Checksum);
    }
    migrate(version, records(bytes)?)
}

/// What the records say, whatever the checksum.
pub fn records(bytes: &[u8]) -> Result<Image, Unfit> {
    let mut image = Image {
        sequence: u64::from_be_bytes(number(bytes, 16)?),
        written: u64::from_be_bytes(number(bytes, 24)?),
        ..Image::default()
    };
    let (mut at, count) = (HEADER, u32::from_be_bytes(number(bytes, 40)?));
    for _ in 0..count {
        let broken = |_| Unfit::Record;
        let kind = u16::from_be_bytes(number(bytes, at).map_err(broken)?);
        let len = u32::from_be_bytes(number(bytes, at + 2).map_err(broken)?) as usize;
        let end = (at + RECORD).checked_add(len).ok_or(Unfit::Record)?;
        match fact(kind, bytes.get(at + RECORD..end).ok_or(Unfit::Record)?)? {
            Some(fact) => image.facts.push(fact),
            None => image.unknown += 1,
        }
        at = end;
    }
    if at == bytes.len() {
        Ok(image)
    } else {
        Err(Unfit::Record)
    }
}

/// Brings an older version's state to this one's meaning, a step for each version.
fn migrate(version: u32, image: Image) -> Result<Image, Unfit> {
    match version {
        VERSION => Ok(image),
        // There was none before the first.
        _ => Err(Unfit::NotOurs),
    }
}
