//! The phases of a run of a task.

use std::time::Duration;

/// The phase of a run as the shard's owner knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunPhase {
    /// A former owner may have started the run; its worker has not been asked yet.
    Unverified,
    /// The journal entry of its placement is not committed.
    Committing,
    /// Its placement is committed, and it waits for free capacity on its worker.
    Precommitted,
    /// The run may be started.
    ReadyToStart,
    /// A start was sent and is not answered.
    Starting,
    /// It is unknown whether the worker runs it, for example because the answer to a start or a stop
    /// was lost. If a stop is requested, it is sent; otherwise the same start is sent again.
    Unconfirmed {
        /// Time of the next attempt, on the monotonic clock.
        retry: Duration,
    },
    /// The worker runs it.
    Running,
    /// A checkpoint or stop was sent and is not answered.
    Stopping,
    /// The worker answered a stop, or does not know the run. A report that is requested after this
    /// time shows how the run ended; it may have finished before the stop arrived.
    AwaitingOutcome {
        /// Time from which a report is recent enough, on the monotonic clock.
        since: Duration,
    },
}
