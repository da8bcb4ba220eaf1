//! The outcome of a probe of an address.

/// The outcome of a probe of whether a process listens at an address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeOutcome {
    /// A connection was accepted.
    Listens,
    /// The VM refused the connection: it is running, and the process has terminated.
    Refused,
    /// There was no answer, from which nothing can be concluded.
    NoAnswer,
}
