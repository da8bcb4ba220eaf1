//! Turns the YAML reader's errors into sentences that name the key.

use serde_saphyr::Error;

use crate::{
    SettingsError,
    key_reader::SECTION, //
};

const WHOLE_FILE: &str = "the file";
const ONE_VALUE: &str = "one value";

/// An error of the YAML reader, with the text that it read.
pub(crate) struct YamlFault<'a> {
    text: &'a str,
    error: &'a Error,
    line: u64,
    column: u64,
}

impl<'a> YamlFault<'a> {
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

    pub(crate) fn explain(&self) -> SettingsError {
        let line = self.line;
        match self.error {
            Error::SerdeUnknownField {
                field, expected, ..
            } => SettingsError::UnknownKey {
                line,
                key: field.clone(),
                known: join(expected),
            },
            Error::DuplicateMappingKey { key, .. } => SettingsError::DuplicateKey {
                line,
                key: key.clone().unwrap_or_default(),
            },
            Error::Unexpected { expected, .. } => self.shape(expected),
            Error::SerdeInvalidType { expected, .. } => self.shape(expected),
            Error::NullIntoString { .. } => self.shape(ONE_VALUE),
            other => SettingsError::Syntax {
                line,
                reason: first_line(&other.to_string()),
            },
        }
    }

    fn shape(&self, expected: &str) -> SettingsError {
        let wants = match expected {
            "mapping start" => SECTION,
            _ => ONE_VALUE,
        };
        SettingsError::Shape {
            line: self.line,
            key: self.owner(),
            wants: wants.to_owned(),
        }
    }

    /// Finds the key that the fault's place belongs to: on its line if one stands before it, else
    /// on the nearest line above that is indented less.
    fn owner(&self) -> String {
        let lines: Vec<&str> = self.text.lines().collect();
        // CAST: a line number of a text in memory fits.
        let below = lines.len().min(self.line as usize);
        let column = self.column as usize;
        let Some((own, above)) = lines[..below].split_last() else {
            return WHOLE_FILE.to_owned();
        };
        if let Some((key, _)) = own.split_once(':').filter(|(key, _)| key.len() < column) {
            return key.trim().to_owned();
        }
        let owner = above.iter().rev().find(|line| indent(line) < indent(own));
        let key = owner.and_then(|line| line.split_once(':'));
        key.map_or(WHOLE_FILE, |(key, _)| key.trim()).to_owned()
    }
}

fn indent(line: &str) -> usize {
    line.len() - line.trim_start().len()
}

fn join(keys: &[&str]) -> String {
    let quoted: Vec<String> = keys.iter().map(|key| format!("`{key}`")).collect();
    quoted.join(", ")
}

fn first_line(text: &str) -> String {
    text.lines().next().unwrap_or_default().to_owned()
}
