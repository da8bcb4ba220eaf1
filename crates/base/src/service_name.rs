//! The name of a service that endpoints serve.

use crate::text_name;

text_name!(
    /// The name of a service that endpoints serve.
    ServiceName
);
