//! The epoch of a resource; it increases by one each time that the resource's owner changes.

use crate::number_newtype::number_newtype;

number_newtype!(
    /// The epoch of a resource; it increases by one each time that the resource's owner changes.
    OwnerEpoch(u64)
);
