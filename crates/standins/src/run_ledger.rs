//! A record of every run on every worker of a test.

use std::{
    fmt,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError,
        Weak, //
    },
    time::Duration, //
};

use indexmap::IndexMap;
use jasminebend_base::{
    DomainName,
    ResourceAmount,
    VmName, //
};
use jasminebend_ports::CheckpointId;

use crate::{
    LedgerSummary,
    RunEnd,
    RunRecord, //
};

/// Brings the runs of a worker up to the current time.
pub(crate) trait AdvanceRuns: Send + Sync {
    fn advance_runs(&self);
}

/// The peak of the resources reserved on a worker, with the worker's capacity.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReservedPeak {
    /// The peak of the reserved resources, for each resource separately.
    pub reserved: ResourceAmount,
    /// The worker's capacity.
    pub capacity: ResourceAmount,
}

#[derive(Debug, Default)]
struct LedgerState {
    runs: Vec<RunRecord>,
    /// The work done at each checkpoint, in seconds.
    checkpoints: IndexMap<CheckpointId, f64>,
    peaks: IndexMap<VmName, ReservedPeak>,
    over_capacity: u64,
}

/// A record of every run on every worker of a test. It is independent of the system under test, so that tests can
/// check the system's reports against it.
#[derive(Default)]
pub struct RunLedger {
    state: Mutex<LedgerState>,
    workers: Mutex<Vec<Weak<dyn AdvanceRuns>>>,
}

impl fmt::Debug for RunLedger {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.state.fmt(formatter)
    }
}

impl RunLedger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns all runs in the order in which their starts were recorded.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.advance_workers();
        self.lock().runs.clone()
    }

    /// Returns the runs of one task.
    pub fn runs_of(&self, job: u64, index: u32) -> Vec<RunRecord> {
        let mut runs = self.runs();
        runs.retain(|run| (run.attempt.job, run.attempt.index) == (job, index));
        runs
    }

    /// Returns the runs in progress at the current time.
    pub fn running(&self) -> Vec<RunRecord> {
        let mut runs = self.runs();
        runs.retain(|run| run.ended.is_none());
        runs
    }

    /// Returns the runs that started in a failure domain after `from` and no later than `until`.
    pub fn starts_in(
        &self,
        domain: &DomainName,
        from: Duration,
        until: Duration,
    ) -> Vec<RunRecord> {
        let mut runs = self.runs();
        runs.retain(|run| run.domain == *domain && run.started > from && run.started <= until);
        runs
    }

    /// Returns the peak of the reserved resources on each worker.
    pub fn peaks(&self) -> IndexMap<VmName, ReservedPeak> {
        self.lock().peaks.clone()
    }

    /// Returns the pairs of runs of one task that were in progress at the same time.
    pub fn overlaps(&self) -> Vec<(RunRecord, RunRecord)> {
        overlapping_pairs(&self.runs())
    }

    /// Returns the totals over all runs.
    pub fn summary(&self) -> LedgerSummary {
        let runs = self.runs();
        let ended = |end| {
            let ends = runs.iter().filter(|run| run_end(run) == Some(end));
            to_u64(ends.count())
        };
        LedgerSummary {
            starts: to_u64(runs.len()),
            finishes: ended(RunEnd::Finished),
            failures: ended(RunEnd::Failed),
            evictions: ended(RunEnd::Checkpointed),
            resumes: to_u64(runs.iter().filter(|run| run.resumed.is_some()).count()),
            lapses: ended(RunEnd::Lapsed),
            worker_failures: ended(RunEnd::WorkerFailed),
            overlaps: to_u64(overlapping_pairs(&runs).len()),
            repeated_finishes: count_pairs(&runs, |first, second| {
                run_end(first) == Some(RunEnd::Finished)
                    && run_end(second) == Some(RunEnd::Finished)
            }),
            repeated_resumes: count_pairs(&runs, repeats_resume),
            starts_after_finish: count_pairs(&runs, starts_after_finish),
            over_capacity: self.lock().over_capacity,
        }
    }

    pub(crate) fn add_worker(&self, worker: Weak<dyn AdvanceRuns>) {
        self.lock_workers().push(worker);
    }

    pub(crate) fn record_start(&self, run: RunRecord) -> usize {
        let mut state = self.lock();
        state.runs.push(run);
        state.runs.len() - 1
    }

    pub(crate) fn record_end(
        &self,
        run: usize,
        now: Duration,
        end: RunEnd,
        kept: Option<CheckpointId>,
    ) {
        if let Some(run) = self.lock().runs.get_mut(run) {
            run.ended = Some((now, end));
            run.kept = kept;
        }
    }

    pub(crate) fn save_checkpoint(&self, checkpoint: CheckpointId, done_seconds: f64) {
        self.lock().checkpoints.insert(checkpoint, done_seconds);
    }

    pub(crate) fn checkpoint_work_seconds(&self, checkpoint: &CheckpointId) -> f64 {
        let state = self.lock();
        state.checkpoints.get(checkpoint).copied().unwrap_or(0.0)
    }

    pub(crate) fn record_reserved(
        &self,
        worker: &VmName,
        reserved: ResourceAmount,
        capacity: ResourceAmount,
    ) {
        let mut state = self.lock();
        let peak = state.peaks.entry(worker.clone()).or_default();
        peak.reserved = peak.reserved.max(reserved);
        peak.capacity = capacity;
    }

    pub(crate) fn count_over_capacity(&self) {
        self.lock().over_capacity += 1;
    }

    /// Brings the runs of all workers up to the current time, so that a run that has ended without a report does not
    /// count as in progress.
    fn advance_workers(&self) {
        let workers = self.lock_workers().clone();
        for worker in workers.iter().filter_map(Weak::upgrade) {
            worker.advance_runs();
        }
    }

    fn lock(&self) -> MutexGuard<'_, LedgerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_workers(&self) -> MutexGuard<'_, Vec<Weak<dyn AdvanceRuns>>> {
        self.workers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn run_end(run: &RunRecord) -> Option<RunEnd> {
    run.ended.map(|(_, end)| end)
}

/// Returns whether both runs resumed from the same checkpoint although `first` had finished or left a newer
/// checkpoint.
fn repeats_resume(first: &RunRecord, second: &RunRecord) -> bool {
    let got_further = first.kept.is_some() || run_end(first) == Some(RunEnd::Finished);
    first.resumed.is_some() && first.resumed == second.resumed && got_further
}

fn starts_after_finish(first: &RunRecord, second: &RunRecord) -> bool {
    matches!(first.ended, Some((ended, RunEnd::Finished)) if ended <= second.started)
}

fn overlapping_pairs(runs: &[RunRecord]) -> Vec<(RunRecord, RunRecord)> {
    let mut found = Vec::new();
    visit_pairs(runs, |first, second| {
        if first.overlaps(second) {
            found.push((first.clone(), second.clone()));
        }
    });
    found
}

fn count_pairs<Check>(runs: &[RunRecord], check: Check) -> u64
where
    Check: Fn(&RunRecord, &RunRecord) -> bool,
{
    let mut found = 0;
    visit_pairs(runs, |first, second| {
        found += u64::from(check(first, second));
    });
    found
}

/// Calls `visit` for each pair of runs of one task, with the run that started earlier as the first argument.
fn visit_pairs<Visit>(runs: &[RunRecord], mut visit: Visit)
where
    Visit: FnMut(&RunRecord, &RunRecord),
{
    let mut tasks: IndexMap<(u64, u32), Vec<&RunRecord>> = IndexMap::new();
    for run in runs {
        let task = (run.attempt.job, run.attempt.index);
        tasks.entry(task).or_default().push(run);
    }
    for runs in tasks.values_mut() {
        runs.sort_by_key(|run| run.started);
        for (index, second) in runs.iter().enumerate() {
            runs[..index].iter().for_each(|first| visit(first, second));
        }
    }
}

fn to_u64(number: usize) -> u64 {
    // CAST: `usize` has at most 64 bits on the machines that Rust's standard library supports.
    number as u64
}
