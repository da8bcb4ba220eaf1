//! The status of a job, as reported to callers.

use jasminebend_base::{
    ClassName,
    TeamName, //
};
use jasminebend_placement::{
    JobId,
    JobRecord,
    JobSpec,
    TaskState,
    WaitReason, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::JobPhase;

/// The status of a job, as reported to callers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobStatus {
    /// Identifier of the job.
    pub job: JobId,
    /// Team that submitted the job.
    pub team: TeamName,
    /// Class of the job.
    pub class: ClassName,
    /// Current phase.
    pub phase: JobPhase,
    /// Number of tasks.
    pub tasks: u32,
    /// Number of tasks that wait.
    pub queued: u32,
    /// Number of tasks that run or are about to be started.
    pub running: u32,
    /// Number of tasks that finished.
    pub finished: u32,
    /// Number of evictions, over all tasks.
    pub evictions: u32,
    /// Number of runs beyond the first of each task, from the beginning or from a checkpoint, for
    /// any reason.
    pub reruns: u32,
    /// Total run time, in seconds, of runs whose work was lost: by evictions without a checkpoint,
    /// lost workers and failures.
    pub lost_seconds: u64,
    /// The phase as text; for a job that waits or is held, also what would end that.
    pub explanation: String,
    /// Results of the tasks in their order; empty until the job has ended.
    pub results: Vec<Option<String>>,
}

impl JobStatus {
    /// Creates the status of a job that was just submitted.
    pub fn submitted(job: JobId, spec: &JobSpec) -> Self {
        Self {
            job,
            team: spec.team.clone(),
            class: spec.class.clone(),
            phase: JobPhase::Waiting {
                reason: WaitReason::NotConsidered,
            },
            tasks: spec.tasks,
            queued: spec.tasks,
            running: 0,
            finished: 0,
            evictions: 0,
            reruns: 0,
            lost_seconds: 0,
            explanation: String::new(),
            results: Vec::new(),
        }
        .with_explanation()
    }

    /// Sets the explanation to the phase's text.
    fn with_explanation(mut self) -> Self {
        self.explanation = self.phase.to_string();
        self
    }

    /// Creates the status of a job from its record in the ledger.
    pub(crate) fn new(job: JobId, record: &JobRecord, reason: WaitReason) -> Self {
        let queued = record.count_tasks(|state| *state == TaskState::Queued);
        let running = record.count_tasks(|state| matches!(state, TaskState::Placed { .. }));
        let attempts = record.tasks.iter().map(|task| task.attempt);
        let mut status = Self::submitted(job, &record.spec);
        status.phase = phase_of(record, queued, reason);
        status.queued = queued;
        status.running = running;
        status.finished = record.count_tasks(|state| matches!(state, TaskState::Finished { .. }));
        status.evictions = record.tasks.iter().map(|task| task.evictions).sum();
        status.reruns = attempts.map(|attempt| attempt.saturating_sub(1)).sum();
        let lost: u64 = record.tasks.iter().map(|task| task.lost_work_ms).sum();
        status.lost_seconds = lost / 1000;
        if record.is_complete() {
            status.results = results_of(record);
        }
        status.with_explanation()
    }

    /// Counts pre-committed runs as waiting instead of running.
    pub(crate) fn count_precommitted_as_waiting(&mut self, precommitted: u32, reason: WaitReason) {
        if precommitted == 0 {
            return;
        }
        self.queued += precommitted;
        self.running = self.running.saturating_sub(precommitted);
        if self.phase == JobPhase::Running {
            self.phase = JobPhase::Waiting { reason };
            self.explanation = self.phase.to_string();
        }
    }
}

fn phase_of(record: &JobRecord, queued: u32, reason: WaitReason) -> JobPhase {
    if record.is_complete() {
        return match record.cancelled {
            true => JobPhase::Cancelled,
            false => JobPhase::Finished,
        };
    }
    if record.cancelled {
        return JobPhase::Cancelling;
    }
    if let Some(reason) = &record.hold_reason {
        return JobPhase::Held {
            reason: reason.clone(),
        };
    }
    match queued {
        0 => JobPhase::Running,
        _ => JobPhase::Waiting { reason },
    }
}

fn results_of(record: &JobRecord) -> Vec<Option<String>> {
    let result_of = |state: &TaskState| match state {
        TaskState::Finished { result } => Some(result.clone()),
        _ => None,
    };
    record
        .tasks
        .iter()
        .map(|task| result_of(&task.state))
        .collect()
}
