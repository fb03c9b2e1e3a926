//! Ids of requests that must not be executed again.

use std::time::Duration;

use tidescale_policy::types::Timestamp;
use tidescale_proxy::clients::executed_requests::{ExecutedRequests, MAX_EXECUTED_REQUESTS};

fn seconds(count: usize) -> Timestamp {
    Timestamp::ZERO + Duration::from_secs(count as u64)
}

#[test]
fn id_is_kept_until_it_expires() {
    let mut executed = ExecutedRequests::default();
    executed.add("7f", seconds(4));
    executed.add("8a", seconds(2));

    executed.remove_expired(seconds(2));

    assert!(executed.contains("7f"));
    assert!(!executed.contains("8a"));
    assert!(!executed.contains("7"));

    executed.add("7f", seconds(6));
    executed.remove_expired(seconds(5));
    assert!(executed.contains("7f"));

    executed.remove_expired(seconds(6));
    assert!(!executed.contains("7f"));
}

#[test]
fn table_at_its_limit_drops_the_ids_that_expire_first() {
    let mut executed = ExecutedRequests::default();
    for index in 0..=MAX_EXECUTED_REQUESTS {
        executed.add(&format!("{index:x}"), seconds(10 + index));
    }

    assert!(!executed.contains("0"));
    assert!(executed.contains("1"));
    assert!(executed.contains(&format!("{MAX_EXECUTED_REQUESTS:x}")));
}
