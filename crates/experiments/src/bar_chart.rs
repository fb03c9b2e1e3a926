//! Grouped bar charts as SVG files, with one colour per series.

use std::io;
use std::path::Path;

use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;
use plotters::style::RGBAColor;

use crate::error::ExperimentError;

/// Width and height of a chart in pixels.
const IMAGE_SIZE: (u32, u32) = (760, 380);
/// Share of a group's width that its bars cover.
const GROUP_FILL: f64 = 0.8;
/// Share of a group's width on each side of its bars.
const GROUP_MARGIN: f64 = 0.1;
/// Share of a bar's width that is drawn; the rest separates it from the next bar.
const BAR_FILL: f64 = 0.94;
/// Side length of the coloured squares in the legend, in pixels.
const LEGEND_MARKER_SIZE: i32 = 10;

type DrawingError = DrawingAreaErrorKind<io::Error>;
type Axes<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// A series, which has one bar in each group of a chart.
pub struct Series<'a> {
    /// Name in the legend.
    pub name: &'a str,
    /// Height of the bar in each group; no bar is drawn for a value that is not finite.
    pub values: Vec<f64>,
}

/// A grouped bar chart with a vertical axis from 0 to `maximum`.
pub struct BarChart<'a> {
    /// Title above the chart.
    pub title: &'a str,
    /// Names of the groups, from left to right.
    pub groups: &'a [&'a str],
    /// The series, in the order of their bars within a group.
    pub series: &'a [Series<'a>],
    /// Upper end of the vertical axis; higher bars are cut off.
    pub maximum: f64,
}

/// How the bars of one series are drawn.
#[derive(Clone, Copy)]
struct BarStyle {
    colour: RGBAColor,
    /// Distance from the left edge of the group's first bar, as a share of the group's width.
    offset: f64,
    /// Distance between the left edges of adjacent bars, as a share of the group's width.
    width: f64,
}

impl BarChart<'_> {
    /// Writes the chart to a file, and replaces an existing one.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write(&self, path: &Path) -> Result<(), ExperimentError> {
        self.draw(path).map_err(|source| ExperimentError::Chart {
            path: path.to_path_buf(),
            source,
        })
    }

    fn draw(&self, path: &Path) -> Result<(), DrawingError> {
        let root = SVGBackend::new(path, IMAGE_SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let mut axes = ChartBuilder::on(&root)
            .caption(self.title, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(34)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..self.groups.len() as f64, 0.0..self.maximum)?;
        axes.configure_mesh()
            .disable_x_mesh()
            // Labels at every half unit, so that one is in the middle of each group.
            .x_labels(2 * self.groups.len() + 1)
            .x_label_formatter(&|x| self.group_label(*x))
            .draw()?;
        let width = GROUP_FILL / self.series.len() as f64;
        for (index, series) in self.series.iter().enumerate() {
            let bars = BarStyle {
                colour: Palette99::pick(index).to_rgba(),
                offset: width * index as f64,
                width,
            };
            self.draw_series(&mut axes, series, bars)?;
        }
        axes.configure_series_labels()
            .background_style(WHITE)
            .border_style(BLACK)
            .draw()?;
        root.present()
    }

    /// Returns the name of the group whose middle is at `x`, or an empty string elsewhere.
    fn group_label(&self, x: f64) -> String {
        const POSITION_TOLERANCE: f64 = 1e-6;
        let at_middle = (x - 0.5).fract().abs() < POSITION_TOLERANCE;
        match self.groups.get(x as usize) {
            Some(name) if at_middle => (*name).to_string(),
            _ => String::new(),
        }
    }

    fn draw_series(
        &self,
        axes: &mut Axes<'_, '_>,
        series: &Series<'_>,
        style: BarStyle,
    ) -> Result<(), DrawingError> {
        let BarStyle {
            colour,
            offset,
            width,
        } = style;
        let bars = series
            .values
            .iter()
            .enumerate()
            .filter(|(_, value)| value.is_finite())
            .map(|(group, value)| {
                let left = group as f64 + GROUP_MARGIN + offset;
                let right = left + BAR_FILL * width;
                Rectangle::new(
                    [(left, 0.0), (right, value.min(self.maximum))],
                    colour.filled(),
                )
            });
        axes.draw_series(bars)?
            .label(series.name)
            .legend(move |(x, y)| {
                let half_size = LEGEND_MARKER_SIZE / 2;
                Rectangle::new(
                    [(x, y - half_size), (x + LEGEND_MARKER_SIZE, y + half_size)],
                    colour.filled(),
                )
            });
        Ok(())
    }
}
