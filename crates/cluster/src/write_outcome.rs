//! The outcome of a write of the shared rows.

/// The outcome of a write of the shared rows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WriteOutcome {
    /// The write took effect.
    Committed,
    /// The write took no effect: another write changed a row first.
    Conflict,
    /// The write took no effect, for another reason than a conflict.
    NotRun,
    /// The write may have taken effect, or may still take effect.
    Unknown,
}
