//! Requests of callers, and the answers to them.

use std::time::Duration;

use jasminebend_dispatch::{
    JobGraph,
    JobProgress, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// A caller's request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallerRequest {
    /// The host that the request names; with the path it selects the queue.
    pub host: String,
    /// The path of a queue, followed by a job's key unless the request is for the whole queue.
    pub path: String,
    /// The operation.
    pub verb: CallerVerb,
}

/// An operation on a job or a queue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CallerVerb {
    /// Accepts a job.
    Submit(JobGraph),
    /// Reads a job's progress, or how many jobs of a queue wait.
    Read,
    /// Cancels a job.
    Cancel,
}

/// The answer to a caller's request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CallerAnswer {
    /// The job, or its cancellation, is accepted and recorded in the store.
    Done,
    /// The job's progress.
    Progress(JobProgress),
    /// The number of the queue's jobs that wait.
    Waiting(u64),
    /// The job does not exist.
    NoJob,
    /// No queue has this host and path.
    NoQueue,
    /// The request can't be parsed or can never be met, for this reason.
    Malformed(String),
    /// The request had no effect and will have none. The caller may retry after this time.
    Refused(Duration),
    /// It is unknown whether the request took effect.
    Unknown,
    /// The job has ended as failed, for this reason. Daemons of earlier versions can't decode this answer.
    Failed(String),
}
