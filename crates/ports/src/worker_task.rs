//! A run as its worker knows it.

use jasminebend_base::{
    ClassName,
    ResourceAmount, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    TaskAttempt,
    TaskEvent, //
};

/// A run as its worker knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerTask {
    /// The run.
    pub attempt: TaskAttempt,
    /// Its class.
    pub class: ClassName,
    /// What the worker set aside for it.
    pub reserved: ResourceAmount,
    /// The share of its speed that a throttle leaves it, in thousandths.
    pub speed_millis: u32,
    /// How it ended; `None` while it runs.
    pub ended: Option<TaskEvent>,
}
