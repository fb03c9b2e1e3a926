//! Proportions with exact confidence intervals.

use statrs::distribution::{Beta, ContinuousCDF};

/// Confidence level of the intervals.
const CONFIDENCE: f64 = 0.95;

/// The number of rows that have a property, out of all rows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Proportion {
    /// Number of rows that have the property.
    pub(super) matching: usize,
    /// Number of all rows.
    pub(super) total: usize,
}

/// A confidence interval of a share between 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Interval {
    pub(super) lower: f64,
    pub(super) upper: f64,
}

impl Proportion {
    /// Counts the rows that have a property.
    pub(super) fn of<'a, Row: 'a>(
        rows: impl Iterator<Item = &'a Row>,
        property: impl Fn(&Row) -> bool,
    ) -> Proportion {
        let mut proportion = Proportion::default();
        for row in rows {
            proportion.add(property(row));
        }
        proportion
    }

    /// Counts one more row.
    pub(super) fn add(&mut self, has_property: bool) {
        self.matching += usize::from(has_property);
        self.total += 1;
    }

    /// Returns the proportion as a number from 0 to 1, or 0 if there are no rows.
    pub(super) fn share(self) -> f64 {
        self.matching as f64 / self.total.max(1) as f64
    }

    /// Returns the exact (Clopper-Pearson) confidence interval of the proportion.
    pub(super) fn interval(self) -> Interval {
        let tail = (1.0 - CONFIDENCE) / 2.0;
        let matching = self.matching as f64;
        let total = self.total as f64;
        let lower = if self.matching == 0 {
            0.0
        } else {
            beta_quantile(matching, total - matching + 1.0, tail)
        };
        let upper = if self.matching >= self.total {
            1.0
        } else {
            beta_quantile(matching + 1.0, total - matching, 1.0 - tail)
        };
        Interval { lower, upper }
    }
}

fn beta_quantile(alpha: f64, beta: f64, probability: f64) -> f64 {
    Beta::new(alpha, beta).map_or(f64::NAN, |distribution| {
        distribution.inverse_cdf(probability)
    })
}
