//! The requirements of a task on its worker.

use jasminebend_base::{
    ClassKind,
    DomainName,
    ResourceAmount,
    VmName, //
};

use crate::ClassKey;

/// The requirements of a task on the worker that is to run it.
#[derive(Clone, Copy, Debug)]
pub struct TaskDemand<'a> {
    /// The class of the task.
    pub class: ClassKey,
    /// Whether the task is a service or batch work.
    pub kind: ClassKind,
    /// The resources to reserve for the task.
    pub size: ResourceAmount,
    /// The workers on which the task failed, which are excluded.
    pub failed_on: &'a [VmName],
    /// The number of the job's other tasks in each failure domain; used for services only.
    pub job_tasks_by_domain: &'a [(DomainName, u32)],
    /// Whether next to no time is left until the latest start.
    pub urgent: bool,
}
