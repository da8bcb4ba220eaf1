//! What is known of a job.

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

/// What is known of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobStatus {
    /// The job.
    pub job: JobId,
    /// Its team.
    pub team: TeamName,
    /// Its class.
    pub class: ClassName,
    /// Where it stands.
    pub phase: JobPhase,
    /// The number of its tasks.
    pub tasks: u32,
    /// Those that wait.
    pub queued: u32,
    /// Those that run, or are about to.
    pub running: u32,
    /// Those that finished.
    pub finished: u32,
    /// How often one of them was evicted.
    pub evictions: u32,
    /// How often one of them ran again from the beginning or a checkpoint, for whatever cause.
    pub reruns: u32,
    /// How long those runs had run whose work was lost, in seconds: the cost of evictions without a
    /// checkpoint, of lost workers and of failures.
    pub lost_seconds: u64,
    /// Its phase in words, with what would change it.
    pub explanation: String,
    /// The results of its tasks in their order, once the job has ended.
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
        .explained()
    }

    fn explained(mut self) -> Self {
        self.explanation = self.phase.to_string();
        self
    }

    /// Creates the status of a job from its record.
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
        status.explained()
    }

    /// Counts runs that were committed ahead as the waiting tasks that they are.
    pub(crate) fn wait_ahead(&mut self, ahead: u32, reason: WaitReason) {
        if ahead == 0 {
            return;
        }
        self.queued += ahead;
        self.running = self.running.saturating_sub(ahead);
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
