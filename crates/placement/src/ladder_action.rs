//! What a worker under pressure calls for.

use derive_more::Display;

/// What a worker under pressure calls for.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum LadderAction {
    /// Nothing new.
    #[display("hold")]
    Hold,
    /// The batch tasks to blame get this share of their speed, in thousandths.
    #[display("throttle to {_0}/1000")]
    Throttle(u32),
    /// One batch task leaves by checkpoint.
    #[display("evict")]
    Evict,
    /// One batch task is stopped without a checkpoint.
    #[display("stop")]
    Stop,
}
