//! A worker as the pool sees it.

use jasminebend_base::{
    DomainName,
    ResourceAmount,
    VmName, //
};

use crate::{
    ClassKey,
    WorkerCondition, //
};

/// A worker as the pool sees it.
#[derive(Clone, Debug)]
pub struct PoolWorker {
    /// Its VM.
    pub name: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// What it can hold.
    pub capacity: ResourceAmount,
    /// What its tasks take together.
    pub reserved: ResourceAmount,
    /// Whether its services are slowed, so that no batch task that may hurt them is added.
    pub pressed: bool,
    /// Whether it may take tasks.
    pub condition: WorkerCondition,
    /// The classes that it runs, with the number of tasks of each.
    pub company: Vec<(ClassKey, u16)>,
}

impl PoolWorker {
    /// Creates a silent worker that runs nothing.
    pub fn new(name: VmName, domain: DomainName, capacity: ResourceAmount) -> Self {
        Self {
            name,
            domain,
            capacity,
            reserved: ResourceAmount::default(),
            pressed: false,
            condition: WorkerCondition::Silent,
            company: Vec::new(),
        }
    }

    /// Returns what is left to give.
    pub fn room(&self) -> ResourceAmount {
        self.capacity.saturating_sub(self.reserved)
    }

    /// Returns the number of its tasks of a class.
    pub fn count(&self, class: ClassKey) -> u16 {
        let found = self.company.iter().find(|(key, _)| *key == class);
        found.map_or(0, |(_, count)| *count)
    }

    pub(crate) fn join(&mut self, class: ClassKey) {
        match self.company.iter_mut().find(|(key, _)| *key == class) {
            Some((_, count)) => *count += 1,
            None => self.company.push((class, 1)),
        }
    }

    pub(crate) fn part(&mut self, class: ClassKey) {
        if let Some((_, count)) = self.company.iter_mut().find(|(key, _)| *key == class) {
            *count = count.saturating_sub(1);
        }
        self.company.retain(|(_, count)| *count > 0);
    }
}
