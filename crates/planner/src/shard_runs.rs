//! How runs are started and stopped.

use std::time::Duration;

use jasminebend_placement::{
    CheckpointName,
    RunOutcome,
    TaskId,
    TaskState, //
};
use jasminebend_ports::{
    CheckpointId,
    TaskOrder,
    WorkerError, //
};

use crate::{
    call_error::CallError,
    link_phase::LinkPhase,
    run_phase::RunPhase,
    shard_state::ShardState,
    stop_wish::StopWish,
    task_names::attempt_of, //
};

/// How long a start may be on its way.
const START_WINDOW: Duration = Duration::from_secs(2);
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// How long a run whose checkpoint failed goes on before it is asked again.
const CHECKPOINT_AGAIN: Duration = Duration::from_secs(10);
/// The most stops and checkpoints at once, so that a wave of cancellations leaves room for starts.
const MOST_STOPS: usize = 64;

impl ShardState {
    /// Wishes a run ended, if that is not wished as hard already.
    pub(crate) fn wish(&mut self, task: TaskId, wish: StopWish) {
        if let Some(run) = self.runs.get_mut(&task) {
            run.wish = run.wish.max(wish);
            self.attention.insert(task);
        }
    }

    /// Does what is due for the runs that are not simply running.
    pub(crate) fn tend_runs(&mut self, now: Duration) {
        let tasks: Vec<TaskId> = self.attention.iter().copied().collect();
        for task in tasks {
            if !self.tend_run(task, now) {
                self.attention.swap_remove(&task);
            }
        }
    }

    pub(crate) fn tend_worker(&mut self, key: jasminebend_placement::WorkerKey) {
        let runs: Vec<TaskId> = self.links[&key].runs.iter().copied().collect();
        self.attention.extend(runs);
    }

    /// Does what is due for a run; tells whether to look again.
    fn tend_run(&mut self, task: TaskId, now: Duration) -> bool {
        let Some(run) = self.runs.get(&task) else {
            return false;
        };
        let adopted = self.links[&run.worker].phase == LinkPhase::Adopted;
        let ending = run.wish != StopWish::Keep;
        match run.phase {
            RunPhase::ToStart | RunPhase::Ahead if !run.maybe_started && (ending || !adopted) => {
                self.end_run(task, RunOutcome::NotStarted);
                false
            }
            RunPhase::ToStart if adopted => {
                self.start_run(task);
                false
            }
            RunPhase::Unconfirmed { retry } if adopted && now >= retry => {
                match ending {
                    true => self.stop_run(task, now),
                    false => self.start_run(task),
                }
                true
            }
            RunPhase::Running if ending && adopted => {
                self.stop_run(task, now);
                true
            }
            RunPhase::Running => ending,
            RunPhase::ToStart | RunPhase::Unconfirmed { .. } => true,
            _ => false,
        }
    }

    fn start_run(&mut self, task: TaskId) {
        if !self.calls.permit.idle_for().is_zero() {
            self.attention.insert(task);
            return;
        }
        let Some(order) = self.order_of(task) else {
            return;
        };
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        run.phase = RunPhase::Starting;
        let link = &self.links[&run.worker];
        metrics::counter!("jasminebend_planner_starts_total").increment(1);
        self.calls
            .start(task, link.address, link.domain.clone(), order);
    }

    fn order_of(&self, task: TaskId) -> Option<TaskOrder> {
        let run = self.runs.get(&task)?;
        let job = self.ledger.job(task.job)?;
        let record = self.ledger.task(task)?;
        let TaskState::Placed { reserved, .. } = &record.state else {
            return None;
        };
        let checkpoint = record.checkpoint.as_ref();
        // The worker counts from the last renewal that it answered, which it did after `heard`. A
        // planner that is paused with this order in hand renews nothing meanwhile, so that the order
        // is refused as it wakes.
        let since = self.now().saturating_sub(self.links[&run.worker].heard);
        Some(TaskOrder {
            attempt: attempt_of(task, run.attempt),
            class: job.spec.class.clone(),
            kind: job.kind,
            reserved: *reserved,
            payload: job.spec.payload.clone(),
            checkpoint: checkpoint.map(|name| CheckpointId::from(name.as_str())),
            incarnation: self.links[&run.worker].incarnation,
            valid_for: since + START_WINDOW,
        })
    }

    fn stop_run(&mut self, task: TaskId, now: Duration) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        if self.stops_in_flight >= MOST_STOPS {
            return;
        }
        let hard = run.wish == StopWish::Stop || run.phase != RunPhase::Running;
        if !hard && now < run.not_before {
            return;
        }
        run.phase = RunPhase::Stopping;
        self.stops_in_flight += 1;
        let address = self.links[&run.worker].address;
        match hard {
            true => self.calls.stop(task, run.attempt, address),
            false => self.calls.checkpoint(task, run.attempt, address),
        }
    }

    pub(crate) fn on_started(&mut self, task: TaskId, attempt: u32, result: Result<(), CallError>) {
        let now = self.now();
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        if run.attempt != attempt || run.phase != RunPhase::Starting {
            return;
        }
        self.attention.insert(task);
        let retry = now + RETRY_AFTER;
        match result {
            Ok(()) => {
                run.phase = RunPhase::Running;
                run.maybe_started = true;
                run.since = now;
                self.note_started(task);
            }
            Err(CallError::Worker(WorkerError::Unknown)) => {
                run.maybe_started = true;
                run.phase = RunPhase::Unconfirmed { retry };
            }
            // An earlier copy of the start may have been taken; only a stop or a report can tell.
            Err(_) if run.maybe_started => run.phase = RunPhase::Unconfirmed { retry },
            Err(CallError::Worker(WorkerError::OutOfDate)) => {
                run.maybe_started = true;
                run.phase = RunPhase::Unconfirmed { retry: now };
                run.wish = StopWish::Stop;
            }
            Err(_) => {
                run.phase = RunPhase::ToStart;
                self.end_run(task, RunOutcome::NotStarted);
            }
        }
    }

    pub(crate) fn on_checkpointed(
        &mut self,
        task: TaskId,
        attempt: u32,
        result: Result<CheckpointId, CallError>,
    ) {
        self.stops_in_flight = self.stops_in_flight.saturating_sub(1);
        let now = self.now();
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        if run.attempt != attempt || run.phase != RunPhase::Stopping {
            return;
        }
        self.attention.insert(task);
        match result {
            Ok(checkpoint) => {
                let checkpoint = CheckpointName::from(checkpoint.as_str());
                self.end_run(task, RunOutcome::Checkpointed { checkpoint });
            }
            Err(CallError::Worker(WorkerError::CheckpointFailed)) => {
                run.phase = RunPhase::Running;
                run.not_before = now + CHECKPOINT_AGAIN;
                run.wish = match run.wish {
                    // It costs the work since its last checkpoint, and never the task.
                    StopWish::Leave => StopWish::Stop,
                    StopWish::Checkpoint => StopWish::Keep,
                    harder => harder,
                };
            }
            Err(CallError::Worker(WorkerError::UnknownRun)) => self.settle(task, now),
            Err(_) => {
                run.phase = RunPhase::Running;
                run.not_before = now + RETRY_AFTER;
            }
        }
    }

    pub(crate) fn on_stopped(&mut self, task: TaskId, attempt: u32, result: Result<(), CallError>) {
        self.stops_in_flight = self.stops_in_flight.saturating_sub(1);
        let now = self.now();
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        if run.attempt != attempt || run.phase != RunPhase::Stopping {
            return;
        }
        self.attention.insert(task);
        match result {
            Ok(()) | Err(CallError::Worker(WorkerError::UnknownRun)) => self.settle(task, now),
            Err(_) => {
                let retry = now + RETRY_AFTER;
                run.phase = RunPhase::Unconfirmed { retry };
                run.wish = StopWish::Stop;
            }
        }
    }

    /// Waits for a report that tells how a run ended: it may have finished just before it was to be
    /// stopped, and its result would be lost.
    fn settle(&mut self, task: TaskId, now: Duration) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        run.phase = RunPhase::Settling { since: now };
        let worker = run.worker;
        self.contact_soon(worker, now);
    }
}
