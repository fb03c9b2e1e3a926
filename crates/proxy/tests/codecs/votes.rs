//! Parsing of the platform's responses to votes.

use tidescale_policy::types::VoteResult;
use tidescale_proxy::votes::parse_response;

const STATUS: &str = "<?xml version=\"1.0\"?><Response><groups><item>\
    <version>42</version><step>1</step><status>rolling_back</status><maxWeight>0.28</maxWeight>\
    <observedAgoMs>310</observedAgoMs></item></groups></Response>";

/// The body of a response with an error code.
fn error_body(code: &str) -> String {
    format!("<Response><Error><Code>{code}</Code></Error></Response>")
}

#[test]
fn response_with_a_rollout_status_accepts_the_vote() {
    let response = parse_response(200, STATUS.as_bytes()).unwrap();

    assert_eq!(response.result, VoteResult::Accepted);
    assert!(response.rollout_status.is_some());
}

#[test]
fn error_code_determines_the_result_of_a_rejected_vote() {
    let cases = [
        (400, "Throttling", VoteResult::Busy),
        (400, "ConditionFailed", VoteResult::Superseded),
        (500, "InternalFailure", VoteResult::Failed),
        (400, "ValidationError", VoteResult::Failed),
    ];
    for (status, code, result) in cases {
        let response = parse_response(status, error_body(code).as_bytes()).unwrap();
        assert_eq!(response.result, result, "{status} {code}");
        assert!(response.rollout_status.is_none(), "{status} {code}");
    }
}

#[test]
fn malformed_or_contradictory_responses_are_invalid() {
    let cases = [
        ("error with status 200", 200, error_body("Throttling")),
        (
            "unknown rollout status",
            200,
            STATUS.replace("rolling_back", "elsewhere"),
        ),
        (
            "traffic cap that is not a number",
            200,
            STATUS.replace("0.28", "NaN"),
        ),
        (
            "client error with status 500",
            500,
            error_body("Throttling"),
        ),
        ("truncated XML", 200, "<Response>".to_string()),
        ("empty", 200, String::new()),
    ];
    for (name, status, body) in cases {
        assert_eq!(parse_response(status, body.as_bytes()), None, "{name}");
    }
}
