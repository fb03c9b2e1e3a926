//! Charts of the trial results.

use std::ops::Range;
use std::path::Path;

use super::trials::TrialRow;
use crate::bar_chart::{BarChart, Series};
use crate::error::ExperimentError;

/// A group of builds whose harm, a share of the served weight, lies within a range.
struct HarmGroup {
    name: &'static str,
    harm: Range<f64>,
}

/// The groups of the operating characteristic, besides the good builds.
const HARM_GROUPS: [HarmGroup; 7] = [
    HarmGroup {
        name: "under 1%",
        harm: 0.0..0.01,
    },
    HarmGroup {
        name: "1 to 3%",
        harm: 0.01..0.03,
    },
    HarmGroup {
        name: "3 to 6%",
        harm: 0.03..0.06,
    },
    HarmGroup {
        name: "6 to 10%",
        harm: 0.06..0.1,
    },
    HarmGroup {
        name: "10 to 20%",
        harm: 0.1..0.2,
    },
    HarmGroup {
        name: "20 to 40%",
        harm: 0.2..0.4,
    },
    HarmGroup {
        name: "over 40%",
        harm: 0.4..1.01,
    },
];

/// Number of bars in the chart of times; later rollbacks are not shown.
const TIME_BAR_COUNT: usize = 8;
/// Width of a bar in seconds, which is the length of one stage of the rollout.
const SECONDS_PER_BAR: usize = 4;

/// Writes the operating characteristic: the share of builds that are rolled back, by their harm.
pub(super) fn write_operating_curve(path: &Path, rows: &[TrialRow]) -> Result<(), ExperimentError> {
    let mut names = vec!["good"];
    let mut shares = vec![rolled_back_share(rows, TrialRow::is_good)];
    for group in &HARM_GROUPS {
        names.push(group.name);
        shares.push(rolled_back_share(rows, |row| {
            !row.is_good() && group.harm.contains(&row.harm)
        }));
    }
    let chart = BarChart {
        title: "Builds rolled back, by the harm they do",
        groups: &names,
        series: &[Series {
            name: "rolled back",
            values: shares,
        }],
        maximum: 1.05,
    };
    chart.write(path)
}

/// Writes the histogram of the seconds from the offer of a harmful build to its rollback.
pub(super) fn write_times(path: &Path, times: &[f64]) -> Result<(), ExperimentError> {
    let names: Vec<String> = (0..TIME_BAR_COUNT)
        .map(|bar| format!("{} s", SECONDS_PER_BAR * bar))
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let bar_of = |time: f64| (time / SECONDS_PER_BAR as f64) as usize;
    let counts: Vec<f64> = (0..TIME_BAR_COUNT)
        .map(|bar| times.iter().filter(|time| bar_of(**time) == bar).count() as f64)
        .collect();
    let highest = counts.iter().copied().fold(1.0, f64::max);
    let chart = BarChart {
        title: "Time to the rollback of harmful builds",
        groups: &names,
        series: &[Series {
            name: "trials",
            values: counts,
        }],
        maximum: highest * 1.1,
    };
    chart.write(path)
}

/// Returns the share of the builds in a group that are rolled back, or NaN if the group is empty.
fn rolled_back_share(rows: &[TrialRow], in_group: impl Fn(&TrialRow) -> bool) -> f64 {
    let mut total = 0_usize;
    let mut rolled_back = 0_usize;
    for row in rows.iter().filter(|row| in_group(row)) {
        total += 1;
        rolled_back += usize::from(row.was_rolled_back());
    }
    rolled_back as f64 / total as f64
}
