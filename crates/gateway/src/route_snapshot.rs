//! The routes in force, with the pool and the metrics of each class.

use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};

use jasminebend_base::ClassName;
use jasminebend_routing::{
    LatencyEstimate,
    RouteEntry,
    RouteTable, //
};

use crate::{
    class_metrics::ClassMetrics,
    service_pool::ServicePool, //
};

/// A second attempt is made beside a first one that takes longer than this share of them.
const HEDGE_QUANTILE: f64 = 0.95;

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
    /// How long its requests take from their slot to their answer. It is the class's own: beside a
    /// class of slow requests, those of a fast one would else wait long for a second attempt.
    pub(crate) latency: Arc<Mutex<LatencyEstimate>>,
}

impl RequestClass {
    /// Locks the latency; held for a few steps only.
    pub(crate) fn latency(&self) -> MutexGuard<'_, LatencyEstimate> {
        self.latency.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RouteSnapshot {
    /// Creates the snapshot of a table; `pool_of` finds or makes a class's pool.
    /// What was learned of a class in `earlier` is kept.
    pub(crate) fn new<Pools>(table: RouteTable, earlier: &Self, mut pool_of: Pools) -> Self
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
                latency: earlier.latency_of(&entry.class),
            })
            .collect();
        Self { table, classes }
    }

    fn latency_of(&self, name: &ClassName) -> Arc<Mutex<LatencyEstimate>> {
        let known = self.classes.iter().find(|class| class.entry.class == *name);
        known.map_or_else(
            || Arc::new(Mutex::new(LatencyEstimate::new(HEDGE_QUANTILE))),
            |class| Arc::clone(&class.latency),
        )
    }

    /// Returns the class of a request.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<&RequestClass> {
        let key = self.table.find_route(host, path)?;
        self.classes.get(key.index())
    }
}
