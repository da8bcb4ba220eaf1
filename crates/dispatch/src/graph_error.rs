//! Errors of job graph validation.

use derive_more::Display;

use crate::job_graph::{
    MAX_PAYLOAD_BYTES,
    MAX_STEPS,
    MAX_TASKS, //
};

/// Reason for which a job graph is invalid.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum GraphError {
    /// The payload is too long.
    #[display("the payload has {bytes} bytes, more than the limit of {MAX_PAYLOAD_BYTES}")]
    Payload {
        /// The payload's length in bytes.
        bytes: usize,
    },
    /// The job has no steps, or too many.
    #[display("the job has {count} steps, the limits are 1 and {MAX_STEPS}")]
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
    /// The job has too many tasks.
    #[display("the job has {count} tasks, more than the limit of {MAX_TASKS}")]
    Tasks {
        /// The number of tasks.
        count: u64,
    },
    /// A step depends on a step that does not exist.
    #[display("step {step} depends on step {before}, which does not exist")]
    UnknownStep {
        /// The step's number, from 0.
        step: usize,
        /// The missing step's number.
        before: u16,
    },
    /// The dependencies of the steps form a cycle.
    #[display("the dependencies of the steps form a cycle")]
    Cycle,
}
