//! What follows from the end of a run.

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
    stop_wish::StopWish,
    submit_check::quota_part,
    task_names::attempt_of,
    task_run::TaskRun, //
};

/// The workers on which a task fails before its job is held.
const FAILED_ON_MOST: usize = 3;
/// The time that a run is expected to take while nothing is declared or learned.
const RUN_TIME: Duration = Duration::from_secs(60);

impl ShardState {
    /// Makes the runs and the queue of a ledger that was just read.
    pub(crate) fn resume_jobs(&mut self) {
        let jobs: Vec<JobId> = self.ledger.jobs().map(|(job, _)| job).collect();
        for job in jobs {
            self.resume_job(job);
        }
    }

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
                    let key = self.worker_of(&worker);
                    let mut run = TaskRun::new(attempt, key, class, kind, reserved);
                    run.phase = RunPhase::Unheard;
                    run.maybe_started = true;
                    self.add_run(task, run);
                    if cancelled {
                        self.wish(task, StopWish::Stop);
                    }
                }
                TaskState::Finished { .. } | TaskState::Cancelled => {}
            }
        }
    }

    /// Follows a run and sets its room aside.
    pub(crate) fn add_run(&mut self, task: TaskId, run: TaskRun) {
        let key = run.worker;
        self.pool.reserve(run.worker, run.class, run.counted);
        if run.kind == ClassKind::Batch
            && let Some(job) = self.ledger.job(task.job)
        {
            let team = job.spec.team.clone();
            *self.team_used.entry(team).or_default() += run.counted;
        }
        self.links[&run.worker].runs.insert(task);
        self.runs.insert(task, run);
        self.note_company(key);
    }

    /// Puts a task into the queue, unless its job is held.
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

    fn latest_start(&self, job: &JobRecord) -> LatestStart {
        let waited = Duration::from_millis(self.wall_ms().saturating_sub(job.submitted_ms));
        let configuration = self.configuration.borrow();
        let target = match configuration
            .class(&job.spec.class)
            .map(|class| class.target)
        {
            Some(ClassTarget::FinishWithin(target)) => target,
            // Callers wait for a service: each of its tasks is late from the start.
            Some(ClassTarget::AnswerWithin(_)) | None => Duration::ZERO,
        };
        let key = self.learned.classes.get(&job.spec.team, &job.spec.class);
        let learned = key.and_then(|key| self.learned.usage.run_time(key));
        let run_time = learned.or(job.spec.run_time).unwrap_or(RUN_TIME);
        LatestStart::new(self.now(), waited, target, run_time)
    }

    /// Ends a run in memory and in the journal, and gives its room back.
    pub(crate) fn end_run(&mut self, task: TaskId, end: RunOutcome) {
        let Some(run) = self.runs.get(&task) else {
            return;
        };
        let (attempt, worker) = (run.attempt, run.worker);
        let name = attempt_of(task, attempt);
        let effect = match run.maybe_started {
            true => CommitEffect::Acknowledge(worker, name),
            false => CommitEffect::Nothing,
        };
        if run.maybe_started {
            self.ending.insert(name);
        }
        let Some(run) = self.remove_run(task) else {
            return;
        };
        metrics::counter!("jasminebend_planner_run_ends_total", "end" => end_label(&end))
            .increment(1);
        let failed = matches!(end, RunOutcome::Failed { .. });
        if matches!(end, RunOutcome::Finished { .. }) {
            self.note_success(worker, &run);
        }
        let transition = JobTransition::Ended {
            task,
            attempt,
            end,
            ran_ms: self.ran_ms(&run),
        };
        if !self.record(transition, effect) {
            return;
        }
        if failed {
            self.note_failure(task, worker);
        }
        self.continue_task(task, &run);
    }

    fn ran_ms(&self, run: &TaskRun) -> u64 {
        if run.since.is_zero() {
            return 0;
        }
        let ran = self.now().saturating_sub(run.since);
        u64::try_from(ran.as_millis()).unwrap_or(u64::MAX)
    }

    fn continue_task(&mut self, task: TaskId, run: &TaskRun) {
        let state = self.ledger.task(task).map(|record| &record.state);
        let queued = state == Some(&TaskState::Queued);
        match run.moving_to {
            Some(target) => self.finish_move(task, run, target, queued),
            None if queued => self.enqueue(task),
            None => {}
        }
    }

    /// Gives a run up whose worker lost it, or that its worker has surely stopped.
    pub(crate) fn lose_run(&mut self, task: TaskId) {
        let Some(run) = self.runs.get(&task) else {
            return;
        };
        let name = attempt_of(task, run.attempt);
        match run.phase {
            RunPhase::Starting | RunPhase::Committing | RunPhase::Ahead => return,
            RunPhase::ToStart if !run.maybe_started => return,
            RunPhase::Running | RunPhase::Settling { .. } | RunPhase::Unheard => {}
            // A start of it may still be on its way: its worker must refuse it before it is adopted
            // anew.
            _ => self.links[&run.worker].late_starts.push(name),
        }
        let cancelled = self.ledger.job(task.job).is_some_and(|job| job.cancelled);
        let end = match cancelled {
            true => RunOutcome::Stopped,
            false => RunOutcome::Lost { checkpoint: None },
        };
        self.end_run(task, end);
    }

    fn remove_run(&mut self, task: TaskId) -> Option<TaskRun> {
        let run = self.runs.swap_remove(&task)?;
        if run.holds_room {
            self.pool.release(run.worker, run.class, run.counted);
        }
        self.links[&run.worker].ahead.shift_remove(&task);
        self.links[&run.worker].runs.swap_remove(&task);
        self.note_company(run.worker);
        if run.kind == ClassKind::Batch
            && let Some(job) = self.ledger.job(task.job)
            && let Some(used) = self.team_used.get_mut(&job.spec.team)
        {
            *used = used.saturating_sub(run.counted);
        }
        Some(run)
    }

    fn note_success(&mut self, worker: WorkerKey, run: &TaskRun) {
        let took = self.now().saturating_sub(run.since);
        if !run.since.is_zero() {
            self.learned.usage.observe_run(run.class, took);
        }
        self.note_worker_success(worker);
    }

    /// Holds a job one of whose tasks fails wherever it runs. The first failure counts against the
    /// worker; from the second worker on the job is to blame, unless those workers are set aside.
    fn note_failure(&mut self, task: TaskId, worker: WorkerKey) {
        let Some(record) = self.ledger.task(task) else {
            return;
        };
        let failed_on = record.failed_on.clone();
        let code = record.last_failure_code;
        match failed_on.len() {
            0 | 1 => self.note_worker_failure(worker, task.job),
            _ => self.forgive_workers(task.job),
        }
        let blameless = |name: &&VmName| {
            let link = self.pool.key_of(name).and_then(|key| self.links.get(&key));
            link.is_none_or(|link| link.set_aside.is_none())
        };
        let distinct = failed_on.iter().filter(blameless).count();
        let listed = self.links.values().filter(|link| link.listed).count();
        if distinct < FAILED_ON_MOST.min(listed) {
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
        self.record(JobTransition::Held { job, reason }, CommitEffect::Nothing);
    }

    pub(crate) fn quota_allows(&self, job: &JobRecord, size: ResourceAmount) -> bool {
        if job.kind == ClassKind::Service {
            return true;
        }
        let configuration = self.configuration.borrow();
        let Some(quota) = configuration.team(&job.spec.team) else {
            return true;
        };
        let used = self.team_used.get(&job.spec.team).copied();
        let part = quota_part(quota.limit, self.settings.shards);
        size.fits_in(part.saturating_sub(used.unwrap_or_default()))
    }
}

fn end_label(end: &RunOutcome) -> &'static str {
    match end {
        RunOutcome::Finished { .. } => "finished",
        RunOutcome::Failed { .. } => "failed",
        RunOutcome::Checkpointed { .. } => "checkpointed",
        RunOutcome::Stopped => "stopped",
        RunOutcome::Lost { .. } => "lost",
        RunOutcome::NotStarted => "not_started",
    }
}
