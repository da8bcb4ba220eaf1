//! The key of an object: path segments separated by slashes.

use jasminebend_base::text_name;

text_name!(
    /// The key of an object: path segments separated by slashes.
    ObjectKey
);
