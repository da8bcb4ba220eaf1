//! The version of the configuration; it increases by one with each accepted change.

use crate::number_newtype::number_newtype;

number_newtype!(
    /// The version of the configuration; it increases by one with each accepted change.
    ConfigurationVersion(u64)
);
