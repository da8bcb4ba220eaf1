//! The key of a worker in a pool.

use derive_more::Display;

/// The key of a worker in a [`crate::WorkerPool`]; it stays valid as long as the pool.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("worker {_0}")]
pub struct WorkerKey(pub(crate) u32);

impl WorkerKey {
    pub(crate) fn slot(self) -> usize {
        self.0 as usize
    }
}
