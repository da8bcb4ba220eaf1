//! The epoch of a resource; each change of its holder adds one.

use crate::count_type::count_type;

count_type!(
    /// The epoch of a resource; each change of its holder adds one.
    OwnerEpoch(u64)
);
