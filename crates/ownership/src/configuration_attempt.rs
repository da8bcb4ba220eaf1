//! The change of the configuration that this daemon is making.

use std::time::Duration;

/// The change of the configuration that this daemon is making or finishing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ConfigurationAttempt {
    pub(crate) version: u64,
    /// The first ask that told of it.
    pub(crate) told_from: Option<u64>,
    /// When the table was first seen to show the intent.
    pub(crate) shown_at: Option<Duration>,
}
