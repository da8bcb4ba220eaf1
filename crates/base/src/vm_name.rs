//! The name that the platform gives a VM; the replacement of a VM may have the same name.

use crate::name_newtype;

name_newtype!(
    /// The name that the platform gives a VM; the replacement of a VM may have the same name.
    VmName
);
