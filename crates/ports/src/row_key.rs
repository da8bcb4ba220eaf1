//! The key of a row: path segments joined by slashes.

use jasminebend_base::text_name;

text_name!(
    /// The key of a row: path segments joined by slashes.
    RowKey
);
