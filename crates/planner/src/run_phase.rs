//! Where a run stands.

use std::time::Duration;

/// Where a run stands, as the shard's owner knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunPhase {
    /// A former owner may have started it; its worker was not heard yet.
    Unheard,
    /// Its journal entry is not committed.
    Committing,
    /// It is committed and waits for room on its worker.
    Ahead,
    /// It may be started.
    ToStart,
    /// A start is on its way.
    Starting,
    /// A start's answer was lost: it may run. The same start is sent again.
    Unconfirmed {
        /// When to send it.
        retry: Duration,
    },
    /// It runs.
    Running,
    /// An order to checkpoint or stop it is on its way.
    Stopping,
    /// It was told to stop, or its worker does not know it; a report asked for after this time tells
    /// how it ended.
    Settling {
        /// The time.
        since: Duration,
    },
}
