//! Whether a process listens at an address.

/// Whether a process listens at an address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeOutcome {
    /// A connection was accepted.
    Listens,
    /// The machine is up and refuses: the process is gone.
    Refused,
    /// No answer, which says nothing.
    Silent,
}
