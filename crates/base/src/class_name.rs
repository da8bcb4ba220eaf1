//! The name of a class of work, as declared in the configuration.

use crate::text_name;

text_name!(
    /// The name of a class of work, as declared in the configuration.
    ClassName
);
