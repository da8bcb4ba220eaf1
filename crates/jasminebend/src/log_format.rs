//! Formats of the log.

use derive_more::Display;

/// The format of the log.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub enum LogFormat {
    /// One line of text.
    #[default]
    #[display("text")]
    Text,
    /// One JSON object per line.
    #[display("json")]
    Json,
}
