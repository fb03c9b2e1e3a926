//! A slog drain that captures log lines for comparison.

use std::fmt::Arguments;
use std::sync::{Arc, Mutex};

use slog::{Drain, KV, Level, Logger, Never, OwnedKVList, Record, Serializer, o};

#[derive(Debug, PartialEq, Eq)]
pub struct Line {
    pub level: Level,
    /// The message and the key-value pairs, in source order and separated by `, `.
    pub text: String,
}

/// Stores log lines instead of printing them.
#[derive(Clone, Default)]
struct CapturingDrain(Arc<Mutex<Vec<Line>>>);

impl Drain for CapturingDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record, _: &OwnedKVList) -> Result<(), Never> {
        let mut pairs = KeyValuePairs::default();
        record.kv().serialize(record, &mut pairs).unwrap();
        let mut text = record.msg().to_string();
        // slog passes the pairs in reverse order. The log prints them in that order.
        for (key, value) in pairs.0.iter().rev() {
            text += &format!(", {key}: {value}");
        }
        self.0.lock().unwrap().push(Line {
            level: record.level(),
            text,
        });
        Ok(())
    }
}

/// Collects the key-value pairs of a record as text.
#[derive(Default)]
struct KeyValuePairs(Vec<(String, String)>);

impl Serializer for KeyValuePairs {
    fn emit_arguments(&mut self, key: slog::Key, value: &Arguments) -> slog::Result {
        self.0.push((key.to_string(), value.to_string()));
        Ok(())
    }
}

/// Returns the line that a function logs. Panics unless it logs exactly one.
pub fn capture(log_line: impl FnOnce(&Logger)) -> Line {
    let drain = CapturingDrain::default();
    log_line(&Logger::root(drain.clone(), o!()));
    let mut lines = drain.0.lock().unwrap();
    assert_eq!(lines.len(), 1);
    lines.pop().unwrap()
}

/// Formats a line as the log prints it: a fixed time, the level INFO, the message, and the pairs in
/// reverse order.
pub fn printed_line(line: &Line) -> String {
    let mut parts: Vec<&str> = line.text.split(", ").collect();
    let message = parts.remove(0);
    parts.reverse();
    format!("Dec 01 19:12:52.618 INFO {message}, {}", parts.join(", "))
}
