//! The action to take on an overloaded worker.

use derive_more::Display;

/// The action to take on the batch tasks of an overloaded worker.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum OverloadAction {
    /// Change nothing.
    #[display("hold")]
    NoChange,
    /// Limit the batch tasks that cause the overload to this share of full speed, in thousandths.
    #[display("throttle to {_0}/1000")]
    Throttle(u32),
    /// Checkpoint one batch task and remove it from the worker.
    #[display("evict")]
    Evict,
    /// Stop one batch task without a checkpoint.
    #[display("stop")]
    Stop,
}
