//! Rows as Parquet and charts as SVG.

use std::fs::File;
use std::path::Path;
use std::sync::Arc;

use parquet::data_type::{ByteArray, ByteArrayType, DoubleType};
use parquet::file::properties::WriterProperties;
use parquet::file::writer::SerializedFileWriter;
use parquet::schema::parser::parse_message_type;
use plotters::prelude::*;

pub type Fault = String;

/// A column of words or of numbers; a figure that a row does not have is NaN.
pub enum Column<'a> {
    Words(&'a str, Vec<String>),
    Numbers(&'a str, Vec<f64>),
}

pub fn write(path: &Path, columns: &[Column]) -> Result<(), Fault> {
    let fault = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let field = |c: &Column| match c {
        Column::Words(name, _) => format!("required binary {name} (UTF8);"),
        Column::Numbers(name, _) => format!("required double {name};"),
    };
    let schema = format!(
        "message rows {{ {} }}",
        columns.iter().map(field).collect::<String>()
    );
    let schema = parse_message_type(&schema).map_err(|e| fault(&e))?;
    let file = File::create(path).map_err(|e| fault(&e))?;
    let properties = Arc::new(WriterProperties::builder().build());
    let mut writer =
        SerializedFileWriter::new(file, Arc::new(schema), properties).map_err(|e| fault(&e))?;
    let mut group = writer.next_row_group().map_err(|e| fault(&e))?;
    for column in columns {
        let mut to = group
            .next_column()
            .map_err(|e| fault(&e))?
            .ok_or("a column too many")?;
        let written = match column {
            Column::Words(_, words) => {
                let words: Vec<ByteArray> = words.iter().map(|w| w.as_str().into()).collect();
                to.typed::<ByteArrayType>().write_batch(&words, None, None)
            }
            Column::Numbers(_, numbers) => {
                to.typed::<DoubleType>().write_batch(numbers, None, None)
            }
        };
        written.map_err(|e| fault(&e))?;
        to.close().map_err(|e| fault(&e))?;
    }
    group.close().map_err(|e| fault(&e))?;
    writer.close().map_err(|e| fault(&e))?;
    Ok(())
}

/// Bars in groups, a colour for each series, from 0 to `most`.
pub fn bars(
    path: &Path,
    title: &str,
    groups: &[&str],
    series: &[(&str, Vec<f64>)],
    most: f64,
) -> Result<(), Fault> {
    let draw = || -> Result<(), Box<dyn std::error::Error>> {
        let root = SVGBackend::new(path, (760, 380)).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(34)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..groups.len() as f64, 0.0..most)?;
        let label = |x: &f64| {
            let whole = (x - 0.5).fract().abs() < 1e-6;
            groups
                .get(*x as usize)
                .filter(|_| whole)
                .map_or(String::new(), |g| g.to_string())
        };
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(2 * groups.len() + 1)
            .x_label_formatter(&label)
            .draw()?;
        let width = 0.8 / series.len() as f64;
        for (n, (name, values)) in series.iter().enumerate() {
            let colour = Palette99::pick(n).to_rgba();
            let bar = |(g, v): (usize, &f64)| {
                let left = g as f64 + 0.1 + width * n as f64;
                Rectangle::new(
                    [(left, 0.0), (left + 0.94 * width, v.min(most))],
                    colour.filled(),
                )
            };
            let whole = values.iter().enumerate().filter(|(_, v)| v.is_finite());
            chart
                .draw_series(whole.map(bar))?
                .label(*name)
                .legend(move |(x, y)| {
                    Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled())
                });
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .border_style(BLACK)
            .draw()?;
        root.present()?;
        Ok(())
    };
    draw().map_err(|e| format!("{}: {e}", path.display()))
}
