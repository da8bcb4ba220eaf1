//! The key of an object: path segments joined by slashes.

use jasminebend_base::text_name;

text_name!(
    /// The key of an object: path segments joined by slashes.
    ObjectKey
);
