//! What a task asks of a place.

use jasminebend_base::{
    ClassKind,
    DomainName,
    ResourceAmount,
    VmName, //
};

use crate::ClassKey;

/// What a task asks of a place.
#[derive(Clone, Copy, Debug)]
pub struct TaskDemand<'a> {
    /// Its class.
    pub class: ClassKey,
    /// Whether it serves requests or is batch work.
    pub kind: ClassKind,
    /// What it will take.
    pub size: ResourceAmount,
    /// The workers that it failed on, to be avoided.
    pub failed_on: &'a [VmName],
    /// The failure domains of its job's other tasks, with their number; for services.
    pub spread: &'a [(DomainName, u32)],
    /// Whether it has next to no time left until its latest start.
    pub urgent: bool,
}
