//! The name of a service, whose requests are served by endpoints.

use crate::text_name;

text_name!(
    /// The name of a service, whose requests are served by endpoints.
    ServiceName
);
