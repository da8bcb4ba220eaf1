//! The key of an object: path segments separated by slashes.

use jasminebend_base::name_newtype;

name_newtype!(
    /// The key of an object: path segments separated by slashes.
    ObjectKey
);
