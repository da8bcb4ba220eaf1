//! How a run of a task ended.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::CheckpointName;

/// How a run of a task ended.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum TaskEnd {
    /// It finished with this result.
    #[display("finished")]
    Finished {
        /// The result.
        result: String,
    },
    /// It failed of itself.
    #[display("failed with code {code}")]
    Failed {
        /// The worker's code of the failure.
        code: i32,
    },
    /// It was stopped after its state was kept.
    #[display("evicted with a checkpoint")]
    Checkpointed {
        /// The checkpoint.
        checkpoint: CheckpointName,
    },
    /// It was stopped; the work since its last checkpoint is lost.
    #[display("stopped")]
    Stopped,
    /// Its worker was lost, or lost it, and kept this checkpoint if any.
    #[display("lost with its worker")]
    Lost {
        /// The checkpoint.
        checkpoint: Option<CheckpointName>,
    },
    /// It never began.
    #[display("never begun")]
    NotStarted,
}

impl TaskEnd {
    /// Tells whether the work of the run is lost.
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
