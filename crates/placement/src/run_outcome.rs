//! The outcome of a run of a task.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::CheckpointName;

/// The outcome of a run of a task.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum RunOutcome {
    /// The task finished with this result.
    #[display("finished")]
    Finished {
        /// The result.
        result: String,
    },
    /// The task itself failed.
    #[display("failed with code {code}")]
    Failed {
        /// The failure code that the worker reported.
        code: i32,
    },
    /// The run was stopped after its state was checkpointed.
    #[display("evicted with a checkpoint")]
    Checkpointed {
        /// The checkpoint.
        checkpoint: CheckpointName,
    },
    /// The run was stopped; the work since the last checkpoint is lost.
    #[display("stopped")]
    Stopped,
    /// The worker was lost, or lost the run; this checkpoint was kept, if any.
    #[display("lost with its worker")]
    Lost {
        /// The checkpoint.
        checkpoint: Option<CheckpointName>,
    },
    /// The run was never started.
    #[display("never begun")]
    NotStarted,
}

impl RunOutcome {
    /// Returns whether the work of the run is lost.
    pub fn loses_work(&self) -> bool {
        match self {
            Self::Failed { .. } | Self::Stopped | Self::Lost { checkpoint: None } => true,
            Self::Finished { .. }
            | Self::Checkpointed { .. }
            | Self::Lost {
                checkpoint: Some(_),
            }
            | Self::NotStarted => false,
        }
    }
}
