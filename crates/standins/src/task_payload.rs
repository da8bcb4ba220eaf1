//! What a stand-in worker runs.

use std::time::Duration;

use jasminebend_base::ResourceAmount;
use serde::{
    Deserialize,
    Serialize, //
};

const DEFAULT_WORK: Duration = Duration::from_secs(1);
const DEFAULT_LATENCY: Duration = Duration::from_millis(10);

/// What a stand-in worker runs: the payload of a task's order, in JSON. A payload that is none runs
/// for a second.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct TaskPayload {
    /// How long a batch task runs, alone and unthrottled, in milliseconds.
    pub work_millis: u64,
    /// The code that the task fails with at its end.
    pub fails: Option<i32>,
    /// What the task uses, if it isn't what was reserved.
    pub used: Option<ResourceAmount>,
    /// For a service task: the time that 99 of 100 of its requests stay below when it is alone on
    /// its VM, in milliseconds.
    pub latency_millis: u64,
}

impl Default for TaskPayload {
    fn default() -> Self {
        Self::new(DEFAULT_WORK)
    }
}

impl TaskPayload {
    /// Creates a payload that runs so long, alone and unthrottled.
    pub fn new(work: Duration) -> Self {
        Self {
            work_millis: millis(work),
            fails: None,
            used: None,
            latency_millis: millis(DEFAULT_LATENCY),
        }
    }

    /// Lets the task fail at its end.
    pub fn with_failure(mut self, code: i32) -> Self {
        self.fails = Some(code);
        self
    }

    /// Sets what the task uses, whatever was reserved.
    pub fn with_used(mut self, used: ResourceAmount) -> Self {
        self.used = Some(used);
        self
    }

    /// Sets the latency that a service task shows when it is alone.
    pub fn with_latency(mut self, latency: Duration) -> Self {
        self.latency_millis = millis(latency);
        self
    }

    /// Returns the payload as an order carries it.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads an order's payload.
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
