//! Writes the results of the runs as a Parquet file, as Markdown tables and as charts.

use std::fs;
use std::path::Path;

use super::run::RunRow;
use super::scenario::{RestartKind, Scenario};
use super::snapshot_cost::SnapshotCost;
use super::window::Window;
use crate::bar_chart::{BarChart, Series};
use crate::error::ExperimentError;
use crate::parquet_table::{self, Column};

/// Values below this are printed with three decimals, others without.
const THREE_DECIMALS_BELOW: f64 = 10.0;

const COST_TABLE_HEAD: &str = "\n| endpoints | bytes | encode ms | decode ms | start-up with ms | start-up without ms | longest slice us | longest iteration us with | without |\n| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n";

/// A measured value of a run, which has a line in the table of medians.
struct Metric {
    name: &'static str,
    value: fn(&RunRow) -> f64,
}

const METRICS: [Metric; 10] = [
    Metric {
        name: "within objective, 1 s",
        value: |row| row.within_objective[Window::OneSecond],
    },
    Metric {
        name: "within objective, 3 s",
        value: |row| row.within_objective[Window::ThreeSeconds],
    },
    Metric {
        name: "within objective, 10 s",
        value: |row| row.within_objective[Window::TenSeconds],
    },
    Metric {
        name: "attempts at the slow endpoint",
        value: |row| row.attempts_at_slow,
    },
    Metric {
        name: "attempts at the unresponsive one",
        value: |row| row.attempts_at_unresponsive,
    },
    Metric {
        name: "attempts at the draining one",
        value: |row| row.attempts_at_draining,
    },
    Metric {
        name: "attempts at the build under evaluation",
        value: |row| row.attempts_at_candidate,
    },
    Metric {
        name: "ms until the rollback vote",
        value: |row| row.rollback_vote_ms,
    },
    Metric {
        name: "share of the once slow endpoint, last 5 s",
        value: |row| row.slow_endpoint_share,
    },
    Metric {
        name: "ms until it listens",
        value: |row| row.start_up_ms,
    },
];

/// The results of all runs and measurements.
pub(super) struct Report<'a> {
    pub(super) rows: &'a [RunRow],
    pub(super) costs: &'a [SnapshotCost],
}

impl Report<'_> {
    /// Prints the tables, and writes tables, Parquet file and charts into a directory.
    pub(super) fn write(&self, out: &Path) -> Result<(), ExperimentError> {
        self.write_rows(&out.join("rows.parquet"))?;
        let text = self.metric_table() + &self.cost_table();
        let tables = out.join("tables.md");
        fs::write(&tables, &text).map_err(ExperimentError::at(&tables))?;
        print!("{text}");
        self.write_answers_chart(&out.join("within.svg"))?;
        self.write_votes_chart(&out.join("found.svg"))
    }

    /// Returns the median of a metric over the runs of a scenario in which it is finite, or NaN if
    /// there are none.
    pub(super) fn median_of(
        &self,
        scenario: Scenario,
        kind: RestartKind,
        metric: impl Fn(&RunRow) -> f64,
    ) -> f64 {
        let mut values: Vec<f64> = self
            .rows
            .iter()
            .filter(|row| row.scenario == scenario && row.kind == kind)
            .map(metric)
            .filter(|value| value.is_finite())
            .collect();
        values.sort_unstable_by(f64::total_cmp);
        values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
    }

    fn write_rows(&self, path: &Path) -> Result<(), ExperimentError> {
        let rows = self.rows;
        let columns = [
            Column::text("scenario", rows, |row| row.scenario.name()),
            Column::numbers("seed", rows, |row| row.seed as f64),
            Column::numbers("with_snapshot", rows, |row| {
                f64::from(row.kind == RestartKind::WithSnapshot)
            }),
            Column::numbers("within_1s", rows, |row| {
                row.within_objective[Window::OneSecond]
            }),
            Column::numbers("within_3s", rows, |row| {
                row.within_objective[Window::ThreeSeconds]
            }),
            Column::numbers("within_10s", rows, |row| {
                row.within_objective[Window::TenSeconds]
            }),
            Column::numbers("attempts_slow", rows, |row| row.attempts_at_slow),
            Column::numbers("attempts_unresponsive", rows, |row| {
                row.attempts_at_unresponsive
            }),
            Column::numbers("attempts_draining", rows, |row| row.attempts_at_draining),
            Column::numbers("attempts_candidate", rows, |row| row.attempts_at_candidate),
            Column::numbers("rollback_vote_ms", rows, |row| row.rollback_vote_ms),
            Column::numbers("slow_endpoint_share", rows, |row| row.slow_endpoint_share),
            Column::numbers("start_up_ms", rows, |row| row.start_up_ms),
        ];
        parquet_table::write(path, &columns)
    }

    /// Formats a table with a line for each metric: its medians by scenario, without and with a
    /// snapshot.
    fn metric_table(&self) -> String {
        let headings: Vec<String> = Scenario::ALL
            .iter()
            .map(|scenario| format!("{0}, without | {0}, with |", scenario.name()))
            .collect();
        let mut text = format!("| medians | {}\n", headings.join(" "));
        text += &format!("| --- |{}\n", " ---: |".repeat(2 * Scenario::ALL.len()));
        for metric in &METRICS {
            text += &format!("| {} |", metric.name);
            for scenario in Scenario::ALL {
                for kind in RestartKind::ALL {
                    let median = self.median_of(scenario, kind, metric.value);
                    text += &table_cell(median);
                }
            }
            text.push('\n');
        }
        text
    }

    fn cost_table(&self) -> String {
        let mut text = COST_TABLE_HEAD.to_string();
        for cost in self.costs {
            text += &format!(
                "| {} | {:.0} | {:.2} | {:.2} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} |\n",
                cost.endpoints,
                cost.bytes,
                cost.encode_ms,
                cost.decode_ms,
                cost.start_up_with_ms,
                cost.start_up_without_ms,
                cost.longest_slice_us,
                cost.longest_iteration_with_us,
                cost.longest_iteration_without_us
            );
        }
        text
    }

    /// Writes the chart of the shares of answers within the objective, by scenario and window.
    fn write_answers_chart(&self, path: &Path) -> Result<(), ExperimentError> {
        let medians = |kind| {
            let mut values = Vec::new();
            for scenario in Scenario::ALL {
                for window in Window::ALL {
                    values.push(self.median_of(scenario, kind, |row| row.within_objective[window]));
                }
            }
            values
        };
        let chart = BarChart {
            title: "Requests within their objective after a restart",
            groups: &[
                "trouble 1 s",
                "3 s",
                "10 s",
                "healed 1 s",
                "3 s",
                "10 s",
                "bad build 1 s",
                "3 s",
                "10 s",
            ],
            series: &series_by_kind(medians),
            maximum: 1.05,
        };
        chart.write(path)
    }

    /// Writes the chart of the times from the restart to the first rollback vote.
    fn write_votes_chart(&self, path: &Path) -> Result<(), ExperimentError> {
        let median = |kind| self.median_of(Scenario::BadBuild, kind, |row| row.rollback_vote_ms);
        let chart = BarChart {
            title: "ms until the rollback vote on a bad build that was known",
            groups: &["bad build"],
            series: &series_by_kind(|kind| vec![median(kind)]),
            maximum: median(RestartKind::WithoutSnapshot).max(median(RestartKind::WithSnapshot))
                * 1.2,
        };
        chart.write(path)
    }
}

/// Returns the two series of a chart, without and with a snapshot.
fn series_by_kind(values: impl Fn(RestartKind) -> Vec<f64>) -> [Series<'static>; 2] {
    [
        Series {
            name: "without snapshot",
            values: values(RestartKind::WithoutSnapshot),
        },
        Series {
            name: "with snapshot",
            values: values(RestartKind::WithSnapshot),
        },
    ]
}

fn table_cell(value: f64) -> String {
    if !value.is_finite() {
        return " - |".to_string();
    }
    let decimals = if value < THREE_DECIMALS_BELOW { 3 } else { 0 };
    format!(" {value:.decimals$} |")
}
