//! How a run is to be ended.

/// How a run is to be ended, the later the harder.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum StopWish {
    /// Not at all.
    #[default]
    Keep,
    /// By a checkpoint; left running if that fails.
    Checkpoint,
    /// By a checkpoint; stopped if that fails.
    Leave,
    /// At once.
    Stop,
}
