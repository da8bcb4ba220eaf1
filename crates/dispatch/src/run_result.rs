//! Result of a run.

use derive_more::Display;

/// Result of a run as its worker reports it.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RunResult {
    /// The task is done.
    #[display("done")]
    Done,
    /// The run failed, by its own fault or its worker's.
    #[display("failed")]
    Failed,
    /// The run was stopped by an order.
    #[display("stopped")]
    Stopped,
    /// The worker's lease lapsed.
    #[display("lapsed")]
    Lapsed,
    /// Another member of its gang ended.
    #[display("broken")]
    Broken,
    /// The run waited too long for the other members of its gang.
    #[display("alone")]
    Alone,
}
