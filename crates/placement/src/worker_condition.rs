//! Whether a worker accepts tasks.

use derive_more::Display;

/// Whether a worker accepts tasks, and why not.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub enum WorkerCondition {
    /// Nothing was received from the worker yet, or for too long.
    #[default]
    #[display("silent")]
    Silent,
    /// The worker accepts tasks.
    #[display("open")]
    Open,
    /// The worker's VM or its failure domain is leaving.
    #[display("leaving")]
    Leaving,
    /// The worker is quarantined because several different jobs failed on it.
    #[display("set aside")]
    Quarantined,
}
