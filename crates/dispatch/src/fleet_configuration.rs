//! Operator's configuration of queues and pools.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::{
    PoolRule,
    QueueRule, //
};

/// Operator's configuration of queues and pools.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfiguration {
    /// The configuration's version; a higher one is newer.
    pub version: u64,
    /// The queues, by name.
    pub queues: IndexMap<Arc<str>, QueueRule>,
    /// The pools, by name.
    pub pools: IndexMap<Arc<str>, PoolRule>,
    /// The maximum size of a caller's request body, in bytes.
    pub body_limit: usize,
}

impl FleetConfiguration {
    /// Returns the queue that a request is for and the rest of its path. Among the queues of the
    /// host whose prefix matches the path, the longest prefix wins.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&QueueRule, &'a str)> {
        self.queues
            .values()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter_map(|queue| Some((queue, path.strip_prefix(queue.prefix.as_str())?)))
            .max_by_key(|(queue, _)| queue.prefix.len())
    }
}
