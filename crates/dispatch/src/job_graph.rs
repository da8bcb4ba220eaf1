//! Definition of a job: its steps and their dependencies.

use std::{
    sync::Arc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    GraphError,
    JobSchedule,
    StepSpec, //
};

/// The maximum number of tasks in one occurrence of a job; an owner's memory is planned for it.
pub(crate) const MAX_TASKS: u64 = 20_000;
/// The maximum declared run time of a task.
pub(crate) const MAX_ESTIMATE: Duration = Duration::from_secs(365 * 24 * 3600);
/// The maximum length of a payload.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 4_000;

/// Definition of a job as it is submitted: its steps and their dependencies.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobGraph {
    /// The data passed to every task; opaque to the dispatcher.
    pub payload: Arc<str>,
    /// The steps; a step is identified by its index.
    pub steps: Vec<StepSpec>,
    /// The schedule of a repeated job; `None` for a job that runs once.
    pub schedule: Option<JobSchedule>,
}

impl JobGraph {
    /// The maximum number of steps; a step's number has 16 bits.
    pub const MAX_STEPS: usize = 256;

    /// Checks that the job is within the limits and that its steps can be ordered by their
    /// dependencies.
    ///
    /// # Errors
    ///
    /// Returns the first [`GraphError`] found.
    pub fn validate(&self) -> Result<(), GraphError> {
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(GraphError::Payload {
                bytes: self.payload.len(),
            });
        }
        if self.steps.is_empty() || self.steps.len() > Self::MAX_STEPS {
            return Err(GraphError::Steps {
                count: self.steps.len(),
            });
        }
        self.check_counts()?;
        self.check_order()
    }

    /// Returns the memory that the job takes beside `JobGraph` itself, in bytes.
    pub fn heap_bytes(&self) -> usize {
        let steps = self.steps.iter().map(StepSpec::heap_bytes);
        self.payload.len() + size_of_val(self.steps.as_slice()) + steps.sum::<usize>()
    }

    /// Returns the number of tasks in one occurrence.
    pub fn task_count(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.as_ref().map_or(1, |schedule| schedule.count)
    }

    /// Returns whether the job has a long-running step and so runs until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Returns, for each step, the declared run time of the longest dependency chain that begins
    /// with it. Longer run times than are accepted count as the longest one: an earlier version may have accepted them.
    pub fn remaining_chains(&self) -> Vec<Duration> {
        let estimates = self
            .steps
            .iter()
            .map(|step| step.estimate.min(MAX_ESTIMATE));
        let estimates: Vec<Duration> = estimates.collect();
        let mut chains = estimates.clone();
        for number in self.ordered().into_iter().rev() {
            for &before in &self.steps[number].dependencies {
                let before = usize::from(before);
                let chain = estimates[before] + chains[number];
                chains[before] = chains[before].max(chain);
            }
        }
        chains
    }

    /// Returns whether the steps can be ordered by their dependencies.
    pub fn has_order(&self) -> bool {
        self.check_order().is_ok()
    }

    fn check_counts(&self) -> Result<(), GraphError> {
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(GraphError::NoTasks { step: number });
            }
            if step.estimate > MAX_ESTIMATE {
                return Err(GraphError::Estimate { step: number });
            }
        }
        match self.task_count() {
            count if count > MAX_TASKS => Err(GraphError::Tasks { count }),
            _ => Ok(()),
        }
    }

    fn check_order(&self) -> Result<(), GraphError> {
        for (number, step) in self.steps.iter().enumerate() {
            for &before in &step.dependencies {
                if usize::from(before) >= self.steps.len() {
                    return Err(GraphError::UnknownStep {
                        step: number,
                        before,
                    });
                }
            }
        }
        if self.ordered().len() < self.steps.len() {
            return Err(GraphError::Cycle);
        }
        Ok(())
    }

    /// Returns the steps in topological order; steps on a cycle, or that depend on one, are left
    /// out.
    fn ordered(&self) -> Vec<usize> {
        let mut is_ordered = vec![false; self.steps.len()];
        let mut order = Vec::with_capacity(self.steps.len());
        loop {
            let before = order.len();
            for (number, step) in self.steps.iter().enumerate() {
                let ready = step
                    .dependencies
                    .iter()
                    .all(|&step| is_ordered[usize::from(step)]);
                if !is_ordered[number] && ready {
                    is_ordered[number] = true;
                    order.push(number);
                }
            }
            if order.len() == before {
                return order;
            }
        }
    }
}
