//! The name of a failure domain.

use crate::text_name;

text_name!(
    /// The name of a failure domain.
    DomainName
);
