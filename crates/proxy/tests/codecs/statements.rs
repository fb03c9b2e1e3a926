//! Parsing and encoding of the statements of clients.

use std::time::Duration;

use tidescale_proxy::postgres;

use crate::message_chain::{MESSAGE_HEADER_BYTES, chain_of, encode};

/// A valid statement that reads a fact.
pub const SELECT: &str = "SELECT data FROM facts WHERE code = '7f3a' /* id=9b1f,c=basket,d=480 */";
/// A valid statement that writes a fact.
const INSERT: &str = "INSERT INTO facts (code, data) VALUES ('7f3a', '\\x9f03') RETURNING data \
     /* id=9b1f,c=order,d=480,k=5c0f,r=1 */";

#[test]
fn encoding_a_parsed_statement_replaces_its_time_limit_and_nothing_else() {
    for (statement, route) in [(SELECT, "basket"), (INSERT, "order")] {
        let parsed = postgres::parse_statement(statement).unwrap();
        let message = encode(|output| {
            let chain = chain_of(statement.as_bytes());
            let remaining = Duration::from_millis(77);
            postgres::put_statement(output, &chain, &parsed.time_limit_range, remaining);
        });

        assert_eq!(parsed.route, route);
        assert_eq!(parsed.code, "7f3a");
        assert_eq!(parsed.time_limit, Duration::from_millis(480));
        assert_eq!(
            postgres::decode_query(&message[MESSAGE_HEADER_BYTES..]).unwrap(),
            statement.replace("d=480", "d=77")
        );
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
