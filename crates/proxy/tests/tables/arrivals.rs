//! Arrival times of the bytes of a connection.

use tidescale_policy::types::Timestamp;
use tidescale_proxy::clients::arrivals::Arrivals;

fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

#[test]
fn arrival_time_of_a_request_is_that_of_its_last_byte() {
    let now = at(9);
    let mut arrivals = Arrivals::default();
    for (count, micros) in [(10, 1), (0, 2), (5, 3), (5, 3), (1, 4)] {
        arrivals.record(count, at(micros));
    }

    assert_eq!(arrivals.consume(9, now), at(1));
    assert_eq!(arrivals.consume(1, now), at(1));
    assert_eq!(arrivals.consume(1, now), at(3));
    assert_eq!(arrivals.consume(9, now), at(3));
    assert_eq!(arrivals.consume(1, now), at(4));
    // Bytes that were not recorded count as received now.
    assert_eq!(arrivals.consume(1, now), now);
}

#[test]
fn bytes_received_after_256_kept_arrivals_have_the_time_of_the_256th() {
    let now = at(999);
    let mut arrivals = Arrivals::default();
    for micros in 1..=300 {
        arrivals.record(1, at(micros));
    }

    assert_eq!(arrivals.consume(255, now), at(255));
    assert_eq!(arrivals.consume(1, now), at(256));
    // Beyond the limit, the reported time may be too early, but never too late.
    assert_eq!(arrivals.consume(44, now), at(256));
}
