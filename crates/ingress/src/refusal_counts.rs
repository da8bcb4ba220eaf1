//! [`RefusalCounts`]: what was refused or closed to stay within the limits.

use derive_more::Display;

/// What was refused or closed to stay within the limits of a listener.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[display(
    "{closed_for_connections} closed for newer connections, {closed_for_memory} closed for the memory of others, \
     {refused_connections} connections and {refused_requests} requests refused"
)]
pub struct RefusalCounts {
    /// Connections that waited the longest for a request, closed for newer ones.
    pub closed_for_connections: u64,
    /// Connections with the oldest incomplete body, closed for the memory of other requests.
    pub closed_for_memory: u64,
    /// Connections that were closed at once: every other one had a request in progress.
    pub refused_connections: u64,
    /// Requests that were refused: every other request that held memory was complete.
    pub refused_requests: u64,
}

impl RefusalCounts {
    /// Returns whether nothing was refused or closed.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns each count with the name under which it is reported.
    pub fn by_reason(&self) -> [(&'static str, u64); 4] {
        [
            ("closed_for_connections", self.closed_for_connections),
            ("closed_for_memory", self.closed_for_memory),
            ("refused_connections", self.refused_connections),
            ("refused_requests", self.refused_requests),
        ]
    }
}
