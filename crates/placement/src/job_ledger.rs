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
    TaskEnd,
    TaskId,
    TaskRecord,
    TaskState, //
};

/// The durable state of a shard's jobs: what replaying its journal gives. The same transitions give
/// the same ledger, and a transition that does not follow is refused.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobLedger {
    jobs: IndexMap<JobId, JobRecord>,
}

impl JobLedger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a job that was not yet removed.
    pub fn job(&self, job: JobId) -> Option<&JobRecord> {
        self.jobs.get(&job)
    }

    /// Returns a task of such a job.
    pub fn task(&self, task: TaskId) -> Option<&TaskRecord> {
        self.jobs.get(&task.job)?.tasks.get(task.index as usize)
    }

    /// Returns all such jobs.
    pub fn jobs(&self) -> impl Iterator<Item = (JobId, &JobRecord)> {
        self.jobs.iter().map(|(job, record)| (*job, record))
    }

    /// Makes a transition. A job of which nothing is left to do stays until it is closed.
    ///
    /// # Errors
    ///
    /// Returns why the transition does not follow; the ledger is then unchanged.
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
                let place = TaskState::Placed {
                    worker: worker.clone(),
                    reserved: *reserved,
                };
                self.place(*task, *attempt, place)
            }
            JobTransition::Ended {
                task,
                attempt,
                end,
                ran_ms,
            } => self.end(*task, *attempt, end, *ran_ms),
            JobTransition::Cancelled { job } => self.cancel(*job),
            JobTransition::Closed { job } => self.close(*job),
            JobTransition::Held { job, reason } => {
                self.record(*job)?.held = Some(reason.clone());
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

    fn place(&mut self, task: TaskId, attempt: u32, place: TaskState) -> Result<(), LedgerError> {
        let record = self.record(task.job)?;
        let found = task_of(record, task, attempt)?;
        if found.state != TaskState::Queued || found.attempt + 1 != attempt {
            return Err(LedgerError::OutOfOrder { task, attempt });
        }
        found.state = place;
        found.attempt = attempt;
        Ok(())
    }

    fn end(
        &mut self,
        task: TaskId,
        attempt: u32,
        end: &TaskEnd,
        ran_ms: u64,
    ) -> Result<(), LedgerError> {
        let record = self.record(task.job)?;
        let cancelled = record.cancelled;
        let found = task_of(record, task, attempt)?;
        let running = matches!(found.state, TaskState::Placed { .. });
        if !running || found.attempt != attempt {
            return Err(LedgerError::OutOfOrder { task, attempt });
        }
        found.end(end, cancelled, ran_ms);
        if found.state != TaskState::Queued {
            record.open -= 1;
        }
        Ok(())
    }

    fn cancel(&mut self, job: JobId) -> Result<(), LedgerError> {
        let record = self.record(job)?;
        record.cancelled = true;
        for task in &mut record.tasks {
            if task.state == TaskState::Queued {
                task.state = TaskState::Cancelled;
                record.open -= 1;
            }
        }
        Ok(())
    }

    fn close(&mut self, job: JobId) -> Result<(), LedgerError> {
        if !self.record(job)?.ended() {
            return Err(LedgerError::OpenTasks { job });
        }
        self.jobs.swap_remove(&job);
        Ok(())
    }

    fn record(&mut self, job: JobId) -> Result<&mut JobRecord, LedgerError> {
        let found = self.jobs.get_mut(&job);
        found.ok_or(LedgerError::UnknownJob { job })
    }
}

fn task_of(
    record: &mut JobRecord,
    task: TaskId,
    attempt: u32,
) -> Result<&mut TaskRecord, LedgerError> {
    let found = record.tasks.get_mut(task.index as usize);
    found.ok_or(LedgerError::OutOfOrder { task, attempt })
}
