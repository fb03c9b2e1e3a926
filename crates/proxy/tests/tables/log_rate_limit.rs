//! The rate limit of the log lines of a call site.

use std::time::{Duration, Instant};

use tidescale_proxy::logging::{RateLimiter, SourceLine};

const REPEATED: SourceLine = SourceLine {
    file: "file",
    line: 1,
};
const OTHER: SourceLine = SourceLine {
    file: "file",
    line: 2,
};

#[test]
fn lines_over_the_limit_of_their_call_site_are_suppressed_and_counted_per_window() {
    let mut limiter = RateLimiter::default();
    let start = Instant::now();
    let mut admit_after = |millis, source| {
        let now = start + Duration::from_millis(millis);
        limiter.admit(source, now)
    };

    let admitted: Vec<_> = (0..8).map(|millis| admit_after(millis, REPEATED)).collect();
    assert_eq!(admitted[..5], [Some(0); 5]);
    assert_eq!(admitted[5..], [None; 3]);

    assert_eq!(admit_after(10, OTHER), Some(0));
    assert_eq!(admit_after(1000, REPEATED), Some(3));
    assert_eq!(admit_after(2500, REPEATED), Some(0));
}
