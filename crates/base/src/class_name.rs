//! The name of a class of work, as declared in the configuration.

use crate::name_newtype;

name_newtype!(
    /// The name of a class of work, as declared in the configuration.
    ClassName
);
