//! Counts of the calls to a stand-in.

/// Counts of the calls to a stand-in since its creation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// The number of reads and scans, including those with a fault.
    pub reads: u64,
    /// The number of all other calls, including those with a fault.
    pub writes: u64,
    /// The number of rows, objects or VM records that were read or written.
    pub rows: u64,
    /// The total size of the values that were read or written, in bytes.
    pub bytes: u64,
    /// The number of calls without effect: those that were lost, were refused or found the service unreachable.
    pub refused: u64,
}
