//! The key of a class in a route table.

/// The key of a class in the [`crate::RouteTable`] that gave it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClassKey(pub(crate) u32);

impl ClassKey {
    /// Returns the class's place in the table.
    pub fn index(self) -> usize {
        // CAST: a `u32` always fits the `usize` of the 64-bit machines that this is built for.
        self.0 as usize
    }
}
