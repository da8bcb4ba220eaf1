//! The state of a worker in the pool.

use jasminebend_base::{
    DomainName,
    ResourceAmount,
    VmName, //
};

use crate::{
    ClassKey,
    WorkerCondition, //
};

/// The state of a worker in a [`crate::WorkerPool`].
#[derive(Clone, Debug)]
pub struct PoolWorker {
    /// The name of the worker's VM.
    pub name: VmName,
    /// The failure domain of the VM.
    pub domain: DomainName,
    /// The total capacity of the VM.
    pub capacity: ResourceAmount,
    /// The sum of the reservations of the tasks on the worker.
    pub reserved: ResourceAmount,
    /// Whether the worker's services are slowed, so that it gets no batch task that may slow them
    /// further.
    pub services_slowed: bool,
    /// Whether the worker may take tasks.
    pub condition: WorkerCondition,
    /// The classes of the tasks on the worker, each with its number of tasks.
    pub task_counts: Vec<(ClassKey, u16)>,
}

impl PoolWorker {
    /// Creates a silent worker without tasks.
    pub fn new(name: VmName, domain: DomainName, capacity: ResourceAmount) -> Self {
        Self {
            name,
            domain,
            capacity,
            reserved: ResourceAmount::default(),
            services_slowed: false,
            condition: WorkerCondition::Silent,
            task_counts: Vec::new(),
        }
    }

    /// Returns the capacity that is not reserved.
    pub fn free_capacity(&self) -> ResourceAmount {
        self.capacity.saturating_sub(self.reserved)
    }

    /// Returns the number of tasks of a class on the worker.
    pub fn task_count(&self, class: ClassKey) -> u16 {
        let found = self.task_counts.iter().find(|(key, _)| *key == class);
        found.map_or(0, |(_, count)| *count)
    }

    pub(crate) fn add_task(&mut self, class: ClassKey) {
        match self.task_counts.iter_mut().find(|(key, _)| *key == class) {
            Some((_, count)) => *count += 1,
            None => self.task_counts.push((class, 1)),
        }
    }

    pub(crate) fn remove_task(&mut self, class: ClassKey) {
        if let Some((_, count)) = self.task_counts.iter_mut().find(|(key, _)| *key == class) {
            *count = count.saturating_sub(1);
        }
        self.task_counts.retain(|(_, count)| *count > 0);
    }
}
