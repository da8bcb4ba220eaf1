//! What an owner knows of the run of a task before the next one.

use derive_more::Display;

use crate::{
    LossCause,
    RunResult, //
};

/// What an owner knows of a task's last run.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub enum EarlierRun {
    /// The owner knows of no run.
    #[default]
    #[display("none")]
    None,
    /// The worker has listed the run's end.
    #[display("ended_{_0}")]
    Ended(RunResult),
    /// The run was given up although no worker has listed its end.
    #[display("lost_{_0}")]
    Lost(LossCause),
    /// The run's start was refused, or stopped before the run began.
    #[display("not_begun")]
    NotBegun,
}
