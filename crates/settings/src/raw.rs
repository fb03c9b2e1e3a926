//! Undecoded settings: texts by dotted path, with typed lookups.
//!
//! A list `NAME` has its length under `NAME.count` and its items' fields under `NAME.INDEX.FIELD`.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use crate::error::SettingsError;
use crate::values::{ParseNumberError, ValueError, parse_duration, parse_flag, parse_number};

/// Text of each setting by its dotted path.
#[derive(Debug, Default)]
pub struct RawSettings(BTreeMap<String, String>);

impl FromIterator<(String, String)> for RawSettings {
    /// Collects paths and their texts; if a path occurs more than once, its last text is used.
    fn from_iter<I: IntoIterator<Item = (String, String)>>(pairs: I) -> Self {
        RawSettings(pairs.into_iter().collect())
    }
}

impl RawSettings {
    /// Returns the text of a setting, unchanged.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Missing`].
    pub fn text(&self, path: &str) -> Result<&str, SettingsError> {
        match self.0.get(path) {
            Some(text) => Ok(text),
            None => Err(SettingsError::Missing {
                path: path.to_string(),
            }),
        }
    }

    /// Returns a number, limited only by the range of its type.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Missing`] or [`SettingsError::InvalidValue`].
    pub fn number<T: FromStr>(&self, path: &str) -> Result<T, SettingsError>
    where
        ParseNumberError: From<T::Err>,
    {
        parse_number(self.text(path)?).map_err(|source| invalid_value(path, source))
    }

    /// Returns a number and checks that it is within a range.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Missing`], [`SettingsError::InvalidValue`] or
    /// [`SettingsError::OutOfRange`].
    pub fn number_in_range(
        &self,
        path: &str,
        range: RangeInclusive<f64>,
    ) -> Result<f64, SettingsError> {
        let value: f64 = self.number(path)?;
        if !range.contains(&value) {
            return Err(SettingsError::OutOfRange {
                path: path.to_string(),
                value: value.to_string(),
            });
        }
        Ok(value)
    }

    /// Returns a duration, which is given in milliseconds and rounded to whole microseconds.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Missing`] or [`SettingsError::InvalidValue`].
    pub fn duration(&self, path: &str) -> Result<Duration, SettingsError> {
        parse_duration(self.text(path)?).map_err(|source| invalid_value(path, source))
    }

    /// Returns a boolean; see [`parse_flag`] for the accepted texts.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Missing`] or [`SettingsError::InvalidValue`].
    pub fn flag(&self, path: &str) -> Result<bool, SettingsError> {
        parse_flag(self.text(path)?).map_err(|source| invalid_value(path, source))
    }

    /// Returns the value that `words` assigns to the setting's text; `words` lists all accepted
    /// words.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Missing`] or [`SettingsError::UnknownWord`].
    pub fn one_of<T: Copy>(&self, path: &str, words: &[(&str, T)]) -> Result<T, SettingsError> {
        let text = self.text(path)?;
        match words.iter().find(|(word, _)| *word == text) {
            Some((_, value)) => Ok(*value),
            None => Err(SettingsError::UnknownWord {
                path: path.to_string(),
                word: text.to_string(),
            }),
        }
    }

    /// Returns the length of the list at this path; 0 if there is no such list.
    ///
    /// # Errors
    ///
    /// [`SettingsError::InvalidValue`] if the length is not a number.
    pub fn count(&self, path: &str) -> Result<usize, SettingsError> {
        let count_path = format!("{path}.count");
        if self.0.contains_key(&count_path) {
            self.number(&count_path)
        } else {
            Ok(0)
        }
    }
}

fn invalid_value(path: &str, source: ValueError) -> SettingsError {
    SettingsError::InvalidValue {
        path: path.to_string(),
        source,
    }
}
