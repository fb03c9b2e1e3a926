//! Bytes in, meaning out, wherever they are split.

use tidescale::front::{Answer, End};
use tidescale_node::buffers::{Chain, Pool};
use tidescale_node::{config, http, pg, platform, upstream};

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
        let asked = pg::asked(statement).unwrap();
        assert_eq!((asked.route, asked.code, asked.wait_ms), (route, "7f3a", 480));
        let mut out = chain(b"");
        pg::put_statement(&mut out, &chain(statement.as_bytes()), &asked.wait_at, 77);
        let sent = bytes(&out);
        assert_eq!(pg::query(&sent[5..]).unwrap(), statement.replace("d=480", "d=77"));
    }
}

#[test]
fn statements_of_any_other_form_are_turned_down() {
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
        "DELETE FROM facts WHERE code = '7f3a' /* id=9b1f,c=basket,d=480 */",
    ];
    for statement in table {
        assert!(pg::asked(statement).is_err(), "{statement}");
    }
}

#[test]
fn messages_are_known_only_when_they_are_whole() {
    let mut all = chain(b"");
    pg::put_startup(&mut all);
    let startup = all.len();
    pg::put_query(&mut all, SELECT.as_bytes());
    let all = bytes(&all);
    for split in 0..all.len() {
        let mut input = chain(&all[..split]);
        let opening = pg::opening(&input).unwrap();
        assert_eq!(opening.is_some(), split >= startup, "{split}");
        if let Some((kind, len)) = opening {
            assert_eq!((kind, len), (pg::Opening::Startup, startup));
            input.skip(len);
            assert_eq!(pg::message(&input, 0).unwrap(), None, "{split}");
            input.push(&all[split..]);
            assert_eq!(pg::message(&input, 0).unwrap(), Some((b'Q', all.len() - startup)));
        }
    }
}

#[test]
fn impossible_messages_are_malformed() {
    for first in [&[0, 0, 0, 7, 0, 3, 0, 0][..], &[0x7f, 0, 0, 0, 0, 3, 0, 0], &[0, 0, 0, 8, 0, 2, 0, 0]] {
        assert!(pg::opening(&chain(first)).is_err(), "{first:?}");
    }
    for message in [&[b'Q', 0, 0, 0, 3][..], &[b'Q', 0x7f, 0, 0, 0], &[b'Q', 0xff, 0xff, 0xff, 0xff]] {
        assert!(pg::message(&chain(message), 0).is_err(), "{message:?}");
    }
    assert!(
        pg::query(b"SELECT 1").is_err() && pg::query(b"a\0b\0").is_err() && pg::query(&[0xff, 0]).is_err()
    );
    assert!(pg::error(b"MNo code\0\0").is_err() && pg::error(b"C5330").is_err());
    assert!(pg::parameter(b"vitals\0inflight=1").is_err() && pg::admitted(&[0, 0, 0, 3]).is_err());
    for row in [&[][..], &[0, 2, 0, 0, 0, 1, 9], &[0, 1, 0, 0, 0, 2, 9], &[0, 1, 0xff, 0xff, 0xff, 0xff]] {
        assert!(pg::row(row).is_err(), "{row:?}");
    }
    assert_eq!(pg::row(&[0, 1, 0, 0, 0, 2, 9, 8]), Ok(&[9, 8][..]));
}

#[test]
fn an_error_is_read_back_as_it_was_written() {
    let mut out = chain(b"");
    pg::put_error(&mut out, false, pg::SHED, "try again", "250");
    let sent = bytes(&out);
    assert_eq!(pg::message(&out, 0).unwrap(), Some((b'E', sent.len())));
    assert_eq!(pg::error(&sent[5..]).unwrap(), ("53300".into(), "try again".into()));
    assert!(sent.windows(6).any(|w| w == b"\0D250\0"));
}

#[test]
fn machines_errors_and_reports_are_told_apart() {
    for (code, end) in [
        ("53300", End::Full),
        ("57P03", End::Full),
        ("XX000", End::Error),
        ("08P01", End::Error),
        ("", End::Error),
    ] {
        assert_eq!(upstream::error_end(code), end, "{code}");
    }
    let table = [
        ("inflight=7,util=0.61", Some(7.0), None),
        ("queue=3, inflight=1.5", Some(1.5), Some(3.0)),
        ("inflight=nan,queue=", None, None),
        ("", None, None),
    ];
    for (text, inflight, queue) in table {
        let load = upstream::load(text);
        assert_eq!((load.inflight, load.queue), (inflight, queue), "{text}");
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
            let (mut answer, mut input) = (http::Answer::default(), chain(&sent[..split]));
            answer.read(&mut input).unwrap();
            input.push(&sent[split..]);
            answer.read(&mut input).unwrap();
            assert_eq!((answer.status, answer.is_done()), (200, done), "{split}");
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
        assert!(http::Answer::default().read(&mut chain(sent)).is_err(), "{}", String::from_utf8_lossy(sent));
    }
}

#[test]
fn lines_are_handed_over_when_they_are_whole() {
    let (mut answer, mut input) = (http::Answer::default(), chain(b"HTTP/1.1 200 OK\r\n\r\none\r\n\ntw"));
    let mut got = Vec::new();
    answer.read(&mut input).unwrap();
    answer.lines(|l| got.push(l.to_string())).unwrap();
    assert_eq!(got, ["one", ""]);
    input.push(b"o\n");
    answer.read(&mut input).unwrap();
    answer.lines(|l| got.push(l.to_string())).unwrap();
    assert_eq!(got, ["one", "", "two"]);
}

#[test]
fn every_answer_to_a_vote_has_its_meaning() {
    let state = "<?xml version=\"1.0\"?><Response><groups><item><version>42</version><step>1</step>\
        <status>rolling_back</status><maxWeight>0.28</maxWeight><observedAgoMs>310</observedAgoMs></item></groups></Response>";
    let error = |code: &str| format!("<Response><Error><Code>{code}</Code></Error></Response>");
    let table = [
        (200, state.to_string(), Some(Answer::Counts)),
        (400, error("Throttling"), Some(Answer::Busy)),
        (400, error("ConditionFailed"), Some(Answer::Moot)),
        (500, error("InternalFailure"), Some(Answer::Error)),
        (400, error("ValidationError"), Some(Answer::Error)),
        (200, error("Throttling"), None),
        (200, state.replace("rolling_back", "elsewhere"), None),
        (200, state.replace("0.28", "NaN"), None),
        (500, error("Throttling"), None),
        (200, "<Response>".into(), None),
        (200, String::new(), None),
    ];
    for (status, body, wanted) in table {
        let got = platform::vote_answer(status, body.as_bytes());
        assert_eq!(got.as_ref().map(|(answer, _)| *answer), wanted, "{status} {body}");
        assert_eq!(got.is_some_and(|(_, news)| news.is_some()), wanted == Some(Answer::Counts));
    }
}

#[test]
fn a_configuration_that_lacks_something_says_what() {
    let whole = include_str!("config.json");
    assert!(config::read(whole).is_ok());
    let table = [
        ("", "EOF"),
        ("\"listen\":", "missing field `listen`"),
        ("\"rules\":", "settings: a setting is missing: rules.drain_grace"),
        ("\"conn_idle\":", "settings: a setting is missing: policy_limits.conn_idle"),
        ("\"idempotency\":", "settings: a setting is missing: classes.0.idempotency"),
    ];
    for (name, wanted) in table {
        let text = if name.is_empty() { String::new() } else { whole.replacen(name, "\"x\":", 1) };
        let fault = config::read(&text).err().unwrap();
        assert!(fault.contains(wanted), "{name}: {fault}");
    }
    for (from, to) in
        [("127.0.0.1:6432", "here"), ("\"8c1f30d27a5be964\"", "\"seed\""), ("\"retryable\"", "\"odd\"")]
    {
        assert!(config::read(&whole.replacen(from, to, 1)).is_err(), "{from}");
    }
}
