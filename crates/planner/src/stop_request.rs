//! Requests to end a run.

/// A request to end a run, ordered from the weakest to the strongest.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum StopRequest {
    /// No request: the run continues.
    #[default]
    Continue,
    /// Checkpoint the run; it continues if that fails.
    Checkpoint,
    /// Checkpoint the run; stop it if that fails.
    CheckpointOrStop,
    /// Stop the run without a checkpoint.
    Stop,
}
