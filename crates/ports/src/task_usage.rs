//! A measurement of what a task uses.

use std::time::Duration;

use jasminebend_base::ResourceAmount;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::TaskAttempt;

/// A measurement of what a task uses, made before the report that contains it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskUsage {
    /// The id of the measured run.
    pub attempt: TaskAttempt,
    /// The resources that the run used.
    pub used: ResourceAmount,
    /// For a service task: the 99th percentile of the latency of its requests.
    pub latency_p99: Option<Duration>,
    /// For a batch task: the completed share of its work, in thousandths.
    pub progress_millis: Option<u32>,
    /// The age of the measurement at the time of the report.
    pub age: Duration,
}
