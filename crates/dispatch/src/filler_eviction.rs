//! Log entry for the eviction of fillers.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    TaskKey,
    WorkerKey, //
};

/// Log entry: fillers were evicted because a service answered too slowly.
#[derive(Clone, Debug, PartialEq)]
pub struct FillerEviction {
    /// When the fillers were evicted, on the owner's process clock.
    pub evicted_at: Duration,
    /// The worker that the service runs on.
    pub worker: WorkerKey,
    /// The service's task for whose sake the fillers were evicted.
    pub service: TaskKey,
    /// The service's image.
    pub image: Option<Arc<str>>,
    /// The service's tail latency, in percent of its target.
    pub tail_percent: u64,
    /// The service's forecast load without fillers, as a share.
    pub expected_load: f64,
    /// The worker's fillers, each with its image and its estimated effect on the service's load.
    pub fillers: Vec<(TaskKey, Option<Arc<str>>, f64)>,
    /// The number of fillers that were evicted.
    pub evicted_count: usize,
}
