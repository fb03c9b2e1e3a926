//! Results of an experiment as a Parquet file with required columns, in a single row group.

use std::fs::File;
use std::path::Path;
use std::sync::Arc;

use parquet::data_type::{ByteArray, ByteArrayType, DoubleType};
use parquet::errors::ParquetError;
use parquet::file::properties::WriterProperties;
use parquet::file::writer::SerializedFileWriter;
use parquet::schema::parser::parse_message_type;
use parquet::schema::types::Type;

use crate::error::ExperimentError;

/// A column; all columns of a table have the same length.
pub enum Column {
    /// A column of strings.
    Text {
        /// Name of the column.
        name: &'static str,
        /// The string in each row.
        values: Vec<String>,
    },
    /// A column of numbers; a missing value is NaN.
    Numbers {
        /// Name of the column.
        name: &'static str,
        /// The number in each row.
        values: Vec<f64>,
    },
}

impl Column {
    /// Creates a column of strings, one for each row.
    pub fn text<Row>(name: &'static str, rows: &[Row], text: impl Fn(&Row) -> &str) -> Column {
        let values = rows.iter().map(|row| text(row).to_string()).collect();
        Column::Text { name, values }
    }

    /// Creates a column of numbers, one for each row.
    pub fn numbers<Row>(name: &'static str, rows: &[Row], number: impl Fn(&Row) -> f64) -> Column {
        let values = rows.iter().map(number).collect();
        Column::Numbers { name, values }
    }

    fn declaration(&self) -> String {
        match self {
            Column::Text { name, .. } => format!("required binary {name} (UTF8);"),
            Column::Numbers { name, .. } => format!("required double {name};"),
        }
    }
}

/// Writes a table with these columns to a file, and replaces an existing one.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn write(path: &Path, columns: &[Column]) -> Result<(), ExperimentError> {
    let file = File::create(path).map_err(ExperimentError::at(path))?;
    write_columns(file, columns).map_err(|source| ExperimentError::Table {
        path: path.to_path_buf(),
        source,
    })
}

fn write_columns(file: File, columns: &[Column]) -> Result<(), ParquetError> {
    let properties = Arc::new(WriterProperties::builder().build());
    let mut writer = SerializedFileWriter::new(file, Arc::new(schema(columns)?), properties)?;
    let mut row_group = writer.next_row_group()?;
    for column in columns {
        let mut column_writer = row_group.next_column()?.ok_or_else(|| {
            ParquetError::General("the table has more columns than the schema".into())
        })?;
        match column {
            Column::Text { values, .. } => {
                let texts: Vec<ByteArray> =
                    values.iter().map(|text| text.as_str().into()).collect();
                column_writer
                    .typed::<ByteArrayType>()
                    .write_batch(&texts, None, None)?;
            }
            Column::Numbers { values, .. } => {
                column_writer
                    .typed::<DoubleType>()
                    .write_batch(values, None, None)?;
            }
        }
        column_writer.close()?;
    }
    row_group.close()?;
    writer.close()?;
    Ok(())
}

fn schema(columns: &[Column]) -> Result<Type, ParquetError> {
    let declarations: String = columns.iter().map(Column::declaration).collect();
    parse_message_type(&format!("message rows {{ {declarations} }}"))
}
