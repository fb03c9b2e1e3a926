//! The memory for statements, and its share of all memory.

use tidescale_proxy::resource_budget::{BufferBudget, ConnectionBudget};
use tidescale_proxy::statement_buffers::{STATEMENT_BUFFER_BYTES, StatementBuffers};

const CAPACITY: usize = 10;
const RESERVE: usize = 4;

fn statement_buffers() -> StatementBuffers {
    StatementBuffers::new(CAPACITY * STATEMENT_BUFFER_BYTES, RESERVE)
}

#[test]
fn statements_beyond_the_capacity_are_not_stored_until_others_are_dropped() {
    let buffers = statement_buffers();
    let mut stored: Vec<_> = (0..CAPACITY).map(|_| buffers.store("SELECT")).collect();

    assert!(stored.iter().all(Option::is_some));
    assert!(buffers.store("SELECT").is_none());

    stored.pop();
    assert!(buffers.store("SELECT").is_some());
}

#[test]
fn large_statements_leave_the_reserve_to_small_ones() {
    let buffers = statement_buffers();
    let large = "x".repeat(2 * STATEMENT_BUFFER_BYTES);
    let small = "x".repeat(STATEMENT_BUFFER_BYTES);

    let stored: Vec<_> = (0..3).map(|_| buffers.store(&large)).collect();
    assert!(stored.iter().all(Option::is_some));
    assert!(buffers.store(&large).is_none());

    let reserved: Vec<_> = (0..RESERVE).map(|_| buffers.store(&small)).collect();
    assert!(reserved.iter().all(Option::is_some));
    assert!(buffers.store(&small).is_none());
}

/// All pools together leave the rest of the memory limit to everything that is not in a pool, and
/// each client can have a small request beside large ones.
#[test]
fn pools_use_less_than_the_memory_limit_and_every_client_has_room_for_a_statement() {
    for memory_mib in [32, 64, 128, 192] {
        for descriptor_limit in [256, 512, 1024] {
            let clients = ConnectionBudget::split(descriptor_limit).unwrap().clients;

            let budget = BufferBudget::split(memory_mib, clients);

            let total = budget.endpoints.capacity_bytes()
                + budget.output.capacity_bytes()
                + budget.clients.capacity_bytes()
                + budget.control.capacity_bytes()
                + budget.statements.capacity_bytes();
            let limit = memory_mib * 1024 * 1024;
            assert!(total <= limit * 17 / 24, "{total} of {limit}");
            let small: Vec<_> = (0..clients)
                .map(|_| budget.statements.store("SELECT"))
                .collect();
            assert!(small.iter().all(Option::is_some));
        }
    }
}
