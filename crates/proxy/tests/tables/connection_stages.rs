//! The index of connections by stage, which determines the order of eviction.

use tidescale_policy::types::Timestamp;
use tidescale_proxy::clients::stages::{ConnectionsByStage, Stage};
use tidescale_proxy::ids::{ClientKey, SlotKey};

/// The number of a connection, its stage, and when it entered the stage, in microseconds.
const ENTRIES: [(u64, Stage, u64); 9] = [
    (1, Stage::AwaitingResponse, 1),
    (2, Stage::Writing, 1),
    (3, Stage::ReceivingMessage, 2),
    (4, Stage::ReceivingMessage, 1),
    (5, Stage::Idle, 9),
    (6, Stage::Idle, 3),
    (7, Stage::AwaitingFirstRequest, 5),
    (8, Stage::Opening, 6),
    (9, Stage::Closing, 9),
];

fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

fn client(number: u64) -> ClientKey {
    ClientKey::from(SlotKey::new(number))
}

fn number(connection: ClientKey) -> u64 {
    SlotKey::from(connection).get()
}

/// An index of all connections in [`ENTRIES`].
fn recorded_connections() -> ConnectionsByStage {
    let mut connections = ConnectionsByStage::default();
    for (number, stage, since) in ENTRIES {
        assert!(connections.record(client(number), stage, at(since)));
    }
    connections
}

/// The numbers of the connections that may be evicted, in eviction order. Unless it is closing, a
/// connection may be evicted only if it entered its stage at this time or earlier.
fn eviction_order(connections: &ConnectionsByStage, latest_micros: u64) -> Vec<u64> {
    connections
        .eviction_order(at(latest_micros))
        .map(|entry| number(entry.connection))
        .collect()
}

fn idle_before(connections: &ConnectionsByStage, before_micros: u64) -> Vec<u64> {
    connections
        .entered_stage_before(Stage::Idle, at(before_micros))
        .map(number)
        .collect()
}

#[test]
fn connections_without_pending_request_are_evicted_by_stage_then_by_time() {
    let connections = recorded_connections();

    assert_eq!(eviction_order(&connections, 9), [9, 8, 7, 6, 5, 4, 3]);
}

#[test]
fn only_a_closing_connection_is_evicted_before_its_minimum_time_in_the_stage() {
    let connections = recorded_connections();

    assert_eq!(eviction_order(&connections, 5), [9, 7, 6, 4, 3]);
}

#[test]
fn idle_connections_are_found_if_they_became_idle_before_a_time() {
    let connections = recorded_connections();

    assert_eq!(idle_before(&connections, 9), [6]);
    assert_eq!(idle_before(&connections, 10), [6, 5]);
    assert_eq!(connections.idle_count(), 2);
}

#[test]
fn time_in_a_stage_starts_only_when_the_stage_changes() {
    let mut connections = recorded_connections();
    let since = |connections: &ConnectionsByStage| {
        let entry = connections.get(client(6));
        entry.map(|entry| entry.since)
    };

    assert!(!connections.record(client(6), Stage::Idle, at(20)));
    assert_eq!(since(&connections), Some(at(3)));

    assert!(connections.record(client(6), Stage::AwaitingResponse, at(20)));
    assert!(connections.record(client(6), Stage::Idle, at(21)));
    assert_eq!(since(&connections), Some(at(21)));
    assert_eq!(connections.idle_count(), 2);
    assert_eq!(idle_before(&connections, 99), [5, 6]);
}

#[test]
fn removed_connection_is_in_no_index_and_a_second_removal_changes_nothing() {
    let mut connections = recorded_connections();
    connections.record(client(6), Stage::AwaitingResponse, at(20));
    connections.record(client(6), Stage::Idle, at(21));

    connections.remove(client(5));
    connections.remove(client(5));

    assert_eq!(connections.get(client(5)), None);
    assert_eq!(connections.idle_count(), 1);
    assert_eq!(idle_before(&connections, 99), [6]);
}
