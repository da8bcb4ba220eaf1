//! Index of a worker in its owner's list of workers.

use derive_more::Display;

/// Index of a worker in its owner's list of workers; valid only in the dispatcher that assigned it.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkerKey(u32);

impl WorkerKey {
    /// Creates a key from an index.
    pub fn new(index: usize) -> Self {
        // CAST: A list holds some thousand workers.
        Self(index as u32)
    }

    /// Returns the index.
    pub fn index(self) -> usize {
        // CAST: From 32 bits to at least as many.
        self.0 as usize
    }
}
