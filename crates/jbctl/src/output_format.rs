//! How answers are printed.

use std::str::FromStr;

use crate::UsageError;

/// How answers are printed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OutputFormat {
    /// Sentences and YAML, for people.
    #[default]
    Text,
    /// One JSON document, for programs.
    Json,
}

impl FromStr for OutputFormat {
    type Err = UsageError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(UsageError::UnknownFormat {
                format: other.to_owned(),
            }),
        }
    }
}
