//! Outcome and error text of attempts that failed on their connection.

use std::io;

use tidescale_policy::types::AttemptOutcome;
use tidescale_proxy::upstream::{AttemptError, AttemptErrorCause, RequestProgress, ResponseError};

struct ErrorCase {
    progress: RequestProgress,
    cause: AttemptErrorCause,
    outcome: AttemptOutcome,
    text: &'static str,
}

impl ErrorCase {
    fn check(self) {
        let error = AttemptError {
            progress: self.progress,
            cause: self.cause,
        };
        assert_eq!(error.outcome(), self.outcome, "{error}");
        assert_eq!(error.to_string(), self.text);
    }
}

fn connection_reset() -> AttemptErrorCause {
    AttemptErrorCause::ConnectionBroken(io::ErrorKind::ConnectionReset.into())
}

#[test]
fn attempt_is_refused_if_its_request_was_not_written_completely() {
    let cases = [
        ErrorCase {
            progress: RequestProgress::NotWritten,
            cause: connection_reset(),
            outcome: AttemptOutcome::Refused,
            text: "nothing written: connection reset",
        },
        ErrorCase {
            progress: RequestProgress::PartlyWritten,
            cause: connection_reset(),
            outcome: AttemptOutcome::Refused,
            text: "part written: connection reset",
        },
        ErrorCase {
            progress: RequestProgress::PartlyWritten,
            cause: AttemptErrorCause::ConnectionClosed,
            outcome: AttemptOutcome::Refused,
            text: "part written: closed",
        },
        ErrorCase {
            progress: RequestProgress::NotWritten,
            cause: AttemptErrorCause::TimedOut,
            outcome: AttemptOutcome::Refused,
            text: "nothing written: no answer in time",
        },
    ];
    cases.into_iter().for_each(ErrorCase::check);
}

#[test]
fn attempt_may_have_been_executed_if_its_request_was_written_completely() {
    let cases = [
        (
            connection_reset(),
            AttemptOutcome::ConnectionReset,
            "all written: connection reset",
        ),
        (
            AttemptErrorCause::ConnectionClosed,
            AttemptOutcome::ConnectionReset,
            "all written: closed",
        ),
        (
            AttemptErrorCause::Malformed(ResponseError::OutOfOrder),
            AttemptOutcome::Malformed,
            "all written: response messages out of order",
        ),
        (
            AttemptErrorCause::TimedOut,
            AttemptOutcome::TimedOut,
            "all written: no answer in time",
        ),
        (
            AttemptErrorCause::Cancelled,
            AttemptOutcome::Cancelled,
            "all written: cancelled",
        ),
    ];
    for (cause, outcome, text) in cases {
        let case = ErrorCase {
            progress: RequestProgress::Written,
            cause,
            outcome,
            text,
        };
        case.check();
    }
}
