//! The name of a class of work, as operators declare it.

use crate::text_name;

text_name!(
    /// The name of a class of work, as operators declare it.
    ClassName
);
