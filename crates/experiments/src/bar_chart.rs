//! Charts of an experiment as SVG files: bars in groups, a colour for each series.

use std::io;
use std::path::Path;

use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

use crate::error::ExperimentError;

/// Width and height in pixels.
const SIZE: (u32, u32) = (760, 380);
/// Part of a group's width that its bars take.
const GROUP_FILL: f64 = 0.8;
/// Part of a group's width on each side of its bars.
const GROUP_MARGIN: f64 = 0.1;
/// Part of a bar's width that is drawn; the rest keeps it apart from the next.
const BAR_FILL: f64 = 0.94;
/// Side of a colour's square in the legend, in pixels.
const LEGEND_SIDE: i32 = 10;

type DrawingError = DrawingAreaErrorKind<io::Error>;
type Axes<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// One series of bars.
pub struct Series<'a> {
    /// Its name in the legend.
    pub name: &'a str,
    /// A bar's height for each group; what is not finite is left out.
    pub values: Vec<f64>,
}

/// A chart of bars in groups, from 0 to `maximum`.
pub struct BarChart<'a> {
    /// Its title.
    pub title: &'a str,
    /// The groups' names.
    pub groups: &'a [&'a str],
    /// The series, each with a bar in each group.
    pub series: &'a [Series<'a>],
    /// Upper end of the scale; higher bars are cut off there.
    pub maximum: f64,
}

impl BarChart<'_> {
    /// Draws it, in place of any file of this name.
    ///
    /// # Errors
    ///
    /// Where the file cannot be written.
    pub fn write(&self, path: &Path) -> Result<(), ExperimentError> {
        self.draw(path).map_err(|source| ExperimentError::Chart {
            path: path.to_path_buf(),
            source,
        })
    }

    fn draw(&self, path: &Path) -> Result<(), DrawingError> {
        let root = SVGBackend::new(path, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let mut axes = ChartBuilder::on(&root)
            .caption(self.title, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(34)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..self.groups.len() as f64, 0.0..self.maximum)?;
        axes.configure_mesh()
            .disable_x_mesh()
            // Twice as many labels as groups, so that one falls on the middle of each.
            .x_labels(2 * self.groups.len() + 1)
            .x_label_formatter(&|x| self.group_label(*x))
            .draw()?;
        for (index, series) in self.series.iter().enumerate() {
            self.draw_series(&mut axes, index, series)?;
        }
        axes.configure_series_labels()
            .background_style(WHITE)
            .border_style(BLACK)
            .draw()?;
        root.present()
    }

    /// The name of the group whose middle is at `x`; nothing elsewhere.
    fn group_label(&self, x: f64) -> String {
        const ROUNDING: f64 = 1e-6;
        let at_middle = (x - 0.5).fract().abs() < ROUNDING;
        match self.groups.get(x as usize) {
            Some(name) if at_middle => (*name).to_string(),
            _ => String::new(),
        }
    }

    fn draw_series(
        &self,
        axes: &mut Axes<'_, '_>,
        index: usize,
        series: &Series<'_>,
    ) -> Result<(), DrawingError> {
        let colour = Palette99::pick(index).to_rgba();
        let width = GROUP_FILL / self.series.len() as f64;
        let bars = series
            .values
            .iter()
            .enumerate()
            .filter(|(_, value)| value.is_finite())
            .map(|(group, value)| {
                let left = group as f64 + GROUP_MARGIN + width * index as f64;
                let right = left + BAR_FILL * width;
                Rectangle::new(
                    [(left, 0.0), (right, value.min(self.maximum))],
                    colour.filled(),
                )
            });
        axes.draw_series(bars)?
            .label(series.name)
            .legend(move |(x, y)| {
                let half = LEGEND_SIDE / 2;
                Rectangle::new(
                    [(x, y - half), (x + LEGEND_SIDE, y + half)],
                    colour.filled(),
                )
            });
        Ok(())
    }
}
