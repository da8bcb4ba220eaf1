//! The reason why a job cannot be read or cancelled.

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

/// The reason why a job cannot be read or cancelled.
#[derive(Clone, Copy, Debug, Display, Eq, Error, From, PartialEq)]
pub enum JobError {
    /// No job has this identifier.
    #[display("there is no job {job}")]
    #[from(skip)]
    UnknownJob {
        /// The identifier that was asked for.
        job: JobId,
    },
    /// The table service failed or did not answer.
    #[display("the job's state cannot be read or changed now: {_0}; ask again")]
    Table(TableError),
    /// The object store failed or did not answer.
    #[display("the job's results cannot be read now: {_0}; ask again")]
    Object(ObjectError),
    /// The job's stored record cannot be decoded.
    #[display("the job's record cannot be read: {_0}")]
    Record(RecordError),
    /// The planner is shutting down.
    #[display("this daemon is stopping; ask another")]
    Stopping,
}
