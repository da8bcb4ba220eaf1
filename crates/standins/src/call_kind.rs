//! The calls that a stand-in may do wrong.

use derive_more::Display;

/// The calls that a stand-in may do wrong.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum CallKind {
    /// A read of a row, an object or the VM list.
    Read,
    /// A scan of rows.
    Scan,
    /// A transaction.
    Commit,
    /// A write of an object.
    Put,
    /// A deletion of an object.
    Delete,
    /// A worker's adoption of an epoch.
    Adopt,
    /// A renewal of a worker's lease.
    Renew,
    /// A start of a run.
    Start,
    /// A throttling of a run.
    Throttle,
    /// A checkpoint of a run.
    Checkpoint,
    /// A stop of a run.
    Stop,
}

impl CallKind {
    /// Tells whether the call may change something.
    pub fn is_write(self) -> bool {
        !matches!(self, Self::Read | Self::Scan)
    }
}
