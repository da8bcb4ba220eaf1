//! The key of a row: path segments separated by slashes.

use jasminebend_base::name_newtype;

name_newtype!(
    /// The key of a row: path segments separated by slashes.
    RowKey
);
