//! A configuration change that this daemon carries out.

use std::time::Duration;

/// A configuration change that this daemon carries out: one that it announced, or one that it
/// finishes because the daemon that announced it did not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ConfigurationChange {
    /// The announced version.
    pub(crate) version: u64,
    /// The number of the first `Ask` message that reported the change to the peers; `None` while
    /// none has.
    pub(crate) first_ask_number: Option<u64>,
    /// When this daemon first read the announcement in the table; `None` before that.
    pub(crate) intent_seen_at: Option<Duration>,
}
