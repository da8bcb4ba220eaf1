//! The status of a maintenance wave, which the operator reads.

/// The status of a maintenance wave, to be written for the operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaveStatus {
    /// The wave's number.
    pub wave: u64,
    /// Whether the wave is completed.
    pub completed: bool,
    /// The store's version that the present status must have; 0 if there must be none.
    pub version: u64,
}

/// The outcome of a write of a wave's status.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaveStatusOutcome {
    /// The status was written, with this version.
    Written(u64),
    /// Another daemon owns the jobs, or the present status has this version; 0 if there is none.
    Conflict(u64),
}
