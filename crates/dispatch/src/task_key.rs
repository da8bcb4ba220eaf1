//! Identifiers of steps and tasks.

use std::str::FromStr;

use derive_more::Display;

use crate::JobKey;

/// Identifies one step of one occurrence of a job.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{job}.{occurrence}.{step}")]
pub struct StepKey {
    /// The job that the step belongs to.
    pub job: JobKey,
    /// The number of the occurrence of a repeated job, from 0; 0 for a job that runs once.
    pub occurrence: u32,
    /// The step's number, from 0.
    pub step: u16,
}

/// Identifies one task of a step.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{step}.{index}")]
pub struct TaskKey {
    /// The step that the task belongs to.
    pub step: StepKey,
    /// The task's number in its step, from 0.
    pub index: u32,
}

/// Error for a text that is not a valid task identifier.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("a task's identity is a job's and three numbers, with dots between")]
pub struct TaskKeyError;

impl StepKey {
    /// Returns the key of one of the step's tasks.
    pub fn task(self, index: u32) -> TaskKey {
        TaskKey { step: self, index }
    }
}

impl TaskKey {
    /// Returns the job that the task belongs to.
    pub fn job(self) -> JobKey {
        self.step.job
    }
}

impl FromStr for TaskKey {
    type Err = TaskKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('.');
        let key = Self {
            step: StepKey {
                job: part(&mut parts)?,
                occurrence: part(&mut parts)?,
                step: part(&mut parts)?,
            },
            index: part(&mut parts)?,
        };
        match parts.next() {
            None => Ok(key),
            Some(_) => Err(TaskKeyError),
        }
    }
}

/// Parses the next of the dot-separated parts.
fn part<'a, Value>(parts: &mut impl Iterator<Item = &'a str>) -> Result<Value, TaskKeyError>
where
    Value: FromStr,
{
    let text = parts.next().ok_or(TaskKeyError)?;
    text.parse().map_err(|_| TaskKeyError)
}
