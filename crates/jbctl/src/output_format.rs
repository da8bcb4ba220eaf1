//! Format in which responses are printed.

use std::str::FromStr;

use crate::UsageError;

/// The format in which responses are printed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OutputFormat {
    /// A sentence for the outcome of a change, YAML for a read; for people.
    #[default]
    Text,
    /// The daemon's JSON document in one line; for programs.
    Json,
}

impl FromStr for OutputFormat {
    type Err = UsageError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(UsageError::UnknownOutputFormat {
                format: other.to_owned(),
            }),
        }
    }
}
