//! Formats the trial results as Markdown tables and writes them as a Parquet file.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use tidescale_policy::types::EvidenceTest;

use super::interval::Proportion;
use super::trials::TrialRow;
use crate::error::ExperimentError;
use crate::parquet_table::{self, Column};
use crate::units::seconds;

const TABLE_HEAD: &str = "| | trials | % | 95% interval |\n| --- | ---: | ---: | ---: |\n";

/// Formats the tables in Markdown. `times` are the seconds from the offer to the rollback of
/// harmful builds, in ascending order.
pub(super) fn tables(rows: &[TrialRow], times: &[f64]) -> String {
    let good: Vec<&TrialRow> = rows.iter().filter(|row| row.is_good()).collect();
    let harmful: Vec<&TrialRow> = rows.iter().filter(|row| row.is_harmful()).collect();
    let false_rollbacks = Proportion::of(good.iter().copied(), TrialRow::was_rolled_back);
    let missed = Proportion::of(harmful.iter().copied(), TrialRow::has_passed);
    let mut text = TABLE_HEAD.to_string();
    text += &table_line("good builds rolled back", false_rollbacks);
    text += &table_line("harmful builds passed", missed);
    for breakdown in breakdowns(&good, &harmful) {
        text += &breakdown.table();
    }
    text + &format!(
        "\nTime from the offer to the rollback of harmful builds: median {:.1} s, nine in ten within {:.1} s.\n",
        quantile(times, 0.5),
        quantile(times, 0.9)
    )
}

/// Writes a Parquet file with a row for each trial.
pub(super) fn write_rows(path: &Path, rows: &[TrialRow]) -> Result<(), ExperimentError> {
    let optional_seconds = |duration: Option<Duration>| duration.map_or(f64::NAN, seconds);
    let columns = [
        Column::text("build_behavior", rows, |row| row.build.name()),
        Column::text("confounder", rows, |row| row.confounder.name()),
        Column::numbers("seed", rows, |row| row.seed as f64),
        Column::numbers("harm", rows, |row| row.harm),
        Column::numbers("rolled_back_s", rows, |row| {
            optional_seconds(row.outcome.rolled_back_after)
        }),
        Column::numbers("released_s", rows, |row| {
            optional_seconds(row.outcome.released_after)
        }),
        Column::numbers("held_s", rows, |row| seconds(row.outcome.held_time)),
        Column::numbers("first_verdict_test", rows, |row| {
            row.outcome.first_verdict_test.map_or(f64::NAN, test_number)
        }),
        Column::numbers("served_share", rows, |row| row.served_share),
    ];
    parquet_table::write(path, &columns)
}

/// A table of the proportions of trials that have a property, by group.
struct Breakdown<'a> {
    title: &'static str,
    rows: &'a [&'a TrialRow],
    group: fn(&TrialRow) -> &'static str,
    property: fn(&TrialRow) -> bool,
}

impl Breakdown<'_> {
    /// Formats the title and a table with a line for each group that has trials.
    fn table(&self) -> String {
        let mut groups: BTreeMap<&str, Proportion> = BTreeMap::new();
        for row in self.rows {
            let proportion = groups.entry((self.group)(row)).or_default();
            proportion.add((self.property)(row));
        }
        let lines: String = groups
            .iter()
            .map(|(name, proportion)| table_line(name, *proportion))
            .collect();
        format!("\n{}\n\n{TABLE_HEAD}{lines}", self.title)
    }
}

/// Returns the breakdowns in the order in which they are printed.
fn breakdowns<'a>(good: &'a [&'a TrialRow], harmful: &'a [&'a TrialRow]) -> [Breakdown<'a>; 4] {
    [
        Breakdown {
            title: "Good builds rolled back, by confounder:",
            rows: good,
            group: |row| row.confounder.name(),
            property: TrialRow::was_rolled_back,
        },
        Breakdown {
            title: "Harmful builds passed, by confounder:",
            rows: harmful,
            group: |row| row.confounder.name(),
            property: TrialRow::has_passed,
        },
        Breakdown {
            title: "Harmful builds passed, by behavior:",
            rows: harmful,
            group: |row| row.build.name(),
            property: TrialRow::has_passed,
        },
        Breakdown {
            title: "Good builds rolled back, by the test of the first verdict:",
            rows: good,
            group: |row| test_name(row.outcome.first_verdict_test),
            property: TrialRow::was_rolled_back,
        },
    ]
}

fn table_line(name: &str, proportion: Proportion) -> String {
    let interval = proportion.interval();
    format!(
        "| {name} | {} of {} | {:.1} | {:.1} to {:.1} |\n",
        proportion.matching,
        proportion.total,
        100.0 * proportion.share(),
        100.0 * interval.lower,
        100.0 * interval.upper
    )
}

fn test_name(test: Option<EvidenceTest>) -> &'static str {
    match test {
        Some(EvidenceTest::Failures) => "failures",
        Some(EvidenceTest::Slowness) => "slowness",
        Some(EvidenceTest::Errors) => "errors",
        Some(EvidenceTest::FleetSlowdown) => "whole fleet",
        None => "none",
    }
}

/// Returns the number that stands for a test in the Parquet file.
fn test_number(test: EvidenceTest) -> f64 {
    match test {
        EvidenceTest::Failures => 0.0,
        EvidenceTest::Slowness => 1.0,
        EvidenceTest::Errors => 2.0,
        EvidenceTest::FleetSlowdown => 3.0,
    }
}

/// Returns the value below which this share of the sorted values lies, or NaN if there are none.
fn quantile(sorted: &[f64], share: f64) -> f64 {
    let index = (share * sorted.len() as f64) as usize;
    sorted.get(index).copied().unwrap_or(f64::NAN)
}
