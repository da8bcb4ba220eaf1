//! [`RouteSnapshot`]: the routes in force, with the pool and the metrics of each class.

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

/// A hedged attempt is sent after this quantile of the latency of the class.
const HEDGE_QUANTILE: f64 = 0.95;

/// The routes in force, with the pool and the metrics of each class.
#[derive(Default)]
pub(crate) struct RouteSnapshot {
    table: RouteTable,
    classes: Vec<RequestClass>,
}

/// The class of a request, with its pool, metrics and latency.
#[derive(Clone)]
pub(crate) struct RequestClass {
    /// The route, the latency target and the idempotency rule.
    pub(crate) entry: Arc<RouteEntry>,
    /// The pool of the service.
    pub(crate) pool: Arc<ServicePool>,
    /// The metrics of the class.
    pub(crate) metrics: Arc<ClassMetrics>,
    /// The time from taking a slot to the response. It is estimated for each class: together with a
    /// class of slow requests, those of a fast class would wait too long for a hedged attempt.
    pub(crate) latency: Arc<Mutex<LatencyEstimate>>,
}

impl RequestClass {
    /// Locks the latency estimate. The lock must be held only briefly.
    pub(crate) fn latency(&self) -> MutexGuard<'_, LatencyEstimate> {
        self.latency.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RouteSnapshot {
    /// Creates the snapshot of a route table. `pool_of` finds or creates the pool of a class.
    /// Latency estimates of classes in `earlier` are kept.
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
                latency: earlier.latency_estimate_for(&entry.class),
            })
            .collect();
        Self { table, classes }
    }

    fn latency_estimate_for(&self, name: &ClassName) -> Arc<Mutex<LatencyEstimate>> {
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
