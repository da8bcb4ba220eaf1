//! Errors of job graph validation.

use derive_more::Display;

use crate::job_graph::{
    JobGraph,
    MAX_ESTIMATE,
    MAX_PAYLOAD_BYTES,
    MAX_TASKS, //
};

/// Reason for which a job graph is invalid.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum GraphError {
    /// The payload is too long.
    #[display("the payload has {bytes} bytes, at most {MAX_PAYLOAD_BYTES} are taken")]
    Payload {
        /// The payload's length in bytes.
        bytes: usize,
    },
    /// The job has no steps, or too many.
    #[display("a job has 1 to {} steps, not {count}", JobGraph::MAX_STEPS)]
    Steps {
        /// The number of steps.
        count: usize,
    },
    /// A step has no tasks.
    #[display("step {step} has no tasks")]
    NoTasks {
        /// The step's number, from 0.
        step: usize,
    },
    /// The declared run time of a step's tasks is too long.
    #[display("step {step} has an estimate of more than {} days", MAX_ESTIMATE.as_secs() / 86_400)]
    Estimate {
        /// The step's number, from 0.
        step: usize,
    },
    /// The job has too many tasks.
    #[display("a job has at most {MAX_TASKS} tasks, not {count}")]
    Tasks {
        /// The number of tasks.
        count: u64,
    },
    /// A step depends on a step that does not exist.
    #[display("step {step} waits for step {before}, which is not there")]
    UnknownStep {
        /// The step's number, from 0.
        step: usize,
        /// The missing step's number.
        before: u16,
    },
    /// The dependencies of the steps form a cycle.
    #[display("the steps wait for one another in a circle")]
    Cycle,
}
