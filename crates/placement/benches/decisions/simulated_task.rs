//! A task of the fake cluster.

use jasminebend_base::{
    ClassKind,
    ResourceAmount, //
};
use jasminebend_placement::{
    ClassKey,
    WorkerKey, //
};

/// A task of the fake cluster.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SimulatedTask {
    pub(crate) class: ClassKey,
    pub(crate) kind: ClassKind,
    pub(crate) declared: ResourceAmount,
    pub(crate) actual: ResourceAmount,
    /// The seconds of work left, alone and unthrottled; a service's never ends.
    pub(crate) left: f64,
    pub(crate) whole: f64,
    pub(crate) arrives: f64,
    pub(crate) due: f64,
    pub(crate) worker: Option<WorkerKey>,
    pub(crate) counted: ResourceAmount,
    pub(crate) speed: f64,
    pub(crate) done: bool,
}
