//! Key of a route table entry.

/// Identifies a [`crate::RouteEntry`] in the [`crate::RouteTable`] that returned the key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RouteKey(pub(crate) u32);

impl RouteKey {
    /// Returns the index of the entry in [`crate::RouteTable::entries`].
    pub fn index(self) -> usize {
        // CAST: a `u32` always fits into `usize` on the supported 64-bit targets.
        self.0 as usize
    }
}
