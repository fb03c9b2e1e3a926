//! Parsing and encoding of the statements of clients.

use std::time::Duration;

use tidescale_proxy::postgres::{self, StatementWriter};
use tidescale_proxy::statement_buffers::StatementBuffers;

use crate::limited_writer::LimitedWriter;
use crate::message_chain::{MESSAGE_HEADER_BYTES, chain_of};

/// A valid statement that reads a fact.
pub const SELECT: &str = "SELECT data FROM facts WHERE code = '7f3a' /* id=9b1f,c=basket,d=480 */";
/// A valid statement that writes a fact.
const INSERT: &str = "INSERT INTO facts (code, data) VALUES ('7f3a', '\\x9f03') RETURNING data \
     /* id=9b1f,c=order,d=480,k=5c0f,r=1 */";

#[test]
fn encoding_a_parsed_statement_replaces_its_time_limit_and_nothing_else() {
    for (statement, route) in [(SELECT, "basket"), (INSERT, "order")] {
        let parsed = postgres::parse_statement(statement).unwrap();
        let chain = chain_of(statement.as_bytes());
        let remaining = Duration::from_millis(77);
        let mut writer = StatementWriter::new(&chain, parsed.time_limit_range.clone(), remaining);
        let mut message = Vec::new();
        writer.write_to(&chain, &mut message).unwrap();
        assert!(writer.is_finished());

        assert_eq!(parsed.route, route);
        assert_eq!(parsed.code, "7f3a");
        assert_eq!(parsed.time_limit, Duration::from_millis(480));
        assert_eq!(
            postgres::decode_query(&message[MESSAGE_HEADER_BYTES..]).unwrap(),
            statement.replace("d=480", "d=77")
        );
    }
}

#[test]
fn large_statement_written_in_parts_is_the_same_message_as_in_one() {
    let statement = INSERT.replace("9f03", &"ab".repeat(65_536));
    let parsed = postgres::parse_statement(&statement).unwrap();
    let buffers = StatementBuffers::new(1 << 20, 0);
    let stored = buffers.store(&statement).unwrap();
    let expected = statement.replace("d=480", "d=1234");
    for part_bytes in [1, 4999, 1 << 17] {
        let time_limit = Duration::from_millis(1234);
        let mut writer = StatementWriter::new(&stored, parsed.time_limit_range.clone(), time_limit);
        let mut to = LimitedWriter {
            written: Vec::new(),
            capacity: 0,
        };

        while !writer.is_finished() {
            to.capacity += part_bytes;
            writer.write_to(&stored, &mut to).unwrap();
        }

        let (header, body) = to.written.split_at(MESSAGE_HEADER_BYTES);
        assert_eq!(header[0], b'Q');
        assert_eq!(header[1..], (body.len() as u32 + 4).to_be_bytes());
        assert_eq!(postgres::decode_query(body).unwrap(), expected);
    }
}

const INVALID_STATEMENTS: [&str; 20] = [
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
    "INSERT INTO facts (code, data) VALUES ('7f3a', 'plain') RETURNING data \
     /* id=9b1f,c=order,d=480 */",
    "INSERT INTO facts (code, data) VALUES ('7f3a', '\\xzz') RETURNING data \
     /* id=9b1f,c=order,d=480 */",
    "INSERT INTO facts (code, data) VALUES ('7f3a', '\\x9f0') RETURNING data \
     /* id=9b1f,c=order,d=480 */",
    "SELECT data FROM facts WHERE code = '7f3a' /* id=9b1f,c=basket,d=+480 */",
    "SELECT data FROM facts WHERE code = '7f3a' /* id=9b1f,c=basket,d=99999999999999999999 */",
    "SELECT data FROM facts WHERE code = '7f3a' /* id=9b1f,c=basket,d=999999999999 */",
    "SELECT data FROM facts WHERE code = '7f3a' /* id=,c=basket,d=480 */",
    "DELETE FROM facts WHERE code = '7f3a' /* id=9b1f,c=basket,d=480 */",
];

#[test]
fn parsing_rejects_all_but_valid_select_and_insert_statements() {
    for statement in INVALID_STATEMENTS {
        assert!(postgres::parse_statement(statement).is_err(), "{statement}");
    }
}
