//! The name that the platform gives a VM; the replacement of a VM may have the same name.

use crate::text_name;

text_name!(
    /// The name that the platform gives a VM; the replacement of a VM may have the same name.
    VmName
);
