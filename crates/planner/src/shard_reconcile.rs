//! What a worker says runs there, against what the journal says.

use std::time::Duration;

use jasminebend_placement::{
    CheckpointName,
    RunOutcome,
    TaskId,
    TaskState,
    WorkerKey, //
};
use jasminebend_ports::{
    TaskAttempt,
    TaskEvent,
    WorkerInventory,
    WorkerReport,
    WorkerTask, //
};

use crate::{
    link_phase::LinkPhase,
    run_phase::RunPhase,
    shard_state::ShardState,
    stop_wish::StopWish,
    task_names::{
        attempt_of,
        task_of, //
    }, //
};

impl ShardState {
    /// Takes in all that a worker knows.
    pub(crate) fn reconcile(&mut self, key: WorkerKey, inventory: &WorkerInventory) {
        for known in &inventory.tasks {
            match &known.ended {
                Some(event) => self.on_end(key, known.attempt, event),
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
        self.confirm_strays_gone(key, inventory);
    }

    fn on_running(&mut self, key: WorkerKey, known: &WorkerTask) {
        let now = self.now();
        let task = task_of(known.attempt);
        let own = self
            .runs
            .get_mut(&task)
            .filter(|run| run.worker == key && run.attempt == known.attempt.attempt);
        let Some(run) = own else {
            self.stop_stray(key, known);
            return;
        };
        match run.phase {
            RunPhase::Unheard | RunPhase::Starting | RunPhase::Unconfirmed { .. } => {
                run.phase = RunPhase::Running;
                run.maybe_started = true;
                run.since = now;
                run.speed_millis = known.speed_millis;
                self.links[&key]
                    .ladder
                    .resume_from_speed(known.speed_millis);
            }
            _ => {}
        }
        self.attention.insert(task);
    }

    /// A run that its worker does not know: a start of it may yet arrive, so that it is stopped
    /// there before it is given up.
    fn on_missing(&mut self, task: TaskId) {
        let now = self.now();
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        match run.phase {
            // The worker follows this epoch since before it answered, and refuses the starts of earlier
            // ones: whatever is not there now will not be.
            RunPhase::Unheard if self.first_of_epoch => self.lose_run(task),
            RunPhase::Unheard | RunPhase::Running => {
                run.phase = RunPhase::Unconfirmed { retry: now };
                self.wish(task, StopWish::Stop);
            }
            RunPhase::Stopping | RunPhase::Settling { .. } => {
                run.phase = RunPhase::Unconfirmed { retry: now };
                self.wish(task, StopWish::Stop);
            }
            _ => {}
        }
    }

    /// A run that the journal places elsewhere or nowhere must not go on, and holds its room until
    /// it is gone.
    fn stop_stray(&mut self, key: WorkerKey, known: &WorkerTask) {
        let link = &mut self.links[&key];
        if link.strays.insert(known.attempt, known.reserved).is_none() {
            self.pool.reserve_orphan(key, known.reserved);
        }
        self.calls.stop_stray(key, known.attempt, link.address);
    }

    pub(crate) fn on_stray_stopped(&mut self, key: WorkerKey, run: TaskAttempt, stopped: bool) {
        if stopped {
            self.release_stray(key, run);
        } else {
            // The next inventory shows whether it still runs.
            self.links[&key].phase = LinkPhase::New;
            self.contact_soon(key, self.now() + Duration::from_secs(1));
        }
    }

    fn confirm_strays_gone(&mut self, key: WorkerKey, inventory: &WorkerInventory) {
        let running = |run: &TaskAttempt| {
            let found = inventory.tasks.iter().find(|known| known.attempt == *run);
            found.is_some_and(|known| known.ended.is_none())
        };
        let strays = self.links[&key].strays.keys().copied();
        let gone: Vec<TaskAttempt> = strays.filter(|run| !running(run)).collect();
        for run in gone {
            self.release_stray(key, run);
        }
    }

    fn release_stray(&mut self, key: WorkerKey, run: TaskAttempt) {
        if let Some(size) = self.links[&key].strays.swap_remove(&run) {
            self.pool.release_orphan(key, size);
        }
    }

    /// Takes in what changed on a worker since its last report.
    pub(crate) fn take_report(&mut self, key: WorkerKey, sent: Duration, report: &WorkerReport) {
        for known in &report.ended {
            if let Some(event) = &known.ended {
                self.on_end(key, known.attempt, event);
            }
        }
        self.settle_runs(key, sent);
        self.take_usage(key, &report.usage);
        self.check_count(key, sent, report.running);
    }

    /// Runs that were told to stop before this report was asked for, and are not among the ended
    /// ones it names, never began or were forgotten.
    fn settle_runs(&mut self, key: WorkerKey, sent: Duration) {
        let runs = self.links[&key].runs.iter().copied();
        let settled: Vec<TaskId> = runs
            .filter(|task| {
                matches!(self.runs[task].phase, RunPhase::Settling { since } if since <= sent)
            })
            .collect();
        for task in settled {
            self.lose_run(task);
        }
    }

    /// A worker that runs more or less than it should is asked for all that runs there.
    fn check_count(&mut self, key: WorkerKey, sent: Duration, running: u32) {
        let link = &self.links[&key];
        let mut expected = link.strays.len();
        for task in &link.runs {
            let run = &self.runs[task];
            match run.phase {
                RunPhase::Running if run.since <= sent => expected += 1,
                RunPhase::Committing | RunPhase::Ahead | RunPhase::ToStart => {}
                _ => return,
            }
        }
        if expected != running as usize {
            self.links[&key].phase = LinkPhase::New;
            self.contact_soon(key, self.now());
        }
    }

    /// Takes in that a run ended. The worker tells it until it is acknowledged, and that is done
    /// once the end is committed, so that neither a lost answer nor a dead owner loses a result.
    pub(crate) fn on_end(&mut self, key: WorkerKey, run: TaskAttempt, event: &TaskEvent) {
        if self.ending.contains(&run) {
            return;
        }
        let task = task_of(run);
        let own = self.runs.get(&task);
        if own.is_some_and(|own| own.worker == key && own.attempt == run.attempt) {
            self.end_run(task, end_of(event));
            return;
        }
        let committing = self.ledger.task(task).is_some_and(|record| {
            record.attempt == run.attempt && matches!(record.state, TaskState::Placed { .. })
        });
        if committing {
            return;
        }
        let link = &mut self.links[&key];
        if !link.acknowledged.contains(&run) {
            link.acknowledged.push(run);
        }
    }
}

fn end_of(event: &TaskEvent) -> RunOutcome {
    match event {
        TaskEvent::Finished { result } => RunOutcome::Finished {
            result: result.clone(),
        },
        TaskEvent::Failed { code } => RunOutcome::Failed { code: *code },
        TaskEvent::Checkpointed { checkpoint } => RunOutcome::Checkpointed {
            checkpoint: CheckpointName::from(checkpoint.as_str()),
        },
        TaskEvent::Stopped => RunOutcome::Stopped,
        TaskEvent::Lapsed { checkpoint } => RunOutcome::Lost {
            checkpoint: checkpoint
                .as_ref()
                .map(|name| CheckpointName::from(name.as_str())),
        },
    }
}
