//! The messages and keys of all log lines, which operators filter by, and the output of
//! `tidescale explain`.

mod capture;
mod cases;
mod explain;

use std::path::{Path, PathBuf};

use capture::{Line, capture};
use cases::all_cases;

/// The operators' documentation of the log lines.
const ON_CALL_PAGE: &str = include_str!("../../../../docs/on-call.md");
/// The source directory of the proxy. Only `log_lines.rs` in it may log at level info or above.
const SOURCE_DIRECTORY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/src");

#[test]
fn each_log_line_has_its_level_message_and_keys() {
    for case in all_cases() {
        let line = capture(case.log_line);

        let expected = Line {
            level: case.level,
            text: case.text.into(),
        };
        assert_eq!(line, expected);
    }
}

#[test]
fn each_function_that_logs_has_a_case_here() {
    let source = std::fs::read_to_string(format!("{SOURCE_DIRECTORY}/log_lines.rs")).unwrap();
    let is_logging = |line: &&str| {
        let call = line.trim_start();
        ["info!(", "warn!(", "error!("]
            .iter()
            .any(|call_start| call.starts_with(call_start))
    };

    assert_eq!(
        source.lines().filter(is_logging).count(),
        all_cases().count()
    );
}

/// All files in a directory and its subdirectories.
fn files_below(directory: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    let mut directories = vec![directory.to_path_buf()];
    while let Some(directory) = directories.pop() {
        for entry in std::fs::read_dir(directory).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                directories.push(path);
            } else {
                files.push(path);
            }
        }
    }
    files
}

#[test]
fn only_log_lines_rs_logs_at_info_or_above() {
    let mut files = files_below(Path::new(SOURCE_DIRECTORY));
    files.retain(|path| !path.ends_with("log_lines.rs"));

    for path in files {
        let source = std::fs::read_to_string(&path).unwrap();
        for call in ["info!(", "warn!(", "error!(", "crit!("] {
            assert!(!source.contains(call), "{}: {call}", path.display());
        }
    }
}

#[test]
fn each_log_line_is_in_the_on_call_page_with_its_keys() {
    for case in all_cases() {
        let mut parts = case.text.split(", ");
        let message = parts.next().unwrap();
        let row = ON_CALL_PAGE
            .lines()
            .find(|line| line.starts_with(&format!("| `{message}` |")))
            .unwrap_or_else(|| panic!("{message}: not in the table of log lines"));
        for (key, _) in parts.filter_map(|pair| pair.split_once(": ")) {
            assert!(row.contains(&format!("`{key}`")), "{message}: {key}");
        }
    }
}
