//! A task of the simulated cluster.

use jasminebend_base::{
    ClassKind,
    ResourceAmount, //
};
use jasminebend_placement::{
    ClassKey,
    WorkerKey, //
};

/// A task of the simulated cluster. All times and durations are in seconds, times from the start of
/// the simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SimulatedTask {
    pub(crate) class: ClassKey,
    pub(crate) kind: ClassKind,
    pub(crate) declared: ResourceAmount,
    /// What the task uses at full load.
    pub(crate) actual: ResourceAmount,
    /// The run time left at full speed on a worker that is not overloaded; infinite for a service.
    pub(crate) remaining_seconds: f64,
    /// The total run time at full speed.
    pub(crate) total_seconds: f64,
    pub(crate) arrival: f64,
    /// The deadline; meaningless for a service.
    pub(crate) deadline: f64,
    pub(crate) worker: Option<WorkerKey>,
    /// What is reserved on the worker.
    pub(crate) reserved: ResourceAmount,
    /// The share of full speed to which the task is throttled.
    pub(crate) speed: f64,
    pub(crate) done: bool,
}
