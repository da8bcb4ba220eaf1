//! The routes in force, with the pool and the metrics of each class.

use std::sync::Arc;

use jasminebend_routing::{
    RouteEntry,
    RouteTable, //
};

use crate::{
    class_metrics::ClassMetrics,
    service_pool::ServicePool, //
};

/// The routes in force, with the pool and the metrics of each class.
#[derive(Default)]
pub(crate) struct RouteSnapshot {
    table: RouteTable,
    classes: Vec<RequestClass>,
}

/// The class that a request belongs to.
#[derive(Clone)]
pub(crate) struct RequestClass {
    /// Its route and target.
    pub(crate) entry: Arc<RouteEntry>,
    /// Its service's slots.
    pub(crate) pool: Arc<ServicePool>,
    /// Its metrics.
    pub(crate) metrics: Arc<ClassMetrics>,
}

impl RouteSnapshot {
    /// Creates the snapshot of a table; `pool_of` finds or makes a class's pool.
    pub(crate) fn new<Pools>(table: RouteTable, mut pool_of: Pools) -> Self
    where
        Pools: FnMut(&RouteEntry) -> Arc<ServicePool>,
    {
        let classes = table
            .entries()
            .iter()
            .map(|entry| RequestClass {
                entry: Arc::new(entry.clone()),
                pool: pool_of(entry),
                metrics: Arc::new(ClassMetrics::new(&entry.class)),
            })
            .collect();
        Self { table, classes }
    }

    /// Returns the class of a request.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<&RequestClass> {
        let key = self.table.find(host, path)?;
        self.classes.get(key.index())
    }
}
