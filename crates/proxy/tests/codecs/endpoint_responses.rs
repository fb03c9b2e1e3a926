//! Errors and load reports in the responses of endpoints.

use tidescale_policy::types::{AttemptOutcome, LoadReport};
use tidescale_proxy::{load_report, upstream};

#[test]
fn outcome_of_an_attempt_follows_from_the_sqlstate() {
    let cases = [
        ("53300", AttemptOutcome::Overloaded),
        ("57P03", AttemptOutcome::Overloaded),
        ("XX000", AttemptOutcome::Failed),
        ("08P01", AttemptOutcome::Failed),
        ("42601", AttemptOutcome::InvalidRequest),
        ("22P02", AttemptOutcome::InvalidRequest),
        ("", AttemptOutcome::Failed),
    ];
    for (code, outcome) in cases {
        assert_eq!(upstream::outcome_of_sqlstate(code), outcome, "{code}");
    }
}

#[test]
fn valid_load_reports_are_parsed() {
    let cases = [
        ("inflight=7,util=0.61", Some(7.0), None),
        ("queue=3, inflight=1.5", Some(1.5), Some(3.0)),
        ("util=0.61", None, None),
    ];
    for (text, in_flight, queued) in cases {
        let expected = LoadReport { in_flight, queued };
        assert_eq!(load_report::parse(text), Some(expected), "{text}");
    }
}

#[test]
fn load_reports_with_one_invalid_count_are_rejected_as_a_whole() {
    let cases = [
        "inflight=nan,queue=",
        "inflight=-3,util=0.61",
        "inflight=7,queue=1e300",
        "inflight=\u{fffd}\u{fffd}",
        "inflight",
        "",
    ];
    for text in cases {
        assert_eq!(load_report::parse(text), None, "{text}");
    }
}
