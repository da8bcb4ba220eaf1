//! The version of the configuration; each accepted change adds one.

use crate::count_type::count_type;

count_type!(
    /// The version of the configuration; each accepted change adds one.
    ConfigurationVersion(u64)
);
