//! Totals over all runs of a run ledger.

/// Totals over all runs of a [`RunLedger`](crate::RunLedger). The last five fields count violations and must be zero.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LedgerSummary {
    /// The number of runs that started.
    pub starts: u64,
    /// The number of runs that finished.
    pub finishes: u64,
    /// The number of runs that ended with a failure code.
    pub failures: u64,
    /// The number of runs that the owner ended by a checkpoint order.
    pub evictions: u64,
    /// The number of runs that started from a checkpoint.
    pub resumes: u64,
    /// The number of runs that ended because their worker's lease lapsed.
    pub lapses: u64,
    /// The number of runs that ended because their worker restarted or failed.
    pub worker_failures: u64,
    /// The number of pairs of runs of one task that were in progress at the same time.
    pub overlaps: u64,
    /// The number of pairs of runs of one task that both finished.
    pub repeated_finishes: u64,
    /// The number of pairs of runs that resumed from the same checkpoint although the first had finished or left a
    /// newer checkpoint.
    pub repeated_resumes: u64,
    /// The number of pairs of runs of one task of which the second started after the first had finished.
    pub starts_after_finish: u64,
    /// The number of start orders that a worker refused because they exceeded its free capacity.
    pub over_capacity: u64,
}
