//! A job as its owner knows it.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use indexmap::IndexMap;

use crate::{
    JobGraph,
    JobOutcome,
    JobProgress,
    RunNumber,
    StepSpec,
    WorkerKey,
    dispatcher::StepOrigin,
    load_track::LoadTrack, //
};

/// A job as its owner knows it.
#[derive(Debug)]
pub(crate) struct JobState {
    pub(crate) queue: Arc<str>,
    pub(crate) graph: Arc<JobGraph>,
    /// Declared time of the longest chain from each step on.
    pub(crate) chains: Vec<Duration>,
    /// When it was accepted, on this process's clock; before its origin counts as 0.
    pub(crate) accepted: Duration,
    /// Whether a former owner may have started some of it.
    pub(crate) inherited: bool,
    pub(crate) started: bool,
    pub(crate) cancelled: bool,
    /// How it ended, whether or not that is on record.
    pub(crate) outcome: Option<JobOutcome>,
    /// How it ended by the record.
    pub(crate) recorded: Option<JobOutcome>,
    pub(crate) occurrences: BTreeMap<u32, OccurrenceState>,
    /// How many runs it has.
    pub(crate) running: u32,
    /// When its last run ended; when it was accepted, if it had none.
    pub(crate) idle_since: Duration,
    /// When a place was last sought for it that harms services.
    pub(crate) forced: Option<Duration>,
}

/// One occurrence of a job.
#[derive(Debug)]
pub(crate) struct OccurrenceState {
    pub(crate) steps: Vec<StepState>,
}

/// One step of an occurrence.
#[derive(Debug)]
pub(crate) struct StepState {
    pub(crate) tasks: Vec<TaskState>,
    pub(crate) done: u32,
    /// Whether all that it waits for is done.
    pub(crate) open: bool,
    /// Whether a former owner may have started some of it.
    pub(crate) inherited: bool,
    /// The rack on which its tasks were first placed.
    pub(crate) rack: Option<Arc<str>>,
    /// How many of its tasks run on each worker.
    pub(crate) placed: IndexMap<WorkerKey, u32>,
    /// The tickets for its tasks, with the time until which each holds.
    pub(crate) tickets: IndexMap<WorkerKey, (Arc<str>, Duration)>,
    /// When tickets were last asked for.
    pub(crate) advice_asked: Option<Duration>,
    /// When it was last noted why its tasks wait.
    pub(crate) wait_noted: Option<Duration>,
    /// The own load of its tasks, if they serve requests.
    pub(crate) load: Option<LoadTrack>,
}

/// One task.
#[derive(Clone, Debug, Default)]
pub(crate) struct TaskState {
    pub(crate) done: bool,
    /// The runs that failed: a successor hears again of a failure that is on record.
    pub(crate) failures: Vec<RunNumber>,
    pub(crate) checkpoint: Option<Arc<str>>,
    pub(crate) runs: Vec<(WorkerKey, RunNumber)>,
    /// The worker on which it last failed.
    pub(crate) failed_on: Option<WorkerKey>,
    /// When its last run ended, if it lasts.
    pub(crate) away_since: Option<Duration>,
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

    /// Tells whether a former owner may have started some of a step.
    pub(crate) fn inherits(&self, occurrence: u32, step: u16) -> bool {
        self.step(occurrence, step)
            .is_none_or(|state| state.inherited)
    }

    /// Returns since when the longest-waiting task of a step has been without a run.
    pub(crate) fn waits_since(&self, occurrence: u32, step: u16) -> Duration {
        let tasks = self.step(occurrence, step).map(|state| &state.tasks);
        let pending = tasks.into_iter().flatten().filter(|task| task.is_pending());
        let since = pending.map(|task| task.away_since.unwrap_or(self.accepted));
        since.min().unwrap_or(self.accepted)
    }

    pub(crate) fn note_run(&mut self) {
        self.running += 1;
    }

    pub(crate) fn note_run_over(&mut self, now: Duration) {
        self.running = self.running.saturating_sub(1);
        if self.running == 0 {
            self.idle_since = now;
        }
    }

    /// Returns when an occurrence began to wait, on the process's clock.
    pub(crate) fn begun(&self, occurrence: u32, clock_origin: Duration) -> Duration {
        self.graph.schedule.map_or(self.accepted, |schedule| {
            schedule.due(occurrence).saturating_sub(clock_origin)
        })
    }

    pub(crate) fn is_over(&self) -> bool {
        self.outcome.is_some() || self.cancelled
    }

    /// Returns how far it is; an end only once it is on record.
    pub(crate) fn progress(&self) -> JobProgress {
        match self.recorded {
            Some(outcome) => JobProgress::Ended(outcome),
            None if self.cancelled && self.outcome.is_none() => {
                JobProgress::Ended(JobOutcome::Cancelled)
            }
            None if self.started => JobProgress::Running,
            None => JobProgress::Queued,
        }
    }
}

impl OccurrenceState {
    pub(crate) fn new(graph: &JobGraph, inherited: bool) -> Self {
        let steps = graph.steps.iter().map(|spec| StepState {
            tasks: vec![TaskState::default(); spec.count as usize],
            done: 0,
            open: spec.after.is_empty(),
            inherited,
            rack: None,
            placed: IndexMap::new(),
            tickets: IndexMap::new(),
            advice_asked: None,
            wait_noted: None,
            load: None,
        });
        Self {
            steps: steps.collect(),
        }
    }

    pub(crate) fn is_whole(&self) -> bool {
        self.steps.iter().all(StepState::is_whole)
    }

    /// Opens the steps that wait for nothing any more.
    pub(crate) fn open_steps(&mut self, graph: &JobGraph, origin: StepOrigin) {
        for (number, spec) in graph.steps.iter().enumerate() {
            let ready = |&before: &u16| self.steps[usize::from(before)].is_whole();
            if !self.steps[number].open && spec.after.iter().all(ready) {
                self.steps[number].open = true;
                self.steps[number].inherited &= origin == StepOrigin::Unknown;
            }
        }
    }
}

impl StepState {
    pub(crate) fn is_whole(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Tells whether some task of it has neither ended nor a run.
    pub(crate) fn has_pending(&self) -> bool {
        self.open && self.tasks.iter().any(TaskState::is_pending)
    }

    /// Tells whether as many of its tasks run on a worker as may.
    pub(crate) fn is_crowded(&self, worker: WorkerKey, spec: &StepSpec) -> bool {
        let held = self.placed.get(&worker).copied().unwrap_or(0);
        spec.spread.is_some_and(|most| held >= most)
    }

    pub(crate) fn note_placed(&mut self, worker: WorkerKey) {
        *self.placed.entry(worker).or_insert(0) += 1;
    }

    pub(crate) fn note_left(&mut self, worker: WorkerKey) {
        if let Some(count) = self.placed.get_mut(&worker) {
            *count = count.saturating_sub(1);
        }
    }
}

impl TaskState {
    pub(crate) fn is_pending(&self) -> bool {
        !self.done && self.runs.is_empty()
    }
}
