//! The least severe lines that are logged.

use derive_more::Display;

/// The least severe lines that are logged.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub enum LogLevel {
    /// Failures that need somebody.
    #[display("error")]
    Error,
    /// Failures that the daemon deals with itself.
    #[display("warn")]
    Warn,
    /// Changes of state.
    #[default]
    #[display("info")]
    Info,
    /// Every decision.
    #[display("debug")]
    Debug,
}
