//! How a write on the shared rows ended.

/// How a write on the shared rows ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CommitEnd {
    /// It took effect.
    Committed,
    /// Another one came first; it took no effect.
    Conflict,
    /// It took no effect.
    NotRun,
    /// It may have taken effect, or may still.
    Unknown,
}
