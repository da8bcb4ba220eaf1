//! The owner's view of a job.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use indexmap::IndexMap;

use crate::{
    EarlierRun,
    JobFailure,
    JobGraph,
    JobOutcome,
    JobProgress,
    RunNumber,
    StepSpec,
    WorkerKey,
    advice_history::AdviceHistory,
    crash_history::CrashHistory,
    dispatcher::StepOrigin,
    load_estimate::LoadEstimate, //
};

/// The owner's view of a job.
#[derive(Debug)]
pub(crate) struct JobState {
    pub(crate) queue: Arc<str>,
    pub(crate) graph: Arc<JobGraph>,
    /// For each step, the declared run time of the longest dependency chain that begins with it.
    pub(crate) remaining_chains: Vec<Duration>,
    /// When the job was accepted, on this process's clock; 0 if that was before the clock's origin.
    pub(crate) accepted: Duration,
    /// Whether a former owner may have started some of the job's tasks.
    pub(crate) inherited: bool,
    /// Whether a start of a run was ever ordered, whatever came of it.
    pub(crate) started: bool,
    /// Whether a run of the job has certainly begun.
    pub(crate) has_begun: bool,
    pub(crate) cancelled: bool,
    /// How the job ended, whether or not that is on record.
    pub(crate) outcome: Option<JobOutcome>,
    /// Why the job has failed, if it has.
    pub(crate) failure: Option<JobFailure>,
    /// How the job ended, once that is on record.
    pub(crate) recorded_outcome: Option<JobOutcome>,
    /// The occurrences opened so far, by their numbers.
    pub(crate) occurrences: BTreeMap<u32, OccurrenceState>,
    /// The number of the job's current runs.
    pub(crate) run_count: u32,
    /// When the job's last run ended, or when the job was accepted if it had none.
    pub(crate) idle_since: Duration,
}

/// The state of one occurrence of a job.
#[derive(Debug)]
pub(crate) struct OccurrenceState {
    pub(crate) steps: Vec<StepState>,
}

/// The state of one step of an occurrence.
#[derive(Debug)]
pub(crate) struct StepState {
    pub(crate) tasks: Vec<TaskState>,
    /// The number of done tasks.
    pub(crate) done_count: u32,
    /// Whether all steps on which it depends are done.
    pub(crate) open: bool,
    /// Whether a former owner may have started some of the step's tasks.
    pub(crate) inherited: bool,
    /// The rack of the step's first placed task.
    pub(crate) first_rack: Option<Arc<str>>,
    /// The number of the step's tasks that run on each worker.
    pub(crate) tasks_per_worker: IndexMap<WorkerKey, u32>,
    /// The tickets for the step's tasks by worker, each with the time until which it is valid.
    pub(crate) tickets: IndexMap<WorkerKey, (Arc<str>, Duration)>,
    /// The requests for tickets.
    pub(crate) advice: AdviceHistory,
    /// When a worker was last searched for the step regardless of the interference with services.
    pub(crate) last_forced_search: Option<Duration>,
    /// When it was last explained, for the log, why the step waits.
    pub(crate) wait_explained_at: Option<Duration>,
    /// The estimated load of the step's tasks without fillers, if they serve requests.
    pub(crate) load: Option<LoadEstimate>,
}

/// The state of one task.
#[derive(Clone, Debug, Default)]
pub(crate) struct TaskState {
    pub(crate) done: bool,
    /// The runs that failed. Kept as numbers, not as a count: a successor receives a failure again
    /// that is already on record.
    pub(crate) failures: Vec<RunNumber>,
    /// The task's last checkpoint, from which its next run resumes.
    pub(crate) checkpoint: Option<Arc<str>>,
    /// The task's current runs: at most one unless the step allows copies, apart from surplus runs
    /// that are being stopped.
    pub(crate) runs: Vec<(WorkerKey, RunNumber)>,
    /// What is known of the task's last run that is over.
    pub(crate) earlier: EarlierRun,
    /// The worker on which the task last failed.
    pub(crate) failed_on: Option<WorkerKey>,
    /// The crashes of workers under the task.
    pub(crate) crashes: CrashHistory,
    /// When the task's last run was lost, or ended if the task is long-running.
    pub(crate) unavailable_since: Option<Duration>,
}

impl JobState {
    pub(crate) fn step(&self, occurrence: u32, step: u16) -> Option<&StepState> {
        self.occurrences
            .get(&occurrence)?
            .steps
            .get(usize::from(step))
    }

    pub(crate) fn step_mut(&mut self, occurrence: u32, step: u16) -> Option<&mut StepState> {
        self.occurrences
            .get_mut(&occurrence)?
            .steps
            .get_mut(usize::from(step))
    }

    /// Returns whether a former owner may have started some of a step's tasks.
    pub(crate) fn may_be_inherited(&self, occurrence: u32, step: u16) -> bool {
        self.step(occurrence, step)
            .is_none_or(|state| state.inherited)
    }

    /// Returns since when the longest-waiting task of a step has been without a run.
    pub(crate) fn waiting_since(&self, occurrence: u32, step: u16) -> Duration {
        let tasks = self.step(occurrence, step).map(|state| &state.tasks);
        let pending = tasks.into_iter().flatten().filter(|task| task.is_pending());
        let since = pending.map(|task| self.task_waiting_since(task));
        since.min().unwrap_or(self.accepted)
    }

    /// Returns since when one of the job's pending tasks has been without a run.
    pub(crate) fn task_waiting_since(&self, task: &TaskState) -> Duration {
        task.unavailable_since.unwrap_or(self.accepted)
    }

    /// Counts a new run of the job.
    pub(crate) fn add_run(&mut self) {
        self.run_count += 1;
    }

    /// Counts a run less, and records when the last one ended.
    pub(crate) fn remove_run(&mut self, now: Duration) {
        self.run_count = self.run_count.saturating_sub(1);
        if self.run_count == 0 {
            self.idle_since = now;
        }
    }

    /// Takes back a run that was counted but not started.
    pub(crate) fn undo_run(&mut self) {
        self.run_count = self.run_count.saturating_sub(1);
    }

    /// Returns when an occurrence was accepted or due, on the process's clock.
    pub(crate) fn occurrence_start(&self, occurrence: u32, clock_origin: Duration) -> Duration {
        self.graph.schedule.map_or(self.accepted, |schedule| {
            schedule.due(occurrence).saturating_sub(clock_origin)
        })
    }

    /// Returns whether the job has ended or was cancelled.
    pub(crate) fn is_over(&self) -> bool {
        self.outcome.is_some() || self.cancelled
    }

    /// Returns the job's progress; an outcome is reported only once it is on record.
    pub(crate) fn progress(&self) -> JobProgress {
        match self.recorded_outcome {
            Some(outcome) => JobProgress::Ended(outcome),
            None if self.cancelled && self.outcome.is_none() => {
                JobProgress::Ended(JobOutcome::Cancelled)
            }
            None if self.has_begun => JobProgress::Running,
            None => JobProgress::Queued,
        }
    }
}

impl OccurrenceState {
    pub(crate) fn new(graph: &JobGraph, inherited: bool) -> Self {
        let steps = graph.steps.iter().map(|spec| StepState {
            tasks: vec![TaskState::default(); spec.count as usize],
            done_count: 0,
            open: spec.dependencies.is_empty(),
            inherited,
            first_rack: None,
            tasks_per_worker: IndexMap::new(),
            tickets: IndexMap::new(),
            advice: AdviceHistory::default(),
            last_forced_search: None,
            wait_explained_at: None,
            load: None,
        });
        Self {
            steps: steps.collect(),
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }

    /// Opens the steps whose dependencies are all done.
    pub(crate) fn open_steps(&mut self, graph: &JobGraph, origin: StepOrigin) {
        for (number, spec) in graph.steps.iter().enumerate() {
            let ready = |&before: &u16| self.steps[usize::from(before)].is_done();
            if !self.steps[number].open && spec.dependencies.iter().all(ready) {
                self.steps[number].open = true;
                self.steps[number].inherited &= origin == StepOrigin::Unknown;
            }
        }
    }
}

impl StepState {
    pub(crate) fn is_done(&self) -> bool {
        self.done_count as usize == self.tasks.len()
    }

    /// Returns whether the step is open and has a task that neither is done nor has a run.
    pub(crate) fn has_pending(&self) -> bool {
        self.open && self.tasks.iter().any(TaskState::is_pending)
    }

    /// Returns whether a worker already runs as many of the step's tasks as its spread allows.
    pub(crate) fn is_at_spread_limit(&self, worker: WorkerKey, spec: &StepSpec) -> bool {
        let held = self.tasks_per_worker.get(&worker).copied().unwrap_or(0);
        spec.max_per_worker.is_some_and(|most| held >= most)
    }

    /// Counts a task placed on a worker.
    pub(crate) fn add_placed_task(&mut self, worker: WorkerKey) {
        *self.tasks_per_worker.entry(worker).or_insert(0) += 1;
    }

    /// Counts a task less on a worker.
    pub(crate) fn remove_placed_task(&mut self, worker: WorkerKey) {
        if let Some(count) = self.tasks_per_worker.get_mut(&worker) {
            *count = count.saturating_sub(1);
        }
    }
}

impl TaskState {
    /// Returns whether the task is not done and has no run.
    pub(crate) fn is_pending(&self) -> bool {
        !self.done && self.runs.is_empty()
    }
}
