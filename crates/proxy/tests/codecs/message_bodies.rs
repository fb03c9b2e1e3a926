//! Decoding and encoding of the bodies of PostgreSQL messages.

use tidescale_proxy::postgres::{
    self, EndpointMessage, ErrorFields, ErrorResponse, Frame, Severity, complete_frame, sqlstate,
};

use crate::message_chain::{MESSAGE_HEADER_BYTES, chain_of, encode};

#[test]
fn queries_other_than_one_terminated_text_are_rejected() {
    let cases: [(&str, &[u8]); 3] = [
        ("no terminator", b"SELECT 1"),
        ("two texts", b"a\0b\0"),
        ("not UTF-8", &[0xff, 0]),
    ];
    for (name, body) in cases {
        assert!(postgres::decode_query(body).is_err(), "{name}");
    }
}

#[test]
fn errors_without_code_or_terminator_are_rejected() {
    assert!(postgres::decode_error_response(b"MNo code\0\0").is_err());
    assert!(postgres::decode_error_response(b"C5330").is_err());
}

#[test]
fn parameters_without_terminator_are_rejected() {
    assert!(postgres::decode_parameter_status(b"vitals\0inflight=1").is_err());
}

#[test]
fn requests_for_a_password_are_rejected() {
    assert!(postgres::check_authentication(&[0, 0, 0, 3]).is_err());
}

#[test]
fn rows_other_than_one_value_are_rejected() {
    let cases: [(&str, &[u8]); 4] = [
        ("empty", &[]),
        ("two columns", &[0, 2, 0, 0, 0, 1, 9]),
        ("value shorter than its length", &[0, 1, 0, 0, 0, 2, 9]),
        ("null", &[0, 1, 0xff, 0xff, 0xff, 0xff]),
    ];
    for (name, body) in cases {
        assert!(postgres::decode_data_row(body).is_err(), "{name}");
    }

    assert_eq!(
        postgres::decode_data_row(&[0, 1, 0, 0, 0, 2, 9, 8]),
        Ok(&[9, 8][..])
    );
}

/// The body of a RowDescription of one column, `data`, of type `bytea` and in binary format.
const ROW_DESCRIPTION: [u8; 25] =
    *b"\0\x01data\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";

#[test]
fn row_descriptions_other_than_of_one_column_are_rejected() {
    assert!(postgres::check_row_description(&ROW_DESCRIPTION).is_ok());

    for length in 0..ROW_DESCRIPTION.len() {
        let truncated = &ROW_DESCRIPTION[..length];
        assert!(
            postgres::check_row_description(truncated).is_err(),
            "{length}"
        );
    }

    let corruptions = [
        ("two columns", 1, 2),
        ("no column", 1, 0),
        ("name without terminator", 6, b'x'),
        ("unknown format", 24, 7),
    ];
    for (name, offset, byte) in corruptions {
        let mut corrupt = ROW_DESCRIPTION;
        corrupt[offset] = byte;
        assert!(postgres::check_row_description(&corrupt).is_err(), "{name}");
    }
}

#[test]
fn command_complete_is_accepted_only_for_one_row() {
    let cases: [(&[u8], bool); 6] = [
        (b"SELECT 1\0", true),
        (b"INSERT 0 1\0", true),
        (b"SELECT 2\0", false),
        (b"SELECT 1", false),
        (b"SELECT 1\0\0", false),
        (b"\xff\xfe\0", false),
    ];
    for (body, is_accepted) in cases {
        let result = postgres::check_command_complete(body);
        assert_eq!(result.is_ok(), is_accepted, "{body:?}");
    }
}

#[test]
fn startup_message_has_user_or_is_rejected_as_malformed() {
    let cases: [(&[u8], Option<bool>); 6] = [
        (b"user\0portal\0database\0crm\0\0", Some(true)),
        (b"database\0crm\0\0", Some(false)),
        (b"\0", Some(false)),
        (b"user\0portal\0", None),
        (b"user\0portal\0\0more", None),
        (b"\xff\xff\xff\xff", None),
    ];
    for (body, has_user) in cases {
        assert_eq!(postgres::startup_has_user(body).ok(), has_user, "{body:?}");
    }
}

#[test]
fn encoded_error_is_decoded_with_its_code_message_and_detail() {
    let message = encode(|output| {
        let error = ErrorFields {
            severity: Severity::Error,
            code: sqlstate::TOO_MANY_CONNECTIONS,
            message: "try again",
            detail: "250",
        };
        postgres::put_error(output, error);
    });

    let frame = Frame {
        kind: EndpointMessage::Error,
        length: message.len(),
    };
    assert_eq!(complete_frame(&chain_of(&message)), Ok(Some(frame)));
    let expected = ErrorResponse {
        code: "53300".into(),
        message: "try again".into(),
    };
    assert_eq!(
        postgres::decode_error_response(&message[MESSAGE_HEADER_BYTES..]),
        Ok(expected)
    );
    let detail = b"\0D250\0";
    assert!(message.windows(detail.len()).any(|field| field == detail));
}
