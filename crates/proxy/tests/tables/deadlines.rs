//! The table of deadlines.

use std::iter;

use tidescale_policy::types::Timestamp;
use tidescale_proxy::deadlines::Deadlines;

/// Maximum number of deadlines popped by a test, more than any test sets. Without this bound, a
/// table that returns the same deadline repeatedly would hang the test instead of failing it.
const MAX_POPPED: usize = 10;

/// Removes all deadlines that are due at this time in microseconds. Returns their owners, earliest
/// deadline first.
fn pop_all_due(deadlines: &mut Deadlines<&'static str>, now_micros: u64) -> Vec<&'static str> {
    let due_owners = iter::from_fn(|| deadlines.pop_due(Timestamp::from_micros(now_micros)));
    due_owners.take(MAX_POPPED).collect()
}

#[test]
fn deadlines_expire_in_order_and_a_later_one_replaces_that_of_its_owner() {
    let mut deadlines = Deadlines::default();
    for (owner, at) in [("a", 30), ("b", 10), ("c", 20), ("b", 40), ("d", 10)] {
        deadlines.set(owner, Timestamp::from_micros(at));
    }
    deadlines.clear("c");

    assert_eq!(deadlines.next_at(), Some(Timestamp::from_micros(10)));
    assert_eq!(pop_all_due(&mut deadlines, 9), [""; 0]);
    assert_eq!(pop_all_due(&mut deadlines, 30), ["d", "a"]);
    assert_eq!(pop_all_due(&mut deadlines, 1000), ["b"]);
    assert_eq!(deadlines.next_at(), None);
}
