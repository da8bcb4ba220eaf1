//! The reason why a call to a worker failed.

use derive_more::From;
use jasminebend_ports::WorkerError;

/// The reason why a call to a worker failed, or why its effect is unknown.
#[derive(Clone, Copy, Debug, Eq, From, PartialEq)]
pub(crate) enum WorkerCallError {
    /// The call was not sent: this daemon may no longer act for the shard, or the worker's failure
    /// domain was taken out.
    #[from(skip)]
    NotSent,
    /// The worker rejected the call, or its answer was lost or malformed.
    Worker(WorkerError),
}
