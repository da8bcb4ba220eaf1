//! Attribution of workers' crashes to the tasks that they executed.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    CrashEvidence,
    CrashFinding,
    CrashVerdict,
    Dispatcher,
    JobFailure,
    JobKey,
    JobOutcome,
    LossCause,
    RunLoss,
    RunNumber,
    TaskKey,
    WorkerCrash,
    WorkerKey,
    crash_history::{
        CrashHistory,
        EARLY_CRASH_WINDOW, //
    },
    unsettled_crash::UnsettledCrash,
    worker_state::WorkerState, //
};

/// The time between the losses of two workers within which they count as lost together.
const WIDESPREAD_WINDOW: Duration = Duration::from_secs(1);
/// How long after the store's return, as the owner sees it, the entry of a worker that is up may still be missing.
const RELISTING_TIME: Duration = Duration::from_millis(2500);
/// How long after a worker's crash its last heartbeat may still reach the registry.
const LATE_HEARTBEAT_TIME: Duration = Duration::from_secs(3);

impl Dispatcher {
    /// Records that runs are lost together with their worker, before they are released.
    pub(crate) fn record_losses(
        &mut self,
        key: WorkerKey,
        runs: &[(TaskKey, RunNumber)],
        cause: LossCause,
        now: Duration,
    ) {
        let lost_at = self.worker(key).contact_lost_at.unwrap_or(now);
        let widespread = self.is_widespread_loss(key, lost_at);
        let hosted_suspect = self.hosts_suspect(self.worker(key));
        let announced = self.worker(key).record.draining || self.worker(key).in_maintenance;
        let worker = self.worker_mut(key);
        worker.crashed_at = Some(lost_at);
        worker.crashed_with_suspect = hosted_suspect;
        for &(task, run) in runs {
            let lost = self.worker(key).runs.get(&(task, run));
            let is_orphaned = lost.is_some_and(|state| state.is_orphaned);
            let is_restarted = cause == LossCause::Restarted || is_orphaned;
            let Some(crash) = self.note_loss(key, task, run, cause, widespread, now) else {
                continue;
            };
            if announced || cause == LossCause::Left {
                continue;
            }
            match is_restarted {
                true => self.confirm_crash(task, crash),
                false => self.keep_unsettled(UnsettledCrash {
                    task,
                    crash,
                    over_at: now,
                    is_counted: false,
                }),
            }
        }
    }

    /// Counts the possible crashes of workers that the registry no longer lists, and takes back those of workers that it goes on
    /// listing. A worker that is cut off from the store is not listed either, so that crashes are proven only once the registry had
    /// time to list again what had merely expired, and are taken back if the worker returns.
    pub(crate) fn settle_crashes_by_registry(&mut self) {
        let read_at = self.registry_read_at;
        let is_gone_since = |since: Option<Duration>| {
            let times = since.zip(read_at);
            times.is_some_and(|(since, read_at)| read_at >= since + RELISTING_TIME)
        };
        if is_gone_since(self.registry_read_since) {
            let mut inherited = std::mem::take(&mut self.inherited_crashes);
            for crashes in inherited.values_mut() {
                crashes.retain_mut(|unsettled| self.count_unlisted_crash(unsettled, true));
            }
            self.inherited_crashes = inherited;
        }
        for index in 0..self.workers.len() {
            let worker = &self.workers[index];
            if worker.unsettled_crashes.is_empty() {
                continue;
            }
            if worker.listed {
                self.dismiss_outlived_crashes(index);
                continue;
            }
            let is_gone = is_gone_since(worker.unlisted_since);
            let mut crashes = std::mem::take(&mut self.workers[index].unsettled_crashes);
            crashes.retain_mut(|unsettled| self.count_unlisted_crash(unsettled, is_gone));
            self.workers[index].unsettled_crashes = crashes;
        }
    }

    /// Takes back the possible crashes of a listed worker that the same incarnation has outlived: it has sent heartbeats since the
    /// runs were over, so that a later restart proves nothing.
    fn dismiss_outlived_crashes(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        let times = worker.listed_since.zip(self.registry_read_at);
        let (Some((listed_since, read_at)), Some(listed)) = (times, worker.record.incarnation)
        else {
            return;
        };
        if worker.restart.is_some_and(|mark| mark.incarnation > listed) {
            return;
        }
        let listing_time = self.settings.registration_expiry + LATE_HEARTBEAT_TIME;
        let is_outlived = |unsettled: &mut UnsettledCrash| {
            let is_same = unsettled.crash.incarnation == Some(listed);
            is_same && read_at >= unsettled.over_at.max(listed_since) + listing_time
        };
        let crashes = worker.unsettled_crashes.extract_if(.., is_outlived);
        let outlived: Vec<UnsettledCrash> = crashes.collect();
        for unsettled in outlived {
            self.dismiss_crash(unsettled);
        }
    }

    /// Counts the possible crash of an unlisted worker; returns whether it remains to be settled.
    fn count_unlisted_crash(&mut self, unsettled: &mut UnsettledCrash, is_gone: bool) -> bool {
        let crash = &mut unsettled.crash;
        let is_over = match self.crash_history(unsettled.task) {
            Some(history) => unsettled.is_counted && !history.contains(crash.run),
            None => true,
        };
        if is_over {
            return false;
        }
        let evidence = match crash.evidence {
            CrashEvidence::Unanswered if is_gone => CrashEvidence::Unbegun,
            CrashEvidence::Silent if is_gone => CrashEvidence::Unlisted,
            evidence => evidence,
        };
        let is_stronger = evidence > crash.evidence;
        crash.evidence = evidence;
        if is_stronger || !unsettled.is_counted {
            self.confirm_crash(unsettled.task, crash.clone());
        }
        unsettled.is_counted = true;
        true
    }

    /// Settles the losses of a worker that answers again: it was merely unreachable unless it has
    /// restarted.
    pub(crate) fn settle_crashes(&mut self, key: WorkerKey, is_restarted: bool) {
        let worker = self.worker_mut(key);
        if !is_restarted {
            worker.crashed_at = None;
        }
        let incarnation = worker.incarnation;
        for unsettled in std::mem::take(&mut worker.unsettled_crashes) {
            let known = unsettled.crash.incarnation.zip(incarnation);
            match known.map_or(is_restarted, |(former, current)| former != current) {
                true => self.settle_as_restarted(unsettled),
                false => self.dismiss_crash(unsettled),
            }
        }
    }

    fn settle_as_restarted(&mut self, unsettled: UnsettledCrash) {
        let UnsettledCrash {
            task,
            mut crash,
            is_counted,
            ..
        } = unsettled;
        let history = self.crash_history(task);
        if is_counted && !history.is_some_and(|history| history.contains(crash.run)) {
            return;
        }
        crash.evidence = match crash.evidence {
            CrashEvidence::Uncertain => CrashEvidence::Uncertain,
            CrashEvidence::Unanswered | CrashEvidence::Unbegun => CrashEvidence::Unbegun,
            _ => CrashEvidence::Restarted,
        };
        self.confirm_crash(task, crash);
    }

    /// Takes back a crash that was none.
    fn dismiss_crash(&mut self, unsettled: UnsettledCrash) {
        let UnsettledCrash { task, crash, .. } = unsettled;
        let history = self.crash_history_mut(task);
        if history.is_some_and(|history| history.remove(crash.run)) {
            self.commits.record_change(task.job());
        }
        self.pending_crashes.push(CrashFinding {
            task,
            crash,
            verdict: CrashVerdict::Dismissed,
            recorded_crashes: self
                .crash_history(task)
                .map_or(0, |history| history.records().len()),
            gives_up: false,
        });
    }

    /// Keeps crashes that a former owner counted until their workers answer: the same incarnation refutes them. `over_at` is when
    /// their runs were certainly over.
    pub(crate) fn inherit_crashes(
        &mut self,
        task: TaskKey,
        crashes: &[WorkerCrash],
        over_at: Duration,
    ) {
        let is_refutable = |crash: &&WorkerCrash| {
            crash.evidence != CrashEvidence::Restarted && crash.incarnation.is_some()
        };
        for crash in crashes.iter().filter(is_refutable) {
            let unsettled = UnsettledCrash {
                task,
                crash: crash.clone(),
                over_at,
                is_counted: true,
            };
            self.keep_unsettled(unsettled);
        }
    }

    /// Keeps a possible crash until its worker answers.
    pub(crate) fn keep_unsettled(&mut self, unsettled: UnsettledCrash) {
        let worker = &unsettled.crash.worker;
        match self.worker_key(worker) {
            Some(key) => self.worker_mut(key).unsettled_crashes.push(unsettled),
            None => {
                let inherited = self.inherited_crashes.entry(Arc::clone(worker));
                inherited.or_default().push(unsettled);
            }
        }
    }

    /// Returns the crashes under a task, or `None` if the task is unknown.
    pub(crate) fn crash_history(&self, task: TaskKey) -> Option<&CrashHistory> {
        let step = task.step;
        let state = self.jobs.get(&step.job)?.step(step.occurrence, step.step)?;
        Some(&state.tasks.get(task.index as usize)?.crashes)
    }

    /// Returns the crashes under a task for modification, or `None` if the task is unknown.
    pub(crate) fn crash_history_mut(&mut self, task: TaskKey) -> Option<&mut CrashHistory> {
        let step = task.step;
        let job = self.jobs.get_mut(&step.job)?;
        let state = job.step_mut(step.occurrence, step.step)?;
        Some(&mut state.tasks.get_mut(task.index as usize)?.crashes)
    }

    /// Forgets the early crashes of a task of which a run has outlived them.
    pub(crate) fn clear_early_crashes(&mut self, task: TaskKey) {
        if let Some(crashes) = self.crash_history_mut(task) {
            crashes.clear_early();
            self.commits.record_change(task.job());
        }
    }

    /// Records a lost run for the log, and returns the crash under its task; `None` for a run that
    /// can't have caused one.
    fn note_loss(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        run: RunNumber,
        cause: LossCause,
        widespread: bool,
        now: Duration,
    ) -> Option<WorkerCrash> {
        let worker = self.worker(key);
        let state = worker.runs.get(&(task, run))?;
        let lost_at = worker.contact_lost_at.unwrap_or(now);
        let loss = RunLoss {
            task,
            run,
            worker: key,
            cause,
            placed_at: state.placed_at,
            last_listed_at: state.last_listed_at,
            contact_lost_at: worker.contact_lost_at,
            connection_refused: worker.connection_refused,
            listed: worker.listed,
            other_runs: worker.runs.len() - 1,
            is_unfenced: worker.has_unfenced_restart(),
        };
        let is_restarted = cause == LossCause::Restarted || state.is_orphaned;
        // An answer to a later call shows that the start, if it arrived by then, did not crash the worker.
        let silent_by = state.placed_at + EARLY_CRASH_WINDOW;
        let was_silent = worker
            .last_answered_call_at
            .is_none_or(|sent| sent < silent_by);
        let crash = WorkerCrash {
            run,
            worker: Arc::clone(&worker.record.id),
            at: self.clock_origin + lost_at,
            early: state.is_early(),
            alone: state.has_begun && worker.began_alone(task, run),
            widespread,
            evidence: match (is_restarted, state.has_certainly_begun()) {
                (true, true) => CrashEvidence::Restarted,
                (true, false) => CrashEvidence::Unbegun,
                (false, true) => CrashEvidence::Silent,
                (false, false) if was_silent => CrashEvidence::Unanswered,
                (false, false) => CrashEvidence::Uncertain,
            },
            // The incarnation that followed the crash does not refute it.
            incarnation: worker.incarnation.filter(|_| !is_restarted),
        };
        let spec = self.step_spec(task.step);
        let is_long_running = spec.is_none_or(|spec| spec.long_running);
        self.pending_losses.push(loss);
        // A long-running task meets many crashes that are none of its doing.
        (crash.early || !is_long_running).then_some(crash)
    }

    /// Counts a crash under a task or strengthens its evidence, and gives its job up if the task must not start any more.
    pub(crate) fn confirm_crash(&mut self, task: TaskKey, crash: WorkerCrash) {
        let step = task.step;
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return;
        };
        if job.is_over() {
            return;
        }
        let state = job.step_mut(step.occurrence, step.step);
        let Some(state) = state.and_then(|state| state.tasks.get_mut(task.index as usize)) else {
            return;
        };
        if state.done {
            return;
        }
        if !state.crashes.add(crash.clone()) {
            return;
        }
        let crashes = state.crashes.records().to_vec();
        let verdict = match crash.evidence.is_proof() {
            true => CrashVerdict::Confirmed,
            false => CrashVerdict::Suspected,
        };
        let gives_up = state.crashes.requires_giving_up();
        self.commits.record_change(step.job);
        self.pending_crashes.push(CrashFinding {
            task,
            crash,
            verdict,
            recorded_crashes: crashes.len(),
            gives_up,
        });
        if gives_up {
            let task = task.to_string();
            self.fail_job(step.job, JobFailure::Crashes { task, crashes });
        }
    }

    /// Fails a job for this reason.
    pub(crate) fn fail_job(&mut self, key: JobKey, failure: JobFailure) {
        if let Some(job) = self.jobs.get_mut(&key)
            && !job.is_over()
        {
            job.failure = Some(failure);
            self.finish_job(key, JobOutcome::Failed);
        }
    }

    /// Returns whether other workers were lost at about the same time as this one, without a
    /// suspected task that explains it.
    fn is_widespread_loss(&self, key: WorkerKey, lost_at: Duration) -> bool {
        let is_near = |at: &Duration| at.abs_diff(lost_at) <= WIDESPREAD_WINDOW;
        let mut others =
            (self.workers.iter().enumerate()).filter(|(index, _)| *index != key.index());
        others.any(|(_, worker)| {
            let crashed_at = worker.crashed_at.filter(is_near);
            let silent_since = worker.contact_lost_at.filter(is_near);
            crashed_at.is_some() && !worker.crashed_with_suspect
                || silent_since.is_some()
                    && silent_since != worker.crashed_at
                    && !self.hosts_suspect(worker)
        })
    }

    /// Returns whether a suspected task runs on a worker.
    fn hosts_suspect(&self, worker: &WorkerState) -> bool {
        let mut tasks = worker.runs.keys();
        tasks.any(|(task, _)| {
            self.crash_history(*task)
                .is_some_and(CrashHistory::is_suspect)
        })
    }
}
