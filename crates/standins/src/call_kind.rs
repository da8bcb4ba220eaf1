//! The kinds of calls to a stand-in.

use derive_more::Display;

/// A kind of call to a stand-in, for fault injection.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum CallKind {
    /// A read of a row, an object or the VM list.
    Read,
    /// A scan of rows.
    Scan,
    /// A commit of a transaction of row changes.
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
    /// Returns whether the call may change state.
    pub fn is_write(self) -> bool {
        !matches!(self, Self::Read | Self::Scan)
    }
}
