//! What a task was measured to use.

use std::time::Duration;

use jasminebend_base::ResourceAmount;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::TaskAttempt;

/// What a task was measured to use, some time ago.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskUsage {
    /// The run that was measured.
    pub attempt: TaskAttempt,
    /// What it used.
    pub used: ResourceAmount,
    /// For a service task: the time that 99 of 100 of its requests stayed below.
    pub latency_p99: Option<Duration>,
    /// For a batch task: thousandths of its work that are done.
    pub progress_millis: Option<u32>,
    /// How long before the report the measurement was made.
    pub age: Duration,
}
