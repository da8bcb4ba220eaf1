//! Matching of requests to service classes.

use std::cmp::Reverse;

use jasminebend_base::Configuration;

use crate::{
    RouteEntry,
    RouteKey,
    normalize_path::normalize_path, //
};

/// Matches requests to service classes.
///
/// If several routes match a request, the one with the longest path prefix wins; among those, a
/// route with a host precedes one without; then the order of the configuration decides.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    entries: Vec<RouteEntry>,
}

impl RouteTable {
    /// Creates the route table of the service classes in `configuration`.
    pub fn new(configuration: &Configuration) -> Self {
        let mut entries: Vec<_> = configuration
            .classes
            .iter()
            .filter_map(RouteEntry::from_class)
            .collect();
        entries.sort_by_key(|entry| Reverse((entry.path_prefix.len(), entry.host.is_some())));
        Self { entries }
    }

    /// Returns the key of the route that matches a request, or `None` if none does; `host` must not
    /// contain a port.
    pub fn find_route(&self, host: &str, path: &str) -> Option<RouteKey> {
        let path = normalize_path(path);
        let index = self
            .entries
            .iter()
            .position(|entry| entry.matches(host, &path))?;
        u32::try_from(index).ok().map(RouteKey)
    }

    /// Returns the entry for a key that this table returned.
    pub fn entry(&self, key: RouteKey) -> Option<&RouteEntry> {
        self.entries.get(key.index())
    }

    /// Returns all entries, in order of precedence.
    pub fn entries(&self) -> &[RouteEntry] {
        &self.entries
    }
}
