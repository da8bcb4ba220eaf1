//! The name of a failure domain, as declared in the configuration.

use crate::text_name;

text_name!(
    /// The name of a failure domain, as declared in the configuration.
    DomainName
);
