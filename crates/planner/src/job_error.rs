//! Why a job's status, or its cancellation, cannot be had.

use derive_more::{
    Display,
    Error,
    From, //
};
use jasminebend_placement::JobId;
use jasminebend_ports::{
    ObjectError,
    TableError, //
};

use crate::RecordError;

/// Why a job's status, or its cancellation, cannot be had.
#[derive(Clone, Copy, Debug, Display, Eq, Error, From, PartialEq)]
pub enum JobError {
    /// There is no such job.
    #[display("there is no job {job}")]
    #[from(skip)]
    UnknownJob {
        /// The job.
        job: JobId,
    },
    /// The table service gave no answer.
    #[display("the job's state cannot be read or changed now: {_0}; ask again")]
    Table(TableError),
    /// The object store gave no answer.
    #[display("the job's results cannot be read now: {_0}; ask again")]
    Object(ObjectError),
    /// The record cannot be read.
    #[display("the job's record cannot be read: {_0}")]
    Record(RecordError),
    /// The planner stops.
    #[display("this daemon is stopping; ask another")]
    Stopping,
}
