//! Losses of power at every step, and files that are not what they should be.

mod common;

use common::{folder, image_of_all_kinds};
use oorandom::Rand64;
use tidescale_snapshot::disk::{Disk, Folder, NoFolder};
use tidescale_snapshot::format::{self, HEADER, Image, Unfit, decode, encode};
use tidescale_snapshot::simulated_disk::{self, Pretence, Seen, state};
use tidescale_snapshot::store::{self, MOST_ASIDE, Store};

fn histories(
    seeds: std::ops::Range<u64>,
    pretence: Pretence,
    read: store::Decode,
) -> Result<Seen, String> {
    seeds
        .map(|seed| simulated_disk::history(seed, pretence, read))
        .try_fold(Seen::default(), |a, b| Ok(a + b?))
}

#[test]
fn power_lost_at_any_step_leaves_one_of_the_last_two_states() {
    let seen = histories(0..150, Pretence::None, decode).unwrap();
    assert!(
        seen.crashes > 5000 && seen.failed_saves > 1000 && seen.newer > 100,
        "{seen:?}"
    );
    let seen = histories(0..60, Pretence::Rot, decode).unwrap();
    assert!(seen.set_aside > 500, "{seen:?}");
}

#[test]
fn a_sync_left_out_and_a_checksum_of_the_header_alone_are_caught() {
    for (pretence, read) in [
        (Pretence::FileSync, decode as store::Decode),
        (Pretence::NameSync, decode),
        (Pretence::Rot, simulated_disk::trusting),
    ] {
        assert!(histories(0..40, pretence, read).is_err(), "{pretence:?}");
    }
}

#[test]
fn what_is_written_is_read_back_and_a_later_reader_reads_version_1() {
    let image = image_of_all_kinds();
    assert_eq!(decode(&encode(&image)).as_ref(), Ok(&image));
    // Never written anew: what version 1 wrote has to be read for good.
    let fixture = include_bytes!("version-1.memory");
    assert_eq!(decode(fixture).as_ref(), Ok(&image));
}

/// With the checksum made right again.
fn resealed(mut bytes: Vec<u8>) -> Vec<u8> {
    let sum = crc32fast::hash(&bytes[16..]);
    bytes[12..16].copy_from_slice(&sum.to_be_bytes());
    bytes
}

/// A key's fact of a later version.
#[derive(serde::Serialize)]
struct Later {
    seen: u64,
    key: &'static str,
    build: u32,
    later: Vec<u8>,
}

#[test]
fn records_and_fields_of_later_times_are_stepped_over() {
    let mut bytes = encode(&Image {
        sequence: 3,
        written: 9,
        facts: state(4),
        unknown: 0,
    });
    bytes.extend([0x7f, 0xff, 0, 0, 0, 3, 1, 2, 3]);
    let (len, records) = ((bytes.len() - HEADER) as u64, state(4).len() as u32 + 1);
    bytes[32..40].copy_from_slice(&len.to_be_bytes());
    bytes[40..44].copy_from_slice(&records.to_be_bytes());
    let image = decode(&resealed(bytes)).unwrap();
    assert_eq!((image.facts, image.unknown), (state(4), 1));
    // A key fact with a field that came later.
    let mut body = Vec::new();
    let later = Later {
        seen: 4,
        key: "k",
        build: 2,
        later: vec![1, 2],
    };
    ciborium::into_writer(&later, &mut body).unwrap();
    let mut bytes = encode(&Image {
        sequence: 1,
        ..Image::default()
    });
    bytes.extend([&[0, 8][..], &(body.len() as u32).to_be_bytes(), &body].concat());
    let len = (bytes.len() - HEADER) as u64;
    bytes[32..40].copy_from_slice(&len.to_be_bytes());
    bytes[40..44].copy_from_slice(&1u32.to_be_bytes());
    assert_eq!(decode(&resealed(bytes)).unwrap().facts.len(), 1);
}

#[test]
fn a_file_cut_anywhere_or_with_a_bit_changed_is_never_read_as_whole() {
    let whole = encode(&Image {
        sequence: 3,
        written: 9,
        facts: state(11),
        unknown: 0,
    });
    for len in 0..whole.len() {
        assert!(decode(&whole[..len]).is_err(), "cut at {len}");
    }
    let mut rng = Rand64::new(7);
    let body =
        (0..3000).map(|_| HEADER * 8 + (rng.rand_u64() as usize) % ((whole.len() - HEADER) * 8));
    for bit in (0..HEADER * 8).chain(body) {
        let mut bytes = whole.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        assert!(decode(&bytes).is_err(), "bit {bit}");
    }
    for end in [vec![0], vec![0; 512], whole.clone()] {
        assert!(decode(&[whole.clone(), end].concat()).is_err());
    }
}

#[test]
fn what_cannot_be_read_is_set_aside_and_the_other_generation_serves() {
    let whole = encode(&Image {
        sequence: 9,
        written: 9,
        facts: state(9),
        unknown: 0,
    });
    let changed = |at: usize, to: &[u8]| {
        let mut bytes = whole.clone();
        bytes[at..at + to.len()].copy_from_slice(to);
        bytes
    };
    let table = [
        (Vec::new(), "empty"),
        (whole[..whole.len() - 1].to_vec(), "torn"),
        (changed(8, &[0, 0, 0, 2]), "newer"),
        (changed(32, &3_000_000_000u64.to_be_bytes()), "torn"),
        (changed(HEADER + 20, b"x"), "checksum"),
        (b"something else altogether".to_vec(), "foreign"),
        (vec![b't'; format::MOST_BYTES + 4096], "long"),
        (resealed(changed(40, &[9, 9, 9, 9])), "record"),
    ];
    for (bytes, word) in table {
        let (path, _guard) = folder("aside");
        let (mut store, _) = Store::open(Folder::hold(&path).unwrap());
        store.save(1, state(1)).unwrap();
        drop(store);
        std::fs::write(path.join("memory.1"), bytes).unwrap();
        let (mut store, opened) = Store::open(Folder::hold(&path).unwrap());
        assert_eq!(opened.image.unwrap().facts, state(1), "{word}");
        assert!(
            opened.notes.len() == 1 && opened.notes[0].contains(word),
            "{word}: {:?}",
            opened.notes
        );
        store.save(2, state(2)).unwrap();
        drop(store);
        assert_eq!(
            Store::open(Folder::hold(&path).unwrap())
                .1
                .image
                .unwrap()
                .facts,
            state(2)
        );
    }
}

#[test]
fn a_folder_in_a_files_place_is_moved_aside_with_what_is_in_it() {
    let (path, _guard) = folder("place");
    std::fs::create_dir_all(path.join("memory.0/inside")).unwrap();
    let (mut store, opened) = Store::open(Folder::hold(&path).unwrap());
    assert!(
        opened.image.is_none() && opened.notes.len() == 1,
        "{:?}",
        opened.notes
    );
    store.save(1, state(1)).unwrap();
    assert!(path.join("set-aside.1.unreadable/inside").is_dir());
}

#[test]
fn only_so_many_are_kept_for_inspection_and_clearing_takes_only_what_is_ours() {
    let (path, _guard) = folder("many");
    std::fs::create_dir_all(&path).unwrap();
    std::fs::write(path.join("notes.txt"), "mine").unwrap();
    for _ in 0..3 * MOST_ASIDE {
        std::fs::write(path.join("memory.0"), "noise").unwrap();
        Store::open(Folder::hold(&path).unwrap());
    }
    let mut disk = Folder::hold(&path).unwrap();
    assert_eq!(
        disk.names()
            .unwrap()
            .iter()
            .filter(|n| n.starts_with("set-aside."))
            .count(),
        MOST_ASIDE
    );
    assert_eq!(store::clear(&mut disk).unwrap(), MOST_ASIDE);
    assert_eq!(disk.names().unwrap(), ["notes.txt"]);
}

#[test]
fn a_folder_is_held_by_one_front_at_a_time() {
    let (path, _guard) = folder("held");
    let held = Folder::hold(&path).unwrap();
    assert!(matches!(Folder::hold(&path), Err(NoFolder::Held)));
    drop(held);
    assert!(Folder::hold(&path).is_ok());
}

#[test]
fn a_folder_that_vanishes_or_is_no_folder_is_a_fault_and_nothing_more() {
    let (path, _guard) = folder("gone");
    let (mut store, _) = Store::open(Folder::hold(&path).unwrap());
    store.save(1, state(1)).unwrap();
    std::fs::remove_dir_all(&path).unwrap();
    assert!(store.save(2, state(2)).is_err());
    std::fs::write(&path, "a file").unwrap();
    assert!(matches!(Folder::hold(&path), Err(NoFolder::Io(_))));
    assert!(store.save(3, state(3)).is_err());
}

#[test]
fn a_state_beyond_the_bound_is_cut_and_still_whole() {
    let many: Vec<_> = (0..40_000).flat_map(|n| state(n % 7)).collect();
    let bytes = encode(&Image {
        sequence: 1,
        written: 1,
        facts: many.clone(),
        unknown: 0,
    });
    assert!(bytes.len() <= format::MOST_BYTES);
    let image = decode(&bytes).unwrap();
    assert!(image.facts.len() < many.len() && many.starts_with(&image.facts));
    assert_eq!(decode(&[]), Err(Unfit::Empty));
}
