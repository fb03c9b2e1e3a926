//! Framing of PostgreSQL messages, and the messages that are rejected before their body arrives.

use tidescale_proxy::postgres::{
    self, ClientMessage, EndpointMessage, Frame, StartupKind, complete_frame, frame_header,
    startup_frame,
};

use crate::message_chain::{chain_of, encode};
use crate::statements::SELECT;

#[test]
fn frames_are_returned_only_once_they_are_complete() {
    let startup = encode(postgres::put_startup);
    let query = encode(|output| postgres::put_query(output, SELECT.as_bytes()));
    let input_bytes = [&startup[..], &query].concat();

    for split in 0..input_bytes.len() {
        let (first_part, second_part) = input_bytes.split_at(split);
        let mut input = chain_of(first_part);
        let first_frame = startup_frame(&input).unwrap();

        if split < startup.len() {
            assert_eq!(first_frame, None, "{split}");
            continue;
        }
        let startup_frame = Frame {
            kind: StartupKind::Startup,
            length: startup.len(),
        };
        assert_eq!(first_frame, Some(startup_frame), "{split}");

        input.skip(startup.len());
        assert_eq!(complete_frame::<ClientMessage>(&input), Ok(None), "{split}");

        input.push(second_part);
        let query_frame = Frame {
            kind: ClientMessage::Query,
            length: query.len(),
        };
        assert_eq!(complete_frame(&input), Ok(Some(query_frame)), "{split}");
    }
}

#[test]
fn startup_messages_of_invalid_length_or_version_are_rejected() {
    let cases = [
        ("shorter than its header", [0, 0, 0, 7, 0, 3, 0, 0]),
        ("too long", [0x7f, 0, 0, 0, 0, 3, 0, 0]),
        ("protocol 2.0", [0, 0, 0, 8, 0, 2, 0, 0]),
    ];
    for (name, message) in cases {
        assert!(startup_frame(&chain_of(&message)).is_err(), "{name}");
    }
}

#[test]
fn messages_of_invalid_length_are_rejected() {
    let cases = [
        ("shorter than its length field", [b'Q', 0, 0, 0, 3]),
        ("too long", [b'Q', 0x7f, 0, 0, 0]),
        ("longest possible", [b'Q', 0xff, 0xff, 0xff, 0xff]),
    ];
    for (name, message) in cases {
        let frame = complete_frame::<ClientMessage>(&chain_of(&message));
        assert!(frame.is_err(), "{name}");
    }
}

#[test]
fn invalid_client_messages_are_rejected_by_their_header() {
    let cases: [(&str, &[u8]); 4] = [
        ("unknown type", b"!"),
        ("type that only endpoints send", b"R"),
        ("Sync with a body", b"S\0\0\0\x05"),
        ("Parse longer than the limit", b"P\0\x01\0\0"),
    ];
    for (name, header) in cases {
        let frame = frame_header::<ClientMessage>(&chain_of(header));
        assert!(frame.is_err(), "{name}");
    }
}

#[test]
fn invalid_endpoint_messages_are_rejected_by_their_header() {
    let cases: [(&str, &[u8]); 5] = [
        ("type that only clients send", b"Q"),
        ("DataRow far longer than the limit", b"D\xb2\xd0\x5e\0"),
        ("DataRow one byte longer than the limit", b"D\0\x10\0\x05"),
        ("ReadyForQuery of two bytes", b"Z\0\0\0\x06"),
        ("CommandComplete longer than the limit", b"C\0\0\xff\xff"),
    ];
    for (name, header) in cases {
        let frame = frame_header::<EndpointMessage>(&chain_of(header));
        assert!(frame.is_err(), "{name}");
    }

    let longest_row = Frame {
        kind: EndpointMessage::DataRow,
        length: 1_048_581,
    };
    assert_eq!(
        frame_header(&chain_of(b"D\0\x10\0\x04")),
        Ok(Some(longest_row))
    );
}
