//! Starts without an answer that their worker may yet carry out.

use std::time::Duration;

use crate::WorkerKey;

/// The starts of a task that its worker has left unanswered. The incarnation that has received them carries none out after it has
/// ended or stopped the run; the next one knows of neither, and may carry them out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutstandingStart {
    pub(crate) worker: WorkerKey,
    /// When the last of them was found to have no answer.
    pub(crate) unanswered_at: Duration,
    /// The number of calls that may yet be carried out.
    pub(crate) calls: u32,
    /// The number of the worker's restarts that were known then.
    pub(crate) restarts: u64,
    /// Whether the worker has left so many starts of the task unanswered that it is sent no more.
    pub(crate) is_last: bool,
}
