//! Converts errors of the YAML parser to settings errors that name the key.

use serde_saphyr::Error;

use crate::{
    SettingsError,
    section_parser::SECTION_FORMAT, //
};

const WHOLE_FILE_KEY: &str = "the file";
const SINGLE_VALUE_FORMAT: &str = "one value";

/// An error of the YAML parser, with the parsed text and the error's position.
pub(crate) struct YamlError<'a> {
    text: &'a str,
    error: &'a Error,
    /// The line, from one.
    line: u64,
    /// The column, from one.
    column: u64,
}

impl<'a> YamlError<'a> {
    pub(crate) fn new(text: &'a str, error: &'a Error) -> Self {
        let error = error.without_snippet();
        let location = error.location();
        Self {
            text,
            error,
            line: location.map_or(1, |location| location.line()),
            column: location.map_or(1, |location| location.column()),
        }
    }

    /// Converts the error to a settings error.
    pub(crate) fn to_settings_error(&self) -> SettingsError {
        let line = self.line;
        match self.error {
            Error::SerdeUnknownField {
                field, expected, ..
            } => SettingsError::UnknownKey {
                line,
                key: field.clone(),
                known: quote_keys(expected),
            },
            Error::DuplicateMappingKey { key, .. } => SettingsError::DuplicateKey {
                line,
                key: key.clone().unwrap_or_default(),
            },
            Error::Unexpected { expected, .. } => self.shape_error(expected),
            Error::SerdeInvalidType { expected, .. } => self.shape_error(expected),
            Error::NullIntoString { .. } => self.shape_error(SINGLE_VALUE_FORMAT),
            other => SettingsError::Syntax {
                line,
                reason: first_line(&other.to_string()),
            },
        }
    }

    /// Returns the error of a value of the wrong shape.
    fn shape_error(&self, expected: &str) -> SettingsError {
        let wants = match expected {
            "mapping start" => SECTION_FORMAT,
            _ => SINGLE_VALUE_FORMAT,
        };
        SettingsError::Shape {
            line: self.line,
            key: self.enclosing_key(),
            wants: wants.to_owned(),
        }
    }

    /// Returns the key that the error's position belongs to: the key before it on the same line, or else the key on the
    /// nearest line above that is less indented.
    fn enclosing_key(&self) -> String {
        let lines: Vec<&str> = self.text.lines().collect();
        // CAST: a line number of a text in memory fits.
        let end = lines.len().min(self.line as usize);
        let column = self.column as usize;
        let Some((own, above)) = lines[..end].split_last() else {
            return WHOLE_FILE_KEY.to_owned();
        };
        if let Some((key, _)) = own.split_once(':').filter(|(key, _)| key.len() < column) {
            return key.trim().to_owned();
        }
        let parent = above.iter().rev().find(|line| indent(line) < indent(own));
        let key = parent.and_then(|line| line.split_once(':'));
        key.map_or(WHOLE_FILE_KEY, |(key, _)| key.trim()).to_owned()
    }
}

fn indent(line: &str) -> usize {
    line.len() - line.trim_start().len()
}

fn quote_keys(keys: &[&str]) -> String {
    let quoted: Vec<String> = keys.iter().map(|key| format!("`{key}`")).collect();
    quoted.join(", ")
}

fn first_line(text: &str) -> String {
    text.lines().next().unwrap_or_default().to_owned()
}
