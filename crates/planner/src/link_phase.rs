//! Whether a worker follows this owner.

/// Whether a worker follows this owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LinkPhase {
    /// It was not heard under this owner's epoch, or must be asked anew what runs there.
    New,
    /// It follows this owner.
    Adopted,
    /// It followed this owner and gave no answer lately.
    Silent,
}
