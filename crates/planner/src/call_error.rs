//! Why a call to a worker did nothing.

use derive_more::From;
use jasminebend_ports::WorkerError;

/// Why a call to a worker did nothing, or may not have.
#[derive(Clone, Copy, Debug, Eq, From, PartialEq)]
pub(crate) enum CallError {
    /// It was not sent: this daemon may no longer act, or the failure domain is out.
    #[from(skip)]
    Withheld,
    /// The worker's answer, or the lack of one.
    Worker(WorkerError),
}
