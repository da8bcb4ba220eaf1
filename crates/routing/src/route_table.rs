//! Finds the class that a request belongs to.

use std::cmp::Reverse;

use jasminebend_base::Configuration;

use crate::{
    ClassKey,
    RouteEntry,
    plain_path::plain_path, //
};

/// Finds the class that a request belongs to: the longest path prefix wins, then a route that
/// names the host, then the order of the configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    entries: Vec<RouteEntry>,
}

impl RouteTable {
    /// Creates the table of a configuration's service classes.
    pub fn new(configuration: &Configuration) -> Self {
        let mut entries: Vec<_> = configuration
            .classes
            .iter()
            .filter_map(RouteEntry::of)
            .collect();
        entries.sort_by_key(|entry| Reverse((entry.prefix.len(), entry.host.is_some())));
        Self { entries }
    }

    /// Returns the class of a request; `host` is without its port.
    pub fn find(&self, host: &str, path: &str) -> Option<ClassKey> {
        let path = plain_path(path);
        let index = self
            .entries
            .iter()
            .position(|entry| entry.takes(host, &path))?;
        u32::try_from(index).ok().map(ClassKey)
    }

    /// Returns what is known of a class.
    pub fn entry(&self, key: ClassKey) -> Option<&RouteEntry> {
        self.entries.get(key.index())
    }

    /// Returns all classes.
    pub fn entries(&self) -> &[RouteEntry] {
        &self.entries
    }
}
