//! The platform's name of a VM; a replaced VM may come back under the same one.

use crate::text_name;

text_name!(
    /// The platform's name of a VM; a replaced VM may come back under the same one.
    VmName
);
