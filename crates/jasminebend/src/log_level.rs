//! Severities of log lines.

use derive_more::Display;

/// The severity of log lines; as a setting, the least severity that is logged.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub enum LogLevel {
    /// Failures that need an operator's attention.
    #[display("error")]
    Error,
    /// Failures that the daemon handles itself.
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
