//! Completion of runs, and the queue entries and job states that follow from it.

use std::time::Duration;

use jasminebend_base::{
    ClassKind,
    ClassTarget,
    ResourceAmount,
    VmName, //
};
use jasminebend_placement::{
    HoldReason,
    JobId,
    JobRecord,
    JobTransition,
    LatestStart,
    RunOutcome,
    TaskId,
    TaskState,
    WorkerKey, //
};
use spdlog::warn;

use crate::{
    commit_effect::CommitEffect,
    run_phase::RunPhase,
    shard_state::ShardState,
    stop_request::StopRequest,
    submit_check::quota_per_shard,
    task_attempts::attempt_of,
    task_run::TaskRun, //
};

/// A task that fails on this many workers gets its job held.
const MAX_FAILED_WORKERS: usize = 3;
/// Expected run time of a task if none is declared or learned.
const DEFAULT_RUN_TIME: Duration = Duration::from_secs(60);

impl ShardState {
    /// Creates the runs and the queue entries of a ledger that was just read.
    pub(crate) fn resume_jobs(&mut self) {
        let jobs: Vec<JobId> = self.ledger.jobs().map(|(job, _)| job).collect();
        for job in jobs {
            self.resume_job(job);
        }
    }

    /// Creates the runs and queue entries of one job.
    fn resume_job(&mut self, job: JobId) {
        let Some(record) = self.ledger.job(job) else {
            return;
        };
        let (kind, cancelled) = (record.kind, record.cancelled);
        let class = self
            .learned
            .classes
            .get_or_insert(&record.spec.team, &record.spec.class);
        let states: Vec<(TaskState, u32)> = record
            .tasks
            .iter()
            .map(|task| (task.state.clone(), task.attempt))
            .collect();
        self.close_if_ended(job);
        for ((state, attempt), index) in states.into_iter().zip(0..) {
            let task = TaskId { job, index };
            match state {
                TaskState::Queued => self.enqueue(task),
                TaskState::Placed { worker, reserved } => {
                    let key = self.worker_named(&worker);
                    let mut run = TaskRun::new(attempt, key, class, kind, reserved);
                    run.phase = RunPhase::Unverified;
                    run.maybe_started = true;
                    self.track_run(task, run);
                    if cancelled {
                        self.request_stop(task, StopRequest::Stop);
                    }
                }
                TaskState::Finished { .. } | TaskState::Cancelled => {}
            }
        }
    }

    /// Tracks a run and reserves its capacity.
    pub(crate) fn track_run(&mut self, task: TaskId, run: TaskRun) {
        let key = run.worker;
        self.pool.reserve(run.worker, run.class, run.reservation);
        if run.kind == ClassKind::Batch
            && let Some(job) = self.ledger.job(task.job)
        {
            let team = job.spec.team.clone();
            *self.team_usage.entry(team).or_default() += run.reservation;
        }
        self.links[&run.worker].runs.insert(task);
        self.runs.insert(task, run);
        self.record_colocation(key);
    }

    /// Queues a task, unless its job is held or cancelled.
    pub(crate) fn enqueue(&mut self, task: TaskId) {
        let Some(job) = self.ledger.job(task.job) else {
            return;
        };
        if job.hold_reason.is_some() || job.cancelled {
            return;
        }
        let start = self.latest_start(job);
        self.queue.push(task, start);
        self.plan_due = true;
    }

    /// Returns the latest time at which a task of a job can start and still meet its class's
    /// target.
    fn latest_start(&self, job: &JobRecord) -> LatestStart {
        let waited = Duration::from_millis(self.wall_ms().saturating_sub(job.submitted_ms));
        let configuration = self.configuration.borrow();
        let target = match configuration
            .class(&job.spec.class)
            .map(|class| class.target)
        {
            Some(ClassTarget::FinishWithin(target)) => target,
            // Callers wait for a service, so its tasks are already late when they are submitted.
            Some(ClassTarget::AnswerWithin(_)) | None => Duration::ZERO,
        };
        let key = self.learned.classes.get(&job.spec.team, &job.spec.class);
        let learned = key.and_then(|key| self.learned.usage.run_time(key));
        let run_time = learned.or(job.spec.run_time).unwrap_or(DEFAULT_RUN_TIME);
        LatestStart::new(self.now(), waited, target, run_time)
    }

    /// Ends a run in memory and in the journal, and releases its capacity.
    pub(crate) fn end_run(&mut self, task: TaskId, end: RunOutcome) {
        let Some(run) = self.runs.get(&task) else {
            return;
        };
        let (attempt, worker) = (run.attempt, run.worker);
        let name = attempt_of(task, attempt);
        let effect = match run.maybe_started {
            true => CommitEffect::Acknowledge(worker, name),
            false => CommitEffect::NoEffect,
        };
        if run.maybe_started {
            self.uncommitted_ends.insert(name);
        }
        let Some(run) = self.untrack_run(task) else {
            return;
        };
        metrics::counter!("jasminebend_planner_run_ends_total", "end" => outcome_label(&end))
            .increment(1);
        let failed = matches!(end, RunOutcome::Failed { .. });
        if matches!(end, RunOutcome::Finished { .. }) {
            self.record_success(worker, &run);
        }
        let transition = JobTransition::Ended {
            task,
            attempt,
            end,
            ran_ms: self.run_duration_ms(&run),
        };
        if !self.record(transition, effect) {
            return;
        }
        if failed {
            self.record_failure(task, worker);
        }
        self.continue_task(task, &run);
    }

    /// Returns how long a run has been running, in milliseconds; zero if it was never seen running.
    fn run_duration_ms(&self, run: &TaskRun) -> u64 {
        if run.running_since.is_zero() {
            return 0;
        }
        let ran = self.now().saturating_sub(run.running_since);
        u64::try_from(ran.as_millis()).unwrap_or(u64::MAX)
    }

    /// Queues a task again, or completes its move, after a run of it ended.
    fn continue_task(&mut self, task: TaskId, run: &TaskRun) {
        let state = self.ledger.task(task).map(|record| &record.state);
        let queued = state == Some(&TaskState::Queued);
        match run.move_target {
            Some(target) => self.finish_move(task, run, target, queued),
            None if queued => self.enqueue(task),
            None => {}
        }
    }

    /// Ends a run as lost because its worker does not have it any more or is certain to have
    /// stopped it.
    pub(crate) fn end_run_as_lost(&mut self, task: TaskId) {
        let Some(run) = self.runs.get(&task) else {
            return;
        };
        let name = attempt_of(task, run.attempt);
        match run.phase {
            RunPhase::Starting | RunPhase::Committing | RunPhase::Precommitted => return,
            RunPhase::ReadyToStart if !run.maybe_started => return,
            RunPhase::Running | RunPhase::AwaitingOutcome { .. } | RunPhase::Unverified => {}
            // A start of the run may still be in transit; the worker must reject it before it is
            // adopted again.
            _ => self.links[&run.worker].late_starts.push(name),
        }
        let cancelled = self.ledger.job(task.job).is_some_and(|job| job.cancelled);
        let end = match cancelled {
            true => RunOutcome::Stopped,
            false => RunOutcome::Lost { checkpoint: None },
        };
        self.end_run(task, end);
    }

    /// Removes a run and releases its capacity and quota.
    fn untrack_run(&mut self, task: TaskId) -> Option<TaskRun> {
        let run = self.runs.swap_remove(&task)?;
        if run.holds_capacity {
            self.pool.release(run.worker, run.class, run.reservation);
        }
        self.links[&run.worker].precommitted.shift_remove(&task);
        self.links[&run.worker].runs.swap_remove(&task);
        self.record_colocation(run.worker);
        if run.kind == ClassKind::Batch
            && let Some(job) = self.ledger.job(task.job)
            && let Some(used) = self.team_usage.get_mut(&job.spec.team)
        {
            *used = used.saturating_sub(run.reservation);
        }
        Some(run)
    }

    /// Learns the run time of a successful run, and resets the failures of its worker.
    fn record_success(&mut self, worker: WorkerKey, run: &TaskRun) {
        let took = self.now().saturating_sub(run.running_since);
        if !run.running_since.is_zero() {
            self.learned.usage.observe_run(run.class, took);
        }
        self.record_worker_success(worker);
    }

    /// Records the failure of a task, and holds its job if the task fails on too many workers. The
    /// first failure counts against the worker. From the second worker on the job is considered
    /// faulty, unless those workers are quarantined.
    fn record_failure(&mut self, task: TaskId, worker: WorkerKey) {
        let Some(record) = self.ledger.task(task) else {
            return;
        };
        let failed_on = record.failed_on.clone();
        let code = record.last_failure_code;
        match failed_on.len() {
            0 | 1 => self.record_worker_failure(worker, task.job),
            _ => self.clear_job_failures(task.job),
        }
        let not_quarantined = |name: &&VmName| {
            let link = self.pool.key_of(name).and_then(|key| self.links.get(&key));
            link.is_none_or(|link| link.quarantined_until.is_none())
        };
        let distinct = failed_on.iter().filter(not_quarantined).count();
        let listed = self.links.values().filter(|link| link.listed).count();
        if distinct < MAX_FAILED_WORKERS.min(listed) {
            return;
        }
        let reason = HoldReason::FailedOnSeveralWorkers {
            index: task.index,
            workers: u32::try_from(distinct).unwrap_or(u32::MAX),
            code,
        };
        warn!("[planner] Job {} is held: {}.", task.job, reason);
        let job = task.job;
        self.queue.remove(job);
        self.record(JobTransition::Held { job, reason }, CommitEffect::NoEffect);
    }

    /// Returns whether a task of this size fits into the shard's part of the team's quota; services
    /// are not limited.
    pub(crate) fn quota_allows(&self, job: &JobRecord, size: ResourceAmount) -> bool {
        if job.kind == ClassKind::Service {
            return true;
        }
        let configuration = self.configuration.borrow();
        let Some(quota) = configuration.team(&job.spec.team) else {
            return true;
        };
        let used = self.team_usage.get(&job.spec.team).copied();
        let part = quota_per_shard(quota.limit, self.settings.shards);
        size.fits_in(part.saturating_sub(used.unwrap_or_default()))
    }
}

/// Returns the metric label of an outcome.
fn outcome_label(end: &RunOutcome) -> &'static str {
    match end {
        RunOutcome::Finished { .. } => "finished",
        RunOutcome::Failed { .. } => "failed",
        RunOutcome::Checkpointed { .. } => "checkpointed",
        RunOutcome::Stopped => "stopped",
        RunOutcome::Lost { .. } => "lost",
        RunOutcome::NotStarted => "not_started",
    }
}
