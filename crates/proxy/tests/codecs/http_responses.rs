//! Incremental decoding of HTTP responses.

use tidescale_proxy::http::Response;

use crate::message_chain::chain_of;

struct ResponseCase {
    name: &'static str,
    bytes: &'static [u8],
    body: &'static str,
    is_complete: bool,
}

const VALID_RESPONSES: [ResponseCase; 5] = [
    ResponseCase {
        name: "content length",
        bytes: b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        body: "hello",
        is_complete: true,
    },
    ResponseCase {
        name: "empty body",
        bytes: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        body: "",
        is_complete: true,
    },
    ResponseCase {
        name: "chunks with an extension and a trailer",
        bytes: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
            3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nA: b\r\n\r\n",
        body: "hello",
        is_complete: true,
    },
    ResponseCase {
        name: "chunks without the last one",
        bytes: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        body: "hello",
        is_complete: false,
    },
    ResponseCase {
        name: "body until the connection closes",
        bytes: b"HTTP/1.0 200 OK\r\n\r\nhello",
        body: "hello",
        is_complete: false,
    },
];

#[test]
fn response_is_decoded_alike_wherever_its_bytes_are_split() {
    for case in VALID_RESPONSES {
        for split in 0..=case.bytes.len() {
            let (first_part, second_part) = case.bytes.split_at(split);
            let mut response = Response::default();
            let mut input = chain_of(first_part);

            response.read(&mut input).unwrap();
            input.push(second_part);
            response.read(&mut input).unwrap();

            let description = format!("{}, split at {split}", case.name);
            assert_eq!(response.status, 200, "{description}");
            assert_eq!(response.is_complete(), case.is_complete, "{description}");
            assert_eq!(response.body, case.body.as_bytes(), "{description}");
        }
    }
}

#[test]
fn malformed_responses_are_rejected() {
    let cases: [(&str, &[u8]); 5] = [
        ("not HTTP", b"\x00\x01\x02"),
        (
            "length that is not a number",
            b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n",
        ),
        (
            "length beyond the limit",
            b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        ),
        (
            "chunk size that is not a number",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        ),
        (
            "chunk longer than its size",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n",
        ),
    ];
    for (name, bytes) in cases {
        let result = Response::default().read(&mut chain_of(bytes));
        assert!(result.is_err(), "{name}");
    }
}

#[test]
fn lines_of_a_body_are_passed_on_once_they_are_complete() {
    let mut response = Response::default();
    let mut input = chain_of(b"HTTP/1.1 200 OK\r\n\r\none\r\n\ntw");
    let mut lines = Vec::new();

    response.read(&mut input).unwrap();
    response
        .take_lines(|line| lines.push(line.to_string()))
        .unwrap();
    assert_eq!(lines, ["one", ""]);

    input.push(b"o\n");
    response.read(&mut input).unwrap();
    response
        .take_lines(|line| lines.push(line.to_string()))
        .unwrap();
    assert_eq!(lines, ["one", "", "two"]);
}
