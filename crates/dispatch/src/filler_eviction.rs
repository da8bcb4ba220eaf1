//! Log entry for the eviction of fillers.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    TaskKey,
    WorkerKey, //
};

/// Log entry: decision to evict fillers because a service answers too slowly, or is forecast to and
/// throttling is not enough. Throttling itself, and the eviction of all fillers beside a service
/// that has been too slow for too long, are not logged by it.
#[derive(Clone, Debug, PartialEq)]
pub struct FillerEviction {
    /// When the eviction was decided, on the owner's process clock.
    pub evicted_at: Duration,
    /// The worker that the service runs on.
    pub worker: WorkerKey,
    /// The service's task for whose sake it was decided.
    pub service: TaskKey,
    /// The service's image.
    pub image: Option<Arc<str>>,
    /// The service's tail latency, in percent of its target.
    pub tail_percent: u64,
    /// The service's forecast load without fillers, as a share.
    pub expected_load: f64,
    /// The worker's fillers, each with its image and its estimated effect on the service's load.
    pub fillers: Vec<(TaskKey, Option<Arc<str>>, f64)>,
    /// The number of fillers that were evicted; 0 if no filler qualified.
    pub evicted_count: usize,
}
