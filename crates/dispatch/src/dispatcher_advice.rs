//! Requests to the advice service, which issues the tickets that some queues' workers require.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    AdviceRequest,
    Dispatcher,
    StepKey,
    StepSpec,
    WorkerKey,
    dispatcher_placement::fits_labels,
    dispatcher_plan::PlanOutcome, //
};

/// The time after which unanswered advice is requested again.
const ADVICE_RETRY_INTERVAL: Duration = Duration::from_millis(1500);
/// The maximum number of workers in one advice request.
const MAX_WORKERS_PER_ADVICE_REQUEST: usize = 30;
/// The minimum remaining validity of a ticket with which a start is sent: the start takes a moment
/// to arrive.
pub(crate) const MIN_TICKET_VALIDITY: Duration = Duration::from_millis(300);

impl Dispatcher {
    /// Stores the tickets, by worker identity, for the tasks of a step; workers without a ticket
    /// may not run it.
    pub fn store_tickets(
        &mut self,
        step: StepKey,
        tickets: Vec<(Arc<str>, Arc<str>)>,
        until: Duration,
    ) {
        let by_worker: Vec<(WorkerKey, Arc<str>)> = tickets
            .into_iter()
            .filter_map(|(id, ticket)| Some((self.worker_key(&id)?, ticket)))
            .collect();
        if let Some(state) = self.jobs.get_mut(&step.job)
            && let Some(state) = state.step_mut(step.occurrence, step.step)
        {
            for (key, ticket) in by_worker {
                state.tickets.insert(key, (ticket, until));
            }
        }
    }

    /// Requests advice for a step if valid tickets exist for fewer than half as many workers as it
    /// has unfinished tasks.
    pub(crate) fn request_advice(
        &mut self,
        step: StepKey,
        spec: &StepSpec,
        pool: &Arc<str>,
        now: Duration,
        outcome: &mut PlanOutcome,
    ) {
        let Some(state) = self
            .jobs
            .get(&step.job)
            .and_then(|job| job.step(step.occurrence, step.step))
        else {
            return;
        };
        let requested_at = state.advice_requested_at;
        let valid = state.tickets.iter().filter(|(key, (_, until))| {
            now + MIN_TICKET_VALIDITY < *until && self.is_usable(self.worker(**key), pool, now)
        });
        let has_enough = valid.count() * 2 >= state.tasks.iter().filter(|task| !task.done).count();
        if has_enough || requested_at.is_some_and(|at| now < at + ADVICE_RETRY_INTERVAL) {
            return;
        }
        let known = &state.tickets;
        let mut candidates: Vec<(i64, WorkerKey)> = (0..self.workers.len())
            .map(WorkerKey::new)
            .filter(|key| {
                let worker = self.worker(*key);
                let held = known.get(key).is_some_and(|(_, until)| now < *until);
                !held && self.is_usable(worker, pool, now) && fits_labels(worker, spec)
            })
            .map(|key| (self.worker(key).idle_cpu(), key))
            .collect();
        candidates.sort_unstable_by(|left, right| right.cmp(left));
        let workers = candidates
            .into_iter()
            .take(MAX_WORKERS_PER_ADVICE_REQUEST)
            .map(|(_, key)| Arc::clone(&self.worker(key).record.id))
            .collect();
        outcome
            .advice_requests
            .push(AdviceRequest { step, workers });
        if let Some(job) = self.jobs.get_mut(&step.job)
            && let Some(state) = job.step_mut(step.occurrence, step.step)
        {
            state.advice_requested_at = Some(now);
        }
    }
}
