//! Bytes in, meaning out, wherever they are split.

use std::time::Duration;

use tidescale_policy::types::{AttemptOutcome, Timestamp, VoteResult};
use tidescale_proxy::buffers::{Chain, Pool};
use tidescale_proxy::postgres::{
    ClientMessage, EndpointMessage, ErrorResponse, Frame, Severity, StartupKind, sqlstate,
};
use tidescale_proxy::{config, http, load_report, postgres, rollout_status, upstream, votes};

fn chain(bytes: &[u8]) -> Chain {
    let mut chain = Chain::new(&Pool::new(64));
    chain.push(bytes);
    chain
}

fn bytes(chain: &Chain) -> Vec<u8> {
    let mut all = Vec::new();
    chain.copy(0..chain.len(), &mut all);
    all
}

const SELECT: &str = "SELECT data FROM facts WHERE code = '7f3a' /* id=9b1f,c=basket,d=480 */";
const INSERT: &str = "INSERT INTO facts (code, data) VALUES ('7f3a', '\\x9f03') RETURNING data /* id=9b1f,c=order,d=480,k=5c0f,r=1 */";

#[test]
fn a_statement_is_passed_on_unchanged_but_for_the_wait() {
    for (statement, route) in [(SELECT, "basket"), (INSERT, "order")] {
        let parsed = postgres::parse_statement(statement).unwrap();
        assert_eq!(
            (parsed.route, parsed.code, parsed.wait),
            (route, "7f3a", Duration::from_millis(480))
        );
        let mut out = chain(b"");
        postgres::put_statement(
            &mut out,
            &chain(statement.as_bytes()),
            &parsed.wait_range,
            Duration::from_millis(77),
        );
        let sent = bytes(&out);
        assert_eq!(
            postgres::query(&sent[5..]).unwrap(),
            statement.replace("d=480", "d=77")
        );
    }
}

#[test]
fn statements_of_any_other_form_are_refused() {
    let table = [
        "SELECT 1",
        "SHOW vitals",
        "SELECT data FROM facts WHERE code = '7f3a'",
        "SELECT data FROM facts WHERE code = '7f3a' /* id=9b1f,c=basket */",
        "SELECT data FROM facts WHERE code = '7f3a' /* id=9b1f,d=480 */",
        "SELECT data FROM facts WHERE code = '7f3a' /* c=basket,d=480 */",
        "SELECT data FROM facts WHERE code = '7f3a' /* id=9b1f,c=basket,d=soon */",
        "SELECT data FROM facts WHERE code = '7f3a' /* id=9b1f,c=basket,d=-1 */",
        "SELECT data FROM facts WHERE code = '7f3a' /* id=9b1f,c=basket,d=480,d=1 */",
        "SELECT data FROM facts WHERE code = '7f3a' /* id=9b1f,c=basket,d=480 */; DROP TABLE facts",
        "SELECT data FROM facts WHERE code = '' OR ''='' /* id=9b1f,c=basket,d=480 */",
        "SELECT data FROM facts WHERE code = '7f3a' /* id=9b1f,c=basket,d=480 */ /* */",
        "INSERT INTO facts (code, data) VALUES ('7f3a', 'plain') RETURNING data /* id=9b1f,c=order,d=480 */",
        "INSERT INTO facts (code, data) VALUES ('7f3a', '\\xzz') RETURNING data /* id=9b1f,c=order,d=480 */",
        "INSERT INTO facts (code, data) VALUES ('7f3a', '\\x9f0') RETURNING data /* id=9b1f,c=order,d=480 */",
        "SELECT data FROM facts WHERE code = '7f3a' /* id=9b1f,c=basket,d=+480 */",
        "SELECT data FROM facts WHERE code = '7f3a' /* id=9b1f,c=basket,d=99999999999999999999 */",
        "SELECT data FROM facts WHERE code = '7f3a' /* id=9b1f,c=basket,d=999999999999 */",
        "SELECT data FROM facts WHERE code = '7f3a' /* id=,c=basket,d=480 */",
        "DELETE FROM facts WHERE code = '7f3a' /* id=9b1f,c=basket,d=480 */",
    ];
    for statement in table {
        assert!(postgres::parse_statement(statement).is_err(), "{statement}");
    }
}

#[test]
fn messages_are_known_only_when_they_are_whole() {
    let mut all = chain(b"");
    postgres::put_startup(&mut all);
    let startup = all.len();
    postgres::put_query(&mut all, SELECT.as_bytes());
    let all = bytes(&all);
    for split in 0..all.len() {
        let mut input = chain(&all[..split]);
        let opening = postgres::startup_frame(&input).unwrap();
        assert_eq!(opening.is_some(), split >= startup, "{split}");
        if let Some(frame) = opening {
            assert_eq!(
                frame,
                Frame {
                    kind: StartupKind::Startup,
                    length: startup
                }
            );
            input.skip(frame.length);
            assert_eq!(
                postgres::whole_frame::<ClientMessage>(&input),
                Ok(None),
                "{split}"
            );
            input.push(&all[split..]);
            assert_eq!(
                postgres::whole_frame(&input),
                Ok(Some(Frame {
                    kind: ClientMessage::Query,
                    length: all.len() - startup
                }))
            );
        }
    }
}

#[test]
fn impossible_messages_are_malformed() {
    for first in [
        &[0, 0, 0, 7, 0, 3, 0, 0][..],
        &[0x7f, 0, 0, 0, 0, 3, 0, 0],
        &[0, 0, 0, 8, 0, 2, 0, 0],
    ] {
        assert!(postgres::startup_frame(&chain(first)).is_err(), "{first:?}");
    }
    for message in [
        &[b'Q', 0, 0, 0, 3][..],
        &[b'Q', 0x7f, 0, 0, 0],
        &[b'Q', 0xff, 0xff, 0xff, 0xff],
    ] {
        assert!(
            postgres::whole_frame::<ClientMessage>(&chain(message)).is_err(),
            "{message:?}"
        );
    }
    assert!(
        postgres::query(b"SELECT 1").is_err()
            && postgres::query(b"a\0b\0").is_err()
            && postgres::query(&[0xff, 0]).is_err()
    );
    assert!(postgres::error(b"MNo code\0\0").is_err() && postgres::error(b"C5330").is_err());
    assert!(
        postgres::parameter(b"vitals\0inflight=1").is_err()
            && postgres::check_authentication(&[0, 0, 0, 3]).is_err()
    );
    for row in [
        &[][..],
        &[0, 2, 0, 0, 0, 1, 9],
        &[0, 1, 0, 0, 0, 2, 9],
        &[0, 1, 0xff, 0xff, 0xff, 0xff],
    ] {
        assert!(postgres::row(row).is_err(), "{row:?}");
    }
    assert_eq!(postgres::row(&[0, 1, 0, 0, 0, 2, 9, 8]), Ok(&[9, 8][..]));
}

#[test]
fn what_cannot_be_used_is_refused_at_its_head() {
    let from_client: [&[u8]; 4] = [b"!", b"R", b"S\0\0\0\x05", b"P\0\x01\0\0"];
    for head in from_client {
        assert!(
            postgres::frame_head::<ClientMessage>(&chain(head)).is_err(),
            "{head:?}"
        );
    }
    let from_endpoint: [&[u8]; 5] = [
        b"Q",
        b"D\xb2\xd0\x5e\0",
        b"D\0\x10\0\x05",
        b"Z\0\0\0\x06",
        b"C\0\0\xff\xff",
    ];
    for head in from_endpoint {
        assert!(
            postgres::frame_head::<EndpointMessage>(&chain(head)).is_err(),
            "{head:?}"
        );
    }
    assert_eq!(
        postgres::frame_head(&chain(b"D\0\x10\0\x04")),
        Ok(Some(Frame {
            kind: EndpointMessage::DataRow,
            length: 1_048_581
        }))
    );
}

#[test]
fn every_message_of_either_side_has_its_kind_and_its_longest_body() {
    let other = 8 * 1024;
    let from_client = [
        (b'Q', ClientMessage::Query, 2 * 64 * 1024 + 4096),
        (b'P', ClientMessage::ExtendedQuery, other),
        (b'B', ClientMessage::ExtendedQuery, other),
        (b'D', ClientMessage::ExtendedQuery, other),
        (b'E', ClientMessage::ExtendedQuery, other),
        (b'C', ClientMessage::ExtendedQuery, other),
        (b'F', ClientMessage::FunctionCall, other),
        (b'd', ClientMessage::CopyData, other),
        (b'f', ClientMessage::CopyFail, other),
        (b'c', ClientMessage::CopyDone, 0),
        (b'H', ClientMessage::Flush, 0),
        (b'S', ClientMessage::Sync, 0),
        (b'X', ClientMessage::Terminate, 0),
    ];
    let from_endpoint = [
        (b'D', EndpointMessage::DataRow, 1024 * 1024),
        (b'T', EndpointMessage::RowDescription, other),
        (b'C', EndpointMessage::CommandComplete, other),
        (b'S', EndpointMessage::ParameterStatus, other),
        (b'E', EndpointMessage::Error, other),
        (b'N', EndpointMessage::Notice, other),
        (b'R', EndpointMessage::Authentication, 8),
        (b'K', EndpointMessage::BackendKeyData, 8),
        (b'Z', EndpointMessage::ReadyForQuery, 1),
    ];
    let head = |byte: u8, body: u32| {
        let length = (body + 4).to_be_bytes();
        chain(&[&[byte][..], &length].concat())
    };
    for byte in 0..=u8::MAX {
        let client = from_client.iter().find(|(known, ..)| *known == byte);
        let longest = client.map_or(0, |(.., longest)| *longest);
        let expected = client.map(|(_, kind, longest)| Frame {
            kind: *kind,
            length: *longest as usize + 5,
        });
        let found = postgres::frame_head::<ClientMessage>(&head(byte, longest));
        assert_eq!(found.ok().flatten(), expected, "{byte}");
        let too_long = postgres::frame_head::<ClientMessage>(&head(byte, longest + 1));
        assert!(too_long.is_err(), "{byte}");

        let endpoint = from_endpoint.iter().find(|(known, ..)| *known == byte);
        let longest = endpoint.map_or(0, |(.., longest)| *longest);
        let expected = endpoint.map(|(_, kind, longest)| Frame {
            kind: *kind,
            length: *longest as usize + 5,
        });
        let found = postgres::frame_head::<EndpointMessage>(&head(byte, longest));
        assert_eq!(found.ok().flatten(), expected, "{byte}");
        let too_long = postgres::frame_head::<EndpointMessage>(&head(byte, longest + 1));
        assert!(too_long.is_err(), "{byte}");
    }
}

#[test]
fn the_parts_of_an_answer_have_one_form_each() {
    let mut column = b"\0\x01data\0".to_vec();
    column.extend([
        0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1,
    ]);
    assert!(postgres::check_row_description(&column).is_ok());
    for at in 0..column.len() {
        assert!(
            postgres::check_row_description(&column[..at]).is_err(),
            "{at}"
        );
    }
    for (at, byte) in [(1, 2), (1, 0), (6, b'x'), (24, 7)] {
        let mut spoilt = column.clone();
        spoilt[at] = byte;
        assert!(postgres::check_row_description(&spoilt).is_err(), "{at}");
    }
    for (body, good) in [
        (&b"SELECT 1\0"[..], true),
        (b"INSERT 0 1\0", true),
        (b"SELECT 2\0", false),
        (b"SELECT 1", false),
        (b"SELECT 1\0\0", false),
        (b"\xff\xfe\0", false),
    ] {
        assert_eq!(
            postgres::check_command_complete(body).is_ok(),
            good,
            "{body:?}"
        );
    }
    for (body, wanted) in [
        (&b"user\0portal\0database\0crm\0\0"[..], Some(true)),
        (b"database\0crm\0\0", Some(false)),
        (b"\0", Some(false)),
        (b"user\0portal\0", None),
        (b"user\0portal\0\0more", None),
        (b"\xff\xff\xff\xff", None),
    ] {
        assert_eq!(postgres::names_user(body).ok(), wanted, "{body:?}");
    }
}

#[test]
fn what_an_event_says_is_told_or_found_unreadable() {
    let settings = config::read(include_str!("config.json"))
        .ok()
        .unwrap()
        .settings;
    let stage = "data: version=42&step=1&status=trial&maxWeight=0.28&observedAgoMs=310";
    let table = [
        (format!("event: stage\n{stage}\n"), true, true),
        (format!(":\n{stage}\nevent: stage\n"), true, true),
        (":\n".into(), true, false),
        (String::new(), true, false),
        (
            "event: flag\ndata: pod=s-1&kind=look&observedAgoMs=1200\n".into(),
            true,
            false,
        ),
        // Other bytes in place of a word may have hidden news.
        (format!("event: stXge\n{stage}\n"), false, false),
        (format!("evXnt: stage\n{stage}\n"), false, false),
        (format!("{stage}\n"), false, false),
        ("event: stage\n".into(), false, false),
        ("event: stage\nnoise\n".into(), false, false),
        (
            format!("event: stage\n{}\n", stage.replace("0.28", "7.5")),
            false,
            false,
        ),
        (
            format!("event: stage\n{}\n", stage.replace("trial", "tria")),
            false,
            false,
        ),
        ("event: flag\ndata: pod=s-1\n".into(), false, false),
    ];
    for (lines, read, told) in table {
        let mut module = tidescale_policy::Balancer::new(settings.clone(), 1, Timestamp::ZERO);
        assert_eq!(
            rollout_status::announce(&lines, &mut module).is_ok(),
            read,
            "{lines}"
        );
        assert_eq!(module.rollout().is_some(), told, "{lines}");
    }
}

#[test]
fn an_error_is_read_back_as_it_was_written() {
    let mut out = chain(b"");
    postgres::put_error(
        &mut out,
        Severity::Error,
        sqlstate::TOO_MANY_CONNECTIONS,
        "try again",
        "250",
    );
    let sent = bytes(&out);
    assert_eq!(
        postgres::whole_frame(&out),
        Ok(Some(Frame {
            kind: EndpointMessage::Error,
            length: sent.len()
        }))
    );
    assert_eq!(
        postgres::error(&sent[5..]).unwrap(),
        ErrorResponse {
            code: "53300".into(),
            message: "try again".into()
        }
    );
    assert!(sent.windows(6).any(|w| w == b"\0D250\0"));
}

#[test]
fn errors_and_load_reports_of_endpoints_have_their_meaning() {
    for (code, end) in [
        ("53300", AttemptOutcome::Overloaded),
        ("57P03", AttemptOutcome::Overloaded),
        ("XX000", AttemptOutcome::Failed),
        ("08P01", AttemptOutcome::Failed),
        ("42601", AttemptOutcome::InvalidRequest),
        ("22P02", AttemptOutcome::InvalidRequest),
        ("", AttemptOutcome::Failed),
    ] {
        assert_eq!(upstream::outcome_of_sqlstate(code), end, "{code}");
    }
    let table = [
        ("inflight=7,util=0.61", Some((Some(7.0), None))),
        ("queue=3, inflight=1.5", Some((Some(1.5), Some(3.0)))),
        ("util=0.61", Some((None, None))),
        // A report that makes no sense in one field is worth nothing in the others.
        ("inflight=nan,queue=", None),
        ("inflight=-3,util=0.61", None),
        ("inflight=7,queue=1e300", None),
        ("inflight=\u{fffd}\u{fffd}", None),
        ("inflight", None),
        ("", None),
    ];
    for (text, wanted) in table {
        assert_eq!(
            load_report::parse(text).map(|report| (report.in_flight, report.queued)),
            wanted,
            "{text}"
        );
    }
}

#[test]
fn answers_over_http_are_the_same_however_they_are_split() {
    let table: [(&[u8], &str, bool); 5] = [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "hello", true),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", true),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nA: b\r\n\r\n", "hello", true),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "hello", false),
        (b"HTTP/1.0 200 OK\r\n\r\nhello", "hello", false),
    ];
    for (sent, body, done) in table {
        for split in 0..=sent.len() {
            let (mut answer, mut input) = (http::Response::default(), chain(&sent[..split]));
            answer.read(&mut input).unwrap();
            input.push(&sent[split..]);
            answer.read(&mut input).unwrap();
            assert_eq!(
                (answer.status, answer.is_complete()),
                (200, done),
                "{split}"
            );
            assert_eq!(answer.body, body.as_bytes(), "{split}");
        }
    }
    let malformed: [&[u8]; 5] = [
        b"\x00\x01\x02",
        b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n",
    ];
    for sent in malformed {
        assert!(
            http::Response::default().read(&mut chain(sent)).is_err(),
            "{}",
            String::from_utf8_lossy(sent)
        );
    }
}

#[test]
fn lines_are_handed_over_when_they_are_whole() {
    let (mut answer, mut input) = (
        http::Response::default(),
        chain(b"HTTP/1.1 200 OK\r\n\r\none\r\n\ntw"),
    );
    let mut got = Vec::new();
    answer.read(&mut input).unwrap();
    answer.take_lines(|l| got.push(l.to_string())).unwrap();
    assert_eq!(got, ["one", ""]);
    input.push(b"o\n");
    answer.read(&mut input).unwrap();
    answer.take_lines(|l| got.push(l.to_string())).unwrap();
    assert_eq!(got, ["one", "", "two"]);
}

#[test]
fn every_answer_to_a_vote_has_its_meaning() {
    let state = "<?xml version=\"1.0\"?><Response><groups><item><version>42</version><step>1</step>\
        <status>rolling_back</status><maxWeight>0.28</maxWeight><observedAgoMs>310</observedAgoMs></item></groups></Response>";
    let error = |code: &str| format!("<Response><Error><Code>{code}</Code></Error></Response>");
    let table = [
        (200, state.to_string(), Some(VoteResult::Accepted)),
        (400, error("Throttling"), Some(VoteResult::Busy)),
        (400, error("ConditionFailed"), Some(VoteResult::Superseded)),
        (500, error("InternalFailure"), Some(VoteResult::Failed)),
        (400, error("ValidationError"), Some(VoteResult::Failed)),
        (200, error("Throttling"), None),
        (200, state.replace("rolling_back", "elsewhere"), None),
        (200, state.replace("0.28", "NaN"), None),
        (500, error("Throttling"), None),
        (200, "<Response>".into(), None),
        (200, String::new(), None),
    ];
    for (status, body, wanted) in table {
        let response = votes::parse_response(status, body.as_bytes());
        assert_eq!(
            response.as_ref().map(|response| response.result),
            wanted,
            "{status} {body}"
        );
        assert_eq!(
            response.is_some_and(|response| response.rollout_status.is_some()),
            wanted == Some(VoteResult::Accepted)
        );
    }
}

#[test]
fn a_configuration_that_lacks_something_says_what() {
    let whole = include_str!("config.json");
    assert!(config::read(whole).is_ok());
    let table = [
        ("", "EOF"),
        ("\"listen\":", "missing field `listen`"),
        (
            "\"rules\":",
            "settings: a setting is missing: rules.drain_grace",
        ),
        (
            "\"conn_idle\":",
            "settings: a setting is missing: policy_limits.conn_idle",
        ),
        (
            "\"idempotency\":",
            "settings: a setting is missing: classes.0.idempotency",
        ),
    ];
    for (name, wanted) in table {
        let text = if name.is_empty() {
            String::new()
        } else {
            whole.replacen(name, "\"x\":", 1)
        };
        let error = config::read(&text).err().unwrap().to_string();
        assert!(error.contains(wanted), "{name}: {error}");
    }
    for (from, to) in [
        ("127.0.0.1:6432", "here"),
        ("\"8c1f30d27a5be964\"", "\"seed\""),
        ("\"retryable\"", "\"odd\""),
    ] {
        assert!(
            config::read(&whole.replacen(from, to, 1)).is_err(),
            "{from}"
        );
    }
}
