//! The durable state of a shard's jobs.

use indexmap::IndexMap;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    JobId,
    JobRecord,
    JobTransition,
    LedgerError,
    RunOutcome,
    TaskId,
    TaskRecord,
    TaskState, //
};

/// The durable state of a shard's jobs, rebuilt by replaying the shard's journal. The same
/// transitions always give the same ledger, and a transition that is invalid in the current state
/// is rejected.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobLedger {
    jobs: IndexMap<JobId, JobRecord>,
}

impl JobLedger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a job, or `None` if it was never accepted or is already closed.
    pub fn job(&self, job: JobId) -> Option<&JobRecord> {
        self.jobs.get(&job)
    }

    /// Returns a task, or `None` if its job is unknown or closed, or has no task of this index.
    pub fn task(&self, task: TaskId) -> Option<&TaskRecord> {
        self.jobs.get(&task.job)?.tasks.get(task.index as usize)
    }

    /// Returns all jobs that are not closed.
    pub fn jobs(&self) -> impl Iterator<Item = (JobId, &JobRecord)> {
        self.jobs.iter().map(|(job, record)| (*job, record))
    }

    /// Applies a transition. A job whose tasks are all finished or cancelled stays until it is
    /// closed.
    ///
    /// # Errors
    ///
    /// Returns why the transition is invalid in the current state; the ledger is then unchanged.
    pub fn apply(&mut self, transition: &JobTransition) -> Result<(), LedgerError> {
        match transition {
            JobTransition::Accepted {
                job,
                spec,
                kind,
                submitted_ms,
            } => {
                let record = JobRecord::new((**spec).clone(), *kind, *submitted_ms);
                self.accept(*job, record)
            }
            JobTransition::Placed {
                task,
                attempt,
                worker,
                reserved,
            } => {
                let placed = TaskState::Placed {
                    worker: worker.clone(),
                    reserved: *reserved,
                };
                self.place_run(*task, *attempt, placed)
            }
            JobTransition::Ended {
                task,
                attempt,
                end,
                ran_ms,
            } => self.end_run(*task, *attempt, end, *ran_ms),
            JobTransition::Cancelled { job } => self.cancel(*job),
            JobTransition::Closed { job } => self.close(*job),
            JobTransition::Held { job, reason } => {
                self.job_mut(*job)?.hold_reason = Some(reason.clone());
                Ok(())
            }
        }
    }

    fn accept(&mut self, job: JobId, record: JobRecord) -> Result<(), LedgerError> {
        if self.jobs.contains_key(&job) {
            return Err(LedgerError::DuplicateJob { job });
        }
        self.jobs.insert(job, record);
        Ok(())
    }

    fn place_run(
        &mut self,
        task: TaskId,
        attempt: u32,
        placed: TaskState,
    ) -> Result<(), LedgerError> {
        let record = self.job_mut(task.job)?;
        let task_record = task_mut(record, task, attempt)?;
        if task_record.state != TaskState::Queued || task_record.attempt + 1 != attempt {
            return Err(LedgerError::OutOfOrder { task, attempt });
        }
        task_record.state = placed;
        task_record.attempt = attempt;
        Ok(())
    }

    fn end_run(
        &mut self,
        task: TaskId,
        attempt: u32,
        end: &RunOutcome,
        ran_ms: u64,
    ) -> Result<(), LedgerError> {
        let record = self.job_mut(task.job)?;
        let cancelled = record.cancelled;
        let task_record = task_mut(record, task, attempt)?;
        let running = matches!(task_record.state, TaskState::Placed { .. });
        if !running || task_record.attempt != attempt {
            return Err(LedgerError::OutOfOrder { task, attempt });
        }
        task_record.end_run(end, cancelled, ran_ms);
        if task_record.state != TaskState::Queued {
            record.open_tasks -= 1;
        }
        Ok(())
    }

    fn cancel(&mut self, job: JobId) -> Result<(), LedgerError> {
        let record = self.job_mut(job)?;
        record.cancelled = true;
        for task in &mut record.tasks {
            if task.state == TaskState::Queued {
                task.state = TaskState::Cancelled;
                record.open_tasks -= 1;
            }
        }
        Ok(())
    }

    fn close(&mut self, job: JobId) -> Result<(), LedgerError> {
        if !self.job_mut(job)?.is_complete() {
            return Err(LedgerError::OpenTasks { job });
        }
        self.jobs.swap_remove(&job);
        Ok(())
    }

    fn job_mut(&mut self, job: JobId) -> Result<&mut JobRecord, LedgerError> {
        let record = self.jobs.get_mut(&job);
        record.ok_or(LedgerError::UnknownJob { job })
    }
}

fn task_mut(
    record: &mut JobRecord,
    task: TaskId,
    attempt: u32,
) -> Result<&mut TaskRecord, LedgerError> {
    let task_record = record.tasks.get_mut(task.index as usize);
    task_record.ok_or(LedgerError::OutOfOrder { task, attempt })
}
