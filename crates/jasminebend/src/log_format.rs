//! How a log line looks.

use derive_more::Display;

/// How a log line looks.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub enum LogFormat {
    /// One line of text.
    #[default]
    #[display("text")]
    Text,
    /// One JSON object a line.
    #[display("json")]
    Json,
}
