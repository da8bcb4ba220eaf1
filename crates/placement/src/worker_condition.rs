//! Whether a worker may take tasks.

use derive_more::Display;

/// Whether a worker may take tasks.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub enum WorkerCondition {
    /// Not yet, or no longer, heard.
    #[default]
    #[display("silent")]
    Silent,
    /// It takes tasks.
    #[display("open")]
    Open,
    /// Its VM or its failure domain is leaving.
    #[display("leaving")]
    Leaving,
    /// Distinct jobs failed on it.
    #[display("set aside")]
    SetAside,
}
