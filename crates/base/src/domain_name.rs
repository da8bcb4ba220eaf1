//! The name of a failure domain, as declared in the configuration.

use crate::name_newtype;

name_newtype!(
    /// The name of a failure domain, as declared in the configuration.
    DomainName
);
