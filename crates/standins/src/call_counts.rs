//! What a stand-in counted.

/// What a stand-in counted since it was made.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// The reads and scans that arrived.
    pub reads: u64,
    /// The writes that arrived.
    pub writes: u64,
    /// The rows, objects or records that were read or written.
    pub rows: u64,
    /// The bytes of their values.
    pub bytes: u64,
    /// The calls that were refused, or not reached.
    pub refused: u64,
}
