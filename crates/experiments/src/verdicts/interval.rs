//! Shares of trials, with exact confidence intervals.

use statrs::distribution::{Beta, ContinuousCDF};

/// Confidence of the intervals.
const CONFIDENCE: f64 = 0.95;

/// So many of so many.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Proportion {
    /// How many have the property.
    pub(super) hits: usize,
    /// How many there are.
    pub(super) total: usize,
}

/// Both ends of an interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Interval {
    /// Lower end.
    pub(super) least: f64,
    /// Upper end.
    pub(super) most: f64,
}

impl Proportion {
    /// How many of these rows have a property.
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

    /// Counts one more.
    pub(super) fn add(&mut self, hit: bool) {
        self.hits += usize::from(hit);
        self.total += 1;
    }

    /// The share; 0 of none.
    pub(super) fn share(self) -> f64 {
        self.hits as f64 / self.total.max(1) as f64
    }

    /// The exact interval of the share, after Clopper and Pearson.
    pub(super) fn interval(self) -> Interval {
        let tail = (1.0 - CONFIDENCE) / 2.0;
        let hits = self.hits as f64;
        let total = self.total as f64;
        let least = if self.hits == 0 {
            0.0
        } else {
            beta_quantile(hits, total - hits + 1.0, tail)
        };
        let most = if self.hits >= self.total {
            1.0
        } else {
            beta_quantile(hits + 1.0, total - hits, 1.0 - tail)
        };
        Interval { least, most }
    }
}

fn beta_quantile(a: f64, b: f64, probability: f64) -> f64 {
    Beta::new(a, b).map_or(f64::NAN, |beta| beta.inverse_cdf(probability))
}
