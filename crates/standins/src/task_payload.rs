//! The payload of a task on a stand-in worker.

use std::time::Duration;

use jasminebend_base::ResourceAmount;
use serde::{
    Deserialize,
    Serialize, //
};

const DEFAULT_WORK: Duration = Duration::from_secs(1);
const DEFAULT_LATENCY: Duration = Duration::from_millis(10);

/// The payload of a task on a stand-in worker, sent as JSON in the start order. A payload that can't be parsed counts
/// as the default one, which runs for one second.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct TaskPayload {
    /// How long a batch task runs without interference and throttling, in milliseconds.
    pub work_millis: u64,
    /// The failure code with which the task ends; `None` if it finishes.
    pub fails: Option<i32>,
    /// The resources that the task reports as used; `None` if they equal the reserved ones.
    pub used: Option<ResourceAmount>,
    /// For a service task: the 99th percentile of its request latency without interference, in milliseconds.
    pub latency_millis: u64,
}

impl Default for TaskPayload {
    fn default() -> Self {
        Self::new(DEFAULT_WORK)
    }
}

impl TaskPayload {
    /// Creates a payload of a task that runs for `work` without interference and throttling.
    pub fn new(work: Duration) -> Self {
        Self {
            work_millis: millis(work),
            fails: None,
            used: None,
            latency_millis: millis(DEFAULT_LATENCY),
        }
    }

    /// Makes the task end with this failure code.
    pub fn with_failure(mut self, code: i32) -> Self {
        self.fails = Some(code);
        self
    }

    /// Sets the resources that the task reports as used, independently of the reserved ones.
    pub fn with_used(mut self, used: ResourceAmount) -> Self {
        self.used = Some(used);
        self
    }

    /// Sets the 99th percentile of a service task's latency without interference.
    pub fn with_latency(mut self, latency: Duration) -> Self {
        self.latency_millis = millis(latency);
        self
    }

    /// Returns the payload as JSON.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Parses the payload of a start order. Returns the default payload if the text is invalid.
    pub fn from_text(text: &str) -> Self {
        serde_json::from_str(text).unwrap_or_default()
    }

    pub(crate) fn work_seconds(&self) -> f64 {
        Duration::from_millis(self.work_millis).as_secs_f64()
    }

    pub(crate) fn latency(&self) -> Duration {
        Duration::from_millis(self.latency_millis)
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
