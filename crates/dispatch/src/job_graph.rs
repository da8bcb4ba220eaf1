//! A job as it is submitted: steps of tasks, and what must end before what.

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

/// The most tasks that one occurrence of a job may have: what one owner's memory is planned for.
pub(crate) const MAX_TASKS: u64 = 20_000;
/// The most steps of a job; a step's number has 16 bits.
pub(crate) const MAX_STEPS: usize = 256;
/// The longest payload, in bytes.
pub(crate) const MAX_PAYLOAD: usize = 4_000;

/// A job as it is submitted: steps of tasks, and what must end before what.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobGraph {
    /// What its tasks are told; the workers' own business.
    pub payload: Arc<str>,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When it runs, if it is repeated.
    pub schedule: Option<JobSchedule>,
}

impl JobGraph {
    /// Checks that every task of the job can have its turn.
    ///
    /// # Errors
    ///
    /// [`GraphError`] for the first fault.
    pub fn check(&self) -> Result<(), GraphError> {
        if self.payload.len() > MAX_PAYLOAD {
            return Err(GraphError::Payload {
                bytes: self.payload.len(),
            });
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(GraphError::Steps {
                count: self.steps.len(),
            });
        }
        self.check_counts()?;
        self.check_order()
    }

    /// Returns how many tasks one occurrence has.
    pub fn task_count(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Returns how often the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.as_ref().map_or(1, |schedule| schedule.count)
    }

    /// Tells whether it runs until it is cancelled.
    pub fn lasts(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }

    /// Returns, for each step, the declared time of the longest chain that begins with it.
    pub fn remaining_chains(&self) -> Vec<Duration> {
        let mut chains: Vec<Duration> = self.steps.iter().map(|step| step.estimate).collect();
        for number in self.ordered().into_iter().rev() {
            for &before in &self.steps[number].after {
                let before = usize::from(before);
                let through = self.steps[before].estimate + chains[number];
                chains[before] = chains[before].max(through);
            }
        }
        chains
    }

    fn check_counts(&self) -> Result<(), GraphError> {
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(GraphError::NoTasks { step: number });
            }
        }
        match self.task_count() {
            count if count > MAX_TASKS => Err(GraphError::Tasks { count }),
            _ => Ok(()),
        }
    }

    fn check_order(&self) -> Result<(), GraphError> {
        for (number, step) in self.steps.iter().enumerate() {
            for &before in &step.after {
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

    /// Returns the steps in an order in which each comes after those that it waits for; steps on a
    /// cycle are left out.
    fn ordered(&self) -> Vec<usize> {
        let mut placed = vec![false; self.steps.len()];
        let mut order = Vec::with_capacity(self.steps.len());
        loop {
            let before = order.len();
            for (number, step) in self.steps.iter().enumerate() {
                let ready = step.after.iter().all(|&step| placed[usize::from(step)]);
                if !placed[number] && ready {
                    placed[number] = true;
                    order.push(number);
                }
            }
            if order.len() == before {
                return order;
            }
        }
    }
}
