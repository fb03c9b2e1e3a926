//! The command line beside serving: looks at what a front keeps.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::{Args, Parser, Subcommand};
use comfy_table::{Table, presets};
use serde_json::json;
use tidescale_snapshot::disk::Folder;
use tidescale_snapshot::expiry::{self, Listed};
use tidescale_snapshot::format::{self, Image};
use tidescale_snapshot::store;

use crate::{explain, snapshot_writer};

/// A front tier that watches over software updates.
#[derive(Parser)]
#[command(name = "tidescale", version, max_term_width = 100)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Subcommand)]
pub enum Command {
    /// Serve; the same as no command at all.
    Run(Run),
    /// Look at, check or clear what a front has learned and keeps.
    #[command(subcommand)]
    Memory(Memory),
    /// The verdicts in a front's log as a table; exit code 1 where there are none.
    Explain {
        /// The log; standard input where none is named.
        log: Option<PathBuf>,
    },
}

#[derive(Args, Default)]
pub struct Run {
    /// The operators' file; without one nothing in it is on.
    #[arg(long, value_name = "FILE")]
    pub operators: Option<PathBuf>,
}

#[derive(Subcommand)]
pub enum Memory {
    /// Each fact with its age and what it would count for now.
    Show {
        path: PathBuf,
        /// One JSON document in place of a table.
        #[arg(long)]
        json: bool,
    },
    /// Exit code 0 where a state is whole and nothing else lies beside it, 1 otherwise.
    Check { path: PathBuf },
    /// Remove what is kept; a front that holds the folder has to stop first.
    Clear { path: PathBuf },
}

fn now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64)
}

/// The newest whole state at a file or in a folder, and what is not whole.
fn look(path: &Path) -> Result<(Option<Image>, Vec<String>), String> {
    if path.is_dir() {
        let opened = store::look(&mut Folder::look(path));
        return Ok((opened.image, opened.notes));
    }
    let file = std::fs::File::open(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let mut bytes = Vec::new();
    std::io::Read::read_to_end(
        &mut std::io::Read::take(file, (format::MOST_BYTES + 4096) as u64),
        &mut bytes,
    )
    .map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(match format::decode(&bytes) {
        Ok(image) => (Some(image), Vec::new()),
        Err(unfit) => (None, vec![format!("{}: {unfit}", path.display())]),
    })
}

fn age_text(seen: u64, now: u64) -> String {
    match expiry::age(seen, now) {
        Some(age) => humantime::format_duration(Duration::from_secs(age / 1_000_000)).to_string(),
        None => "in the future".into(),
    }
}

fn show(path: &Path, as_json: bool) -> Result<bool, String> {
    let (image, notes) = look(path)?;
    notes.iter().for_each(|note| eprintln!("tidescale: {note}"));
    let Some(image) = image else {
        return Err(format!("{}: no whole state", path.display()));
    };
    let (now, listed) = (now(), snapshot_writer::processes(&image));
    let weight = |f| {
        if snapshot_writer::stands(f, &listed) == Some(Listed::Other) {
            0.0
        } else {
            expiry::weight(f, now)
        }
    };
    if as_json {
        let facts: Vec<_> = image
            .facts
            .iter()
            .map(|f| json!({"fact": f, "weight": weight(f)}))
            .collect();
        let all = json!({"sequence": image.sequence, "written": image.written,
            "unknown_records": image.unknown, "facts": facts});
        println!("{all}");
    } else {
        let mut table = Table::new();
        table
            .load_style(presets::NOTHING)
            .set_header(["fact", "of", "age", "weight"]);
        for f in &image.facts {
            let (kind, of) = f.subject();
            table.add_row([
                kind.into(),
                of,
                age_text(f.seen(), now),
                format!("{:.2}", weight(f)),
            ]);
        }
        println!("{table}");
        let (number, written) = (image.sequence, age_text(image.written, now));
        println!(
            "state {number}, written {written} ago, {} facts",
            image.facts.len()
        );
    }
    Ok(notes.is_empty())
}

fn check(path: &Path) -> Result<bool, String> {
    let (image, notes) = look(path)?;
    notes.iter().for_each(|note| println!("{note}"));
    match &image {
        Some(image) => println!(
            "state {} is whole, {} facts",
            image.sequence,
            image.facts.len()
        ),
        None => println!("no whole state"),
    }
    Ok(image.is_some() && notes.is_empty())
}

fn clear(path: &Path) -> Result<bool, String> {
    let fault = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    if !path.is_dir() {
        return Err(fault(&"not a folder"));
    }
    let mut folder = Folder::hold(path).map_err(|e| fault(&e))?;
    let removed = store::clear(&mut folder).map_err(|e| fault(&e))?;
    println!("{removed} files removed");
    Ok(true)
}

pub fn explain(log: Option<&Path>) -> Result<ExitCode, String> {
    let text = match log {
        Some(path) => std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?,
        None => {
            let mut text = Vec::new();
            std::io::Read::read_to_end(&mut std::io::stdin(), &mut text)
                .map_err(|e| e.to_string())?;
            text
        }
    };
    Ok(match explain::table(&String::from_utf8_lossy(&text)) {
        Some(table) => {
            println!("{table}");
            ExitCode::SUCCESS
        }
        None => {
            println!("no verdicts");
            ExitCode::FAILURE
        }
    })
}

pub fn memory(command: &Memory) -> Result<ExitCode, String> {
    let whole = match command {
        Memory::Show { path, json } => show(path, *json),
        Memory::Check { path } => check(path),
        Memory::Clear { path } => clear(path),
    }?;
    Ok(if whole {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
