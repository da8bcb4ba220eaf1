//! Starts and stops runs.

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
    link_phase::LinkPhase,
    run_phase::RunPhase,
    shard_state::ShardState,
    stop_request::StopRequest,
    task_attempts::attempt_of,
    worker_call_error::WorkerCallError, //
};

/// How long a start may take to reach its worker.
const START_VALIDITY: Duration = Duration::from_secs(2);
/// Delay before an unanswered or failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Delay before a failed checkpoint is requested again.
const CHECKPOINT_RETRY_DELAY: Duration = Duration::from_secs(10);
/// Limits the stops and checkpoints in flight, so that a wave of cancellations does not delay
/// starts.
const MAX_STOPS_IN_FLIGHT: usize = 64;

impl ShardState {
    /// Requests that a run is ended, unless a stronger request is already set.
    pub(crate) fn request_stop(&mut self, task: TaskId, request: StopRequest) {
        if let Some(run) = self.runs.get_mut(&task) {
            run.stop_request = run.stop_request.max(request);
            self.runs_to_advance.insert(task);
        }
    }

    /// Performs the due steps of all runs that need attention.
    pub(crate) fn advance_runs(&mut self, now: Duration) {
        let tasks: Vec<TaskId> = self.runs_to_advance.iter().copied().collect();
        for task in tasks {
            if !self.advance_run(task, now) {
                self.runs_to_advance.swap_remove(&task);
            }
        }
    }

    /// Marks all runs of a worker for attention.
    pub(crate) fn revisit_worker_runs(&mut self, key: jasminebend_placement::WorkerKey) {
        let runs: Vec<TaskId> = self.links[&key].runs.iter().copied().collect();
        self.runs_to_advance.extend(runs);
    }

    /// Performs the due step of a run; returns whether the run still needs attention.
    fn advance_run(&mut self, task: TaskId, now: Duration) -> bool {
        let Some(run) = self.runs.get(&task) else {
            return false;
        };
        let adopted = self.links[&run.worker].phase == LinkPhase::Adopted;
        let stop_requested = run.stop_request != StopRequest::Continue;
        match run.phase {
            RunPhase::ReadyToStart | RunPhase::Precommitted
                if !run.maybe_started && (stop_requested || !adopted) =>
            {
                self.end_run(task, RunOutcome::NotStarted);
                false
            }
            RunPhase::ReadyToStart if adopted => {
                self.start_run(task);
                false
            }
            RunPhase::Unconfirmed { retry } if adopted && now >= retry => {
                match stop_requested {
                    true => self.stop_run(task, now),
                    false => self.start_run(task),
                }
                true
            }
            RunPhase::Running if stop_requested && adopted => {
                self.stop_run(task, now);
                true
            }
            RunPhase::Running => stop_requested,
            RunPhase::ReadyToStart | RunPhase::Unconfirmed { .. } => true,
            _ => false,
        }
    }

    /// Sends the start of a run, unless the shard must still stay idle.
    fn start_run(&mut self, task: TaskId) {
        if !self.calls.permit.idle_for().is_zero() {
            self.runs_to_advance.insert(task);
            return;
        }
        let Some(order) = self.start_order(task) else {
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

    /// Returns the start order of a run; `None` if the ledger does not place its task.
    fn start_order(&self, task: TaskId) -> Option<TaskOrder> {
        let run = self.runs.get(&task)?;
        let job = self.ledger.job(task.job)?;
        let record = self.ledger.task(task)?;
        let TaskState::Placed { reserved, .. } = &record.state else {
            return None;
        };
        let checkpoint = record.checkpoint.as_ref();
        // The worker measures `valid_for` from the last renewal that it answered, which was after
        // the time in `last_answered_call_sent`. A planner that is paused while it holds this order
        // renews nothing meanwhile, so the worker rejects the order that is sent afterwards.
        let since = self
            .now()
            .saturating_sub(self.links[&run.worker].last_answered_call_sent);
        Some(TaskOrder {
            attempt: attempt_of(task, run.attempt),
            class: job.spec.class.clone(),
            kind: job.kind,
            reserved: *reserved,
            payload: job.spec.payload.clone(),
            checkpoint: checkpoint.map(|name| CheckpointId::from(name.as_str())),
            incarnation: self.links[&run.worker].incarnation,
            valid_for: since + START_VALIDITY,
        })
    }

    /// Sends a stop or a checkpoint of a run, within the limit of calls in flight.
    fn stop_run(&mut self, task: TaskId, now: Duration) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        if self.stops_in_flight >= MAX_STOPS_IN_FLIGHT {
            return;
        }
        let immediately = run.stop_request == StopRequest::Stop || run.phase != RunPhase::Running;
        if !immediately && now < run.checkpoint_not_before {
            return;
        }
        run.phase = RunPhase::Stopping;
        self.stops_in_flight += 1;
        let address = self.links[&run.worker].address;
        match immediately {
            true => self.calls.stop(task, run.attempt, address),
            false => self.calls.checkpoint(task, run.attempt, address),
        }
    }

    /// Handles the answer to a start.
    pub(crate) fn on_started(
        &mut self,
        task: TaskId,
        attempt: u32,
        result: Result<(), WorkerCallError>,
    ) {
        let now = self.now();
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        if run.attempt != attempt || run.phase != RunPhase::Starting {
            return;
        }
        self.runs_to_advance.insert(task);
        let retry = now + RETRY_DELAY;
        match result {
            Ok(()) => {
                run.phase = RunPhase::Running;
                run.maybe_started = true;
                run.running_since = now;
                self.record_start(task);
            }
            Err(WorkerCallError::Worker(WorkerError::Unknown)) => {
                run.maybe_started = true;
                run.phase = RunPhase::Unconfirmed { retry };
            }
            // An earlier copy of the start may have been accepted; only a stop or a report can
            // clarify that.
            Err(_) if run.maybe_started => run.phase = RunPhase::Unconfirmed { retry },
            Err(WorkerCallError::Worker(WorkerError::OutOfDate)) => {
                run.maybe_started = true;
                run.phase = RunPhase::Unconfirmed { retry: now };
                run.stop_request = StopRequest::Stop;
            }
            Err(_) => {
                run.phase = RunPhase::ReadyToStart;
                self.end_run(task, RunOutcome::NotStarted);
            }
        }
    }

    /// Handles the answer to a checkpoint.
    pub(crate) fn on_checkpointed(
        &mut self,
        task: TaskId,
        attempt: u32,
        result: Result<CheckpointId, WorkerCallError>,
    ) {
        self.stops_in_flight = self.stops_in_flight.saturating_sub(1);
        let now = self.now();
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        if run.attempt != attempt || run.phase != RunPhase::Stopping {
            return;
        }
        self.runs_to_advance.insert(task);
        match result {
            Ok(checkpoint) => {
                let checkpoint = CheckpointName::from(checkpoint.as_str());
                self.end_run(task, RunOutcome::Checkpointed { checkpoint });
            }
            Err(WorkerCallError::Worker(WorkerError::CheckpointFailed)) => {
                run.phase = RunPhase::Running;
                run.checkpoint_not_before = now + CHECKPOINT_RETRY_DELAY;
                run.stop_request = match run.stop_request {
                    // The task loses the work since its last checkpoint, but is not lost itself.
                    StopRequest::CheckpointOrStop => StopRequest::Stop,
                    StopRequest::Checkpoint => StopRequest::Continue,
                    stronger => stronger,
                };
            }
            Err(WorkerCallError::Worker(WorkerError::UnknownRun)) => self.await_outcome(task, now),
            Err(_) => {
                run.phase = RunPhase::Running;
                run.checkpoint_not_before = now + RETRY_DELAY;
            }
        }
    }

    /// Handles the answer to a stop.
    pub(crate) fn on_stopped(
        &mut self,
        task: TaskId,
        attempt: u32,
        result: Result<(), WorkerCallError>,
    ) {
        self.stops_in_flight = self.stops_in_flight.saturating_sub(1);
        let now = self.now();
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        if run.attempt != attempt || run.phase != RunPhase::Stopping {
            return;
        }
        self.runs_to_advance.insert(task);
        match result {
            Ok(()) | Err(WorkerCallError::Worker(WorkerError::UnknownRun)) => {
                self.await_outcome(task, now)
            }
            Err(_) => {
                let retry = now + RETRY_DELAY;
                run.phase = RunPhase::Unconfirmed { retry };
                run.stop_request = StopRequest::Stop;
            }
        }
    }

    /// Waits for a report with the run's outcome. The run may have finished just before it was
    /// stopped, and its result would be lost otherwise.
    fn await_outcome(&mut self, task: TaskId, now: Duration) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        run.phase = RunPhase::AwaitingOutcome { since: now };
        let worker = run.worker;
        self.reschedule_call(worker, now);
    }
}
