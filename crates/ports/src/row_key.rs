//! The key of a row: path segments separated by slashes.

use jasminebend_base::text_name;

text_name!(
    /// The key of a row: path segments separated by slashes.
    RowKey
);
