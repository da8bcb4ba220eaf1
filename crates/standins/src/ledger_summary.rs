//! What a ledger counted.

/// What a ledger counted. The last five must be zero.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LedgerSummary {
    /// Runs that started.
    pub starts: u64,
    /// Tasks that finished.
    pub finishes: u64,
    /// Runs that failed of themselves.
    pub failures: u64,
    /// Runs that were stopped with their state kept by order.
    pub evictions: u64,
    /// Runs that resumed from a checkpoint.
    pub resumes: u64,
    /// Runs that ended because their worker's lease lapsed.
    pub lapses: u64,
    /// Runs that ended because their worker restarted or failed.
    pub vanished: u64,
    /// Pairs of runs of one task in progress at the same time.
    pub overlaps: u64,
    /// Finishes of tasks that had finished before.
    pub repeated_finishes: u64,
    /// Runs that resumed from a checkpoint although a run from it had finished or got further.
    pub repeated_resumes: u64,
    /// Starts of tasks that had finished before.
    pub starts_after_finish: u64,
    /// Orders that would have put more on a worker than it can hold; the worker refused them.
    pub over_capacity: u64,
}
