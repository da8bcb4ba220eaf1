//! The compact key of a worker in a pool.

use derive_more::Display;

/// Identifies a worker in a [`crate::WorkerPool`]; valid as long as the pool exists.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("worker {_0}")]
pub struct WorkerKey(pub(crate) u32);

impl WorkerKey {
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}
