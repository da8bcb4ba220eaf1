//! Starts without an answer: they are repeated, and may yet be carried out.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    Dispatcher,
    RunNumber,
    StartOrder,
    TaskKey,
    WorkerKey,
    dispatcher_placement::has_valid_ticket,
    dispatcher_workers::FORMER_CALL_WINDOW,
    job_state::TaskState,
    outstanding_start::OutstandingStart,
    run_state::{
        RunPhase,
        RunState, //
    }, //
};

/// The number of times that the start of a run is sent to a worker which answers lease renewals and no starts.
const MAX_START_ATTEMPTS: u32 = 8;

impl Dispatcher {
    /// Records that a start has no answer. It is repeated for the same run, so that the worker executes one however many of the calls
    /// it carries out, or the run is stopped.
    pub(crate) fn handle_unanswered_start(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        run: RunNumber,
        now: Duration,
    ) {
        let worker = self.worker_mut(key);
        let mut start = OutstandingStart {
            worker: key,
            unanswered_at: now,
            calls: 1,
            restarts: worker.restarts,
            is_last: false,
        };
        let mut is_unsure = false;
        if let Some(state) = worker.runs.get_mut(&(task, run)) {
            state.unanswered_starts += 1;
            start.is_last = state.unanswered_starts >= MAX_START_ATTEMPTS;
            // The start was sent to the former incarnation.
            start.restarts -= u64::from(state.is_orphaned).min(start.restarts);
            is_unsure = state.phase == RunPhase::Sent;
            if is_unsure {
                state.phase = RunPhase::Unsure;
            }
        }
        self.note_outstanding_start(task, start, now);
        if is_unsure && (start.is_last || self.has_crashes(task)) {
            self.stop_run(key, task, run);
        }
    }

    fn has_crashes(&self, task: TaskKey) -> bool {
        let history = self.crash_history(task);
        history.is_some_and(|crashes| !crashes.is_empty())
    }

    /// Lets the starts without an answer be repeated that a worker has not carried out, as its report tells.
    pub(crate) fn retry_unanswered_starts(&mut self, key: WorkerKey) {
        let runs = self.workers[key.index()].runs.iter();
        let unsure = runs.filter(|(_, run)| run.phase == RunPhase::Unsure);
        let retries = unsure.map(|(&(task, run), _)| (key, task, run));
        self.pending_retries.extend(retries);
    }

    fn note_outstanding_start(&mut self, task: TaskKey, start: OutstandingStart, now: Duration) {
        let allows_copies = self
            .step_spec(task.step)
            .is_none_or(|spec| spec.allows_copies);
        let earlier = self.outstanding_start(task, now);
        if !allows_copies && let Some(known) = self.outstanding_start_mut(task) {
            *known = Some(OutstandingStart {
                calls: earlier.map_or(0, |earlier| earlier.calls) + start.calls,
                ..start
            });
        }
    }

    /// Records that a run is known to have begun; one of its starts without an answer was carried out, unless another is under way.
    pub(crate) fn settle_outstanding_start(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        run: RunNumber,
    ) {
        let state = self.worker(key).runs.get(&(task, run));
        let is_carried_out = state.is_some_and(|state| {
            !state.has_begun && state.unanswered_starts > 0 && state.phase != RunPhase::Sent
        });
        if is_carried_out && let Some(known) = self.outstanding_start_mut(task) {
            known.take_if(|start| start.calls <= 1);
            if let Some(start) = known {
                start.calls -= 1;
            }
        }
    }

    fn outstanding_start_mut(&mut self, task: TaskKey) -> Option<&mut Option<OutstandingStart>> {
        let step = task.step;
        let job = self.jobs.get_mut(&step.job)?;
        let state = job.step_mut(step.occurrence, step.step)?;
        let task = state.tasks.get_mut(task.index as usize)?;
        Some(&mut task.outstanding_start)
    }

    /// Returns the starts that are repeated; stops the runs whose workers may not take a start now.
    pub(crate) fn plan_retries(&mut self, now: Duration) -> Vec<StartOrder> {
        let mut orders = Vec::new();
        for (key, task, run) in std::mem::take(&mut self.pending_retries) {
            let state = self.worker(key).runs.get(&(task, run));
            if state.is_none_or(|state| state.phase != RunPhase::Unsure) {
                continue;
            }
            if self.order_window.remaining() == 0 {
                self.pending_retries.insert((key, task, run));
                continue;
            }
            match self.may_retry_start(key, task, run, now) {
                true => orders.extend(self.retry_start(key, task, run, now)),
                false => self.stop_run(key, task, run),
            }
        }
        orders
    }

    fn may_retry_start(
        &self,
        key: WorkerKey,
        task: TaskKey,
        run: RunNumber,
        now: Duration,
    ) -> bool {
        let step = task.step;
        let worker = self.worker(key);
        let Some(job) = self.jobs.get(&step.job).filter(|job| !job.is_over()) else {
            return false;
        };
        let Some(rule) = self.queue_rules.get(&job.queue) else {
            return false;
        };
        let Some(step) = job.step(step.occurrence, step.step) else {
            return false;
        };
        let is_orphaned = |state: &RunState| state.is_orphaned;
        let has_restarted =
            worker.has_unfenced_restart() || worker.runs.get(&(task, run)).is_none_or(is_orphaned);
        let has_ticket = rule.advice.is_none() || has_valid_ticket(step.tickets.get(&key), now);
        let may_crash = self.has_crashes(task) || worker.isolated_suspect(task, now).is_some();
        has_ticket
            && !has_restarted
            && !may_crash
            && worker.reserved.fits_in(worker.record.capacity)
            && !worker.health.is_quarantined(now)
            && self.is_available(worker, &rule.pool)
    }

    fn retry_start(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        run: RunNumber,
        now: Duration,
    ) -> Option<StartOrder> {
        let graph = Arc::clone(&self.jobs.get(&task.job())?.graph);
        let is_gang = graph.steps.get(usize::from(task.step.step))?.gang;
        let placement = self.repeat_placement(task, key, run, now);
        self.order_window.record_start_sent();
        Some(self.start_order(&placement, &graph.payload, is_gang))
    }

    /// Handles a refusal of a start; returns whether the run is over, as no earlier call for it is outstanding.
    pub(crate) fn is_refused_start_over(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        run: RunNumber,
    ) -> bool {
        let Some(state) = self.worker_mut(key).runs.get_mut(&(task, run)) else {
            return true;
        };
        if state.unanswered_starts == 0 {
            return true;
        }
        if state.phase == RunPhase::Sent {
            state.phase = RunPhase::Unsure;
            self.stop_run(key, task, run);
        }
        false
    }

    /// Returns the start of a task that may yet be carried out, so that a run elsewhere would be a second one.
    pub(crate) fn outstanding_start(
        &self,
        task: TaskKey,
        now: Duration,
    ) -> Option<OutstandingStart> {
        let step = task.step;
        let job = self.jobs.get(&step.job).filter(|job| !job.is_over())?;
        let state = job.step(step.occurrence, step.step)?;
        self.outstanding_start_of(state.tasks.get(task.index as usize)?, now)
    }

    /// Returns the start of a task of a job that is not over that may yet be carried out.
    pub(crate) fn outstanding_start_of(
        &self,
        task: &TaskState,
        now: Duration,
    ) -> Option<OutstandingStart> {
        task.outstanding_start
            .filter(|start| !task.done && self.may_be_carried_out(start, now))
    }

    fn may_be_carried_out(&self, start: &OutstandingStart, now: Duration) -> bool {
        let worker = self.worker(start.worker);
        // An answer to a later call lists the run if the start was carried out.
        let last_act_at = start.unanswered_at + FORMER_CALL_WINDOW;
        let is_settled = worker
            .last_answered_call_at
            .is_some_and(|sent| sent >= last_act_at);
        let is_refused = worker.restarts > start.restarts && !worker.has_unfenced_restart();
        if is_settled || is_refused {
            return false;
        }
        let lapses_at = self.late_grants_lapse_at(worker);
        !worker.clock.has_lapsed(now) || lapses_at.is_some_and(|lapses_at| now <= lapses_at)
    }
}
