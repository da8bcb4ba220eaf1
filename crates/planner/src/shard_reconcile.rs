//! Compares the tasks that a worker reports with the journal's state.

use std::time::Duration;

use jasminebend_placement::{
    CheckpointName,
    RunOutcome,
    TaskId,
    TaskState,
    WorkerKey, //
};
use jasminebend_ports::{
    RunCompletion,
    TaskAttempt,
    WorkerInventory,
    WorkerReport,
    WorkerTask, //
};

use crate::{
    link_phase::LinkPhase,
    run_phase::RunPhase,
    shard_state::ShardState,
    stop_request::StopRequest,
    task_attempts::{
        attempt_of,
        task_of, //
    }, //
};

impl ShardState {
    /// Applies a worker's full inventory.
    pub(crate) fn reconcile(&mut self, key: WorkerKey, inventory: &WorkerInventory) {
        for known in &inventory.tasks {
            match &known.ended {
                Some(event) => self.on_run_ended(key, known.attempt, event),
                None => self.on_running(key, known),
            }
        }
        let listed = |task: TaskId, attempt: u32| {
            let run = attempt_of(task, attempt);
            inventory.tasks.iter().any(|known| known.attempt == run)
        };
        let runs = self.links[&key].runs.iter().copied();
        let missing: Vec<TaskId> = runs
            .filter(|task| !listed(*task, self.runs[task].attempt))
            .collect();
        for task in missing {
            self.on_missing(task);
        }
        self.release_stopped_orphans(key, inventory);
    }

    /// Marks a run as running, or stops it if the journal does not place it on this worker.
    fn on_running(&mut self, key: WorkerKey, known: &WorkerTask) {
        let now = self.now();
        let task = task_of(known.attempt);
        let own = self
            .runs
            .get_mut(&task)
            .filter(|run| run.worker == key && run.attempt == known.attempt.attempt);
        let Some(run) = own else {
            self.stop_orphan(key, known);
            return;
        };
        match run.phase {
            RunPhase::Unverified | RunPhase::Starting | RunPhase::Unconfirmed { .. } => {
                run.phase = RunPhase::Running;
                run.maybe_started = true;
                run.running_since = now;
                run.speed_millis = known.speed_millis;
                self.links[&key]
                    .overload_controller
                    .resume_from_speed(known.speed_millis);
            }
            _ => {}
        }
        self.runs_to_advance.insert(task);
    }

    /// Handles a run that its worker does not know. A start of it may still arrive, so the run is
    /// stopped there before it is ended as lost.
    fn on_missing(&mut self, task: TaskId) {
        let now = self.now();
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        match run.phase {
            // The worker adopted this epoch before it answered, and rejects the starts of earlier
            // epochs: a run that is not there now will not appear later.
            RunPhase::Unverified if self.first_of_epoch => self.end_run_as_lost(task),
            RunPhase::Unverified | RunPhase::Running => {
                run.phase = RunPhase::Unconfirmed { retry: now };
                self.request_stop(task, StopRequest::Stop);
            }
            RunPhase::Stopping | RunPhase::AwaitingOutcome { .. } => {
                run.phase = RunPhase::Unconfirmed { retry: now };
                self.request_stop(task, StopRequest::Stop);
            }
            _ => {}
        }
    }

    /// Stops an orphaned run, which the journal places elsewhere or nowhere. Its capacity stays
    /// reserved until it has stopped.
    fn stop_orphan(&mut self, key: WorkerKey, known: &WorkerTask) {
        let link = &mut self.links[&key];
        if link.orphans.insert(known.attempt, known.reserved).is_none() {
            self.pool.reserve_orphan(key, known.reserved);
        }
        self.calls.stop_orphan(key, known.attempt, link.address);
    }

    /// Releases the capacity of an orphan that stopped; asks for a new inventory if the stop
    /// failed.
    pub(crate) fn on_orphan_stopped(&mut self, key: WorkerKey, run: TaskAttempt, stopped: bool) {
        if stopped {
            self.release_orphan(key, run);
        } else {
            // The next inventory shows whether the orphan still runs.
            self.links[&key].phase = LinkPhase::New;
            self.reschedule_call(key, self.now() + Duration::from_secs(1));
        }
    }

    /// Releases the capacity of orphans that do not run any more according to an inventory.
    fn release_stopped_orphans(&mut self, key: WorkerKey, inventory: &WorkerInventory) {
        let running = |run: &TaskAttempt| {
            let found = inventory.tasks.iter().find(|known| known.attempt == *run);
            found.is_some_and(|known| known.ended.is_none())
        };
        let orphans = self.links[&key].orphans.keys().copied();
        let stopped: Vec<TaskAttempt> = orphans.filter(|run| !running(run)).collect();
        for run in stopped {
            self.release_orphan(key, run);
        }
    }

    fn release_orphan(&mut self, key: WorkerKey, run: TaskAttempt) {
        if let Some(size) = self.links[&key].orphans.swap_remove(&run) {
            self.pool.release_orphan(key, size);
        }
    }

    /// Applies a worker's report of changes since its last one.
    pub(crate) fn apply_report(&mut self, key: WorkerKey, sent: Duration, report: &WorkerReport) {
        for known in &report.ended {
            if let Some(event) = &known.ended {
                self.on_run_ended(key, known.attempt, event);
            }
        }
        self.resolve_stopped_runs(key, sent);
        self.apply_usage(key, &report.usage);
        self.check_running_count(key, sent, report.running);
    }

    /// Ends runs that were stopped before this report was requested and that it does not list as
    /// ended: they never started, or the worker has forgotten them.
    fn resolve_stopped_runs(&mut self, key: WorkerKey, sent: Duration) {
        let runs = self.links[&key].runs.iter().copied();
        let stopped: Vec<TaskId> = runs
            .filter(|task| {
                matches!(self.runs[task].phase, RunPhase::AwaitingOutcome { since } if since <= sent)
            })
            .collect();
        for task in stopped {
            self.end_run_as_lost(task);
        }
    }

    /// Requests a full inventory from a worker that runs more or fewer tasks than expected.
    fn check_running_count(&mut self, key: WorkerKey, sent: Duration, running: u32) {
        let link = &self.links[&key];
        let mut expected = link.orphans.len();
        for task in &link.runs {
            let run = &self.runs[task];
            match run.phase {
                RunPhase::Running if run.running_since <= sent => expected += 1,
                RunPhase::Committing | RunPhase::Precommitted | RunPhase::ReadyToStart => {}
                _ => return,
            }
        }
        if expected != running as usize {
            self.links[&key].phase = LinkPhase::New;
            self.reschedule_call(key, self.now());
        }
    }

    /// Applies the reported end of a run. The worker repeats the report until it is acknowledged,
    /// which happens only once the end is committed, so that neither a lost answer nor a dead owner
    /// loses a result.
    pub(crate) fn on_run_ended(&mut self, key: WorkerKey, run: TaskAttempt, event: &RunCompletion) {
        if self.uncommitted_ends.contains(&run) {
            return;
        }
        let task = task_of(run);
        let own = self.runs.get(&task);
        if own.is_some_and(|own| own.worker == key && own.attempt == run.attempt) {
            self.end_run(task, outcome_of(event));
            return;
        }
        let committing = self.ledger.task(task).is_some_and(|record| {
            record.attempt == run.attempt && matches!(record.state, TaskState::Placed { .. })
        });
        if committing {
            return;
        }
        let link = &mut self.links[&key];
        if !link.unacknowledged_ends.contains(&run) {
            link.unacknowledged_ends.push(run);
        }
    }
}

/// Converts a worker's event into the outcome of a run.
fn outcome_of(event: &RunCompletion) -> RunOutcome {
    match event {
        RunCompletion::Finished { result } => RunOutcome::Finished {
            result: result.clone(),
        },
        RunCompletion::Failed { code } => RunOutcome::Failed { code: *code },
        RunCompletion::Checkpointed { checkpoint } => RunOutcome::Checkpointed {
            checkpoint: CheckpointName::from(checkpoint.as_str()),
        },
        RunCompletion::Stopped => RunOutcome::Stopped,
        RunCompletion::Lapsed { checkpoint } => RunOutcome::Lost {
            checkpoint: checkpoint
                .as_ref()
                .map(|name| CheckpointName::from(name.as_str())),
        },
    }
}
