//! The name of a service, whose requests are served by endpoints.

use crate::name_newtype;

name_newtype!(
    /// The name of a service, whose requests are served by endpoints.
    ServiceName
);
