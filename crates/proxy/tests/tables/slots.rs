//! Tables of slots with a fixed capacity, whose keys become invalid when their entry is removed.

use std::convert::Infallible;

use tidescale_proxy::slots::Slots;

/// An empty table with two slots.
fn two_slots() -> Slots<&'static str> {
    Slots::new(2)
}

/// The result of a constructor that succeeds.
#[expect(
    clippy::unnecessary_wraps,
    reason = "the table takes constructors that may fail"
)]
fn created(name: &'static str) -> Result<&'static str, Infallible> {
    Ok(name)
}

#[test]
fn key_of_a_removed_entry_finds_nothing_in_its_reused_slot() {
    let mut slots = two_slots();
    let first = slots.insert(|_| created("first")).unwrap().unwrap();
    assert_eq!(slots.remove(first), Some("first"));
    let second = slots.insert(|_| created("second")).unwrap().unwrap();

    assert_ne!(first, second);
    assert_eq!(slots.get(first), None);
    assert_eq!(slots.get_mut(first), None);
    assert_eq!(slots.remove(first), None);
    assert_eq!(slots.get(second), Some(&"second"));
}

#[test]
fn failed_constructor_takes_no_slot_and_a_full_table_calls_none() {
    let mut slots = two_slots();
    let first = slots.insert(|_| created("first")).unwrap().unwrap();
    slots.remove(first);
    assert!(slots.insert(|_| created("second")).is_some());

    assert_eq!(slots.insert(|_| Err("failed")), Some(Err("failed")));
    assert!(slots.insert(|_| created("third")).is_some());

    assert!(slots.is_full());
    let refused =
        slots.insert(|_| -> Result<_, Infallible> { panic!("called although the table is full") });
    assert!(refused.is_none());
}
