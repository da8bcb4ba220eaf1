//! Requests to the advice service, which issues the tickets that some queues' workers require.

use std::{
    cmp::Reverse,
    sync::Arc,
    time::Duration, //
};

use crate::{
    AdviceRequest,
    Dispatcher,
    StepKey,
    StepSpec,
    WorkerKey,
    dispatcher_placement::{
        fits_labels,
        has_valid_ticket, //
    },
    dispatcher_plan::PlanOutcome,
    job_state::StepState, //
};

/// The maximum number of workers in one advice request.
const MAX_WORKERS_PER_ADVICE_REQUEST: usize = 30;
/// The maximum number among these whose tickets are renewed: the others are named in turn.
const MAX_RENEWALS_PER_ADVICE_REQUEST: usize = 15;
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
            state
                .advice
                .record_answer(by_worker.iter().map(|(key, _)| *key));
            for (key, ticket) in by_worker {
                // A ticket is valid for one incarnation of the worker.
                if !state.advice.has_restarted(key) {
                    state.tickets.insert(key, (ticket, until));
                }
            }
        }
    }

    /// Discards the tickets for a worker, which are valid for one incarnation of it, also those that are under way.
    pub(crate) fn discard_tickets(&mut self, worker: WorkerKey) {
        let occurrences = self
            .jobs
            .values_mut()
            .flat_map(|job| job.occurrences.values_mut());
        for step in occurrences.flat_map(|occurrence| &mut occurrence.steps) {
            step.tickets.swap_remove(&worker);
            step.advice.record_restart(worker);
        }
    }

    /// Requests advice for a step if valid tickets exist for fewer than half as many workers as it
    /// has unfinished tasks, or for none with room for a task.
    pub(crate) fn request_advice(
        &mut self,
        step: StepKey,
        spec: &StepSpec,
        pool: &Arc<str>,
        now: Duration,
        outcome: &mut PlanOutcome,
    ) {
        let Some(state) = self.step_state(step) else {
            return;
        };
        let is_valid = |key: &WorkerKey| has_valid_ticket(state.tickets.get(key), now);
        let is_usable = |key: &WorkerKey| self.is_usable(self.worker(*key), pool, now);
        let has_room = |key: &WorkerKey| {
            let free = self.worker(*key).free_capacity();
            spec.reserved().fits_in(free) && !state.is_at_spread_limit(*key, spec)
        };
        let held = state.tickets.keys().copied().filter(is_valid);
        let valid: Vec<WorkerKey> = held.filter(is_usable).collect();
        let unfinished = state.tasks.iter().filter(|task| !task.done);
        let is_covered = valid.len() * 2 >= unfinished.count();
        if (is_covered && valid.iter().any(has_room)) || !state.advice.is_due(now) {
            return;
        }
        let candidates = (0..self.workers.len()).map(WorkerKey::new).filter(|key| {
            !is_valid(key)
                && is_usable(key)
                && fits_labels(self.worker(*key), spec)
                && (!is_covered || has_room(key))
        });
        let workers = self.select_for_advice(candidates.collect(), state);
        let ids = workers
            .iter()
            .map(|key| Arc::clone(&self.worker(*key).record.id))
            .collect();
        if let Some(job) = self.jobs.get_mut(&step.job)
            && let Some(state) = job.step_mut(step.occurrence, step.step)
            && state.advice.begin_request(&workers, now)
        {
            let request = AdviceRequest { step, workers: ids };
            outcome.advice_requests.push(request);
        }
    }

    /// Returns the workers to name in a request: some that are known to be permitted, then those
    /// that were named least recently, each time those with the most idle CPU first.
    fn select_for_advice(&self, candidates: Vec<WorkerKey>, state: &StepState) -> Vec<WorkerKey> {
        let history = &state.advice;
        let mut candidates = candidates;
        candidates.sort_by_key(|key| Reverse((self.worker(*key).idle_cpu(), *key)));
        let (mut named, mut others): (Vec<WorkerKey>, Vec<WorkerKey>) = candidates
            .into_iter()
            .partition(|key| history.permits(*key));
        others.extend(named.split_off(named.len().min(MAX_RENEWALS_PER_ADVICE_REQUEST)));
        others.sort_by_key(|key| history.named_at(*key));
        named.extend(others);
        named.truncate(MAX_WORKERS_PER_ADVICE_REQUEST);
        named
    }

    fn step_state(&self, step: StepKey) -> Option<&StepState> {
        let job = self.jobs.get(&step.job)?;
        job.step(step.occurrence, step.step)
    }
}
