//! The state of the connection between a shard's owner and a worker.

/// The state of the connection between a shard's owner and a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LinkPhase {
    /// The worker has not yet accepted this owner's epoch, or must report its tasks again.
    New,
    /// The worker accepted this owner's epoch and answers.
    Adopted,
    /// The worker accepted this owner's epoch and did not answer recently.
    Silent,
}
