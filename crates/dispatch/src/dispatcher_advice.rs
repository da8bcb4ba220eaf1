//! Requests to the advice service, which issues the tickets that some queues' workers require.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    AdviceWish,
    Dispatcher,
    StepKey,
    StepSpec,
    WorkerKey,
    dispatcher_plan::{
        PlanOutcome,
        fits_labels, //
    }, //
};

/// The time after which unanswered advice is requested again.
const ADVICE_AGAIN: Duration = Duration::from_millis(1500);
/// The maximum number of workers in one advice request.
const ADVICE_WORKERS: usize = 30;
/// The minimum remaining validity of a ticket with which a start is sent: the start takes a moment
/// to arrive.
pub(crate) const TICKET_MARGIN: Duration = Duration::from_millis(300);

impl Dispatcher {
    /// Stores the tickets, by worker identity, for the tasks of a step; workers without a ticket
    /// may not run it.
    pub fn advice_answered(
        &mut self,
        step: StepKey,
        tickets: Vec<(Arc<str>, Arc<str>)>,
        until: Duration,
    ) {
        let keyed: Vec<(WorkerKey, Arc<str>)> = tickets
            .into_iter()
            .filter_map(|(id, ticket)| Some((self.worker_key(&id)?, ticket)))
            .collect();
        if let Some(state) = self.jobs.get_mut(&step.job)
            && let Some(state) = state.step_mut(step.occurrence, step.step)
        {
            for (key, ticket) in keyed {
                state.tickets.insert(key, (ticket, until));
            }
        }
    }

    /// Requests advice for a step if valid tickets exist for fewer than half as many workers as it
    /// has unfinished tasks.
    pub(crate) fn wish_advice(
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
        let asked = state.advice_asked;
        let fresh = state.tickets.iter().filter(|(key, (_, until))| {
            now + TICKET_MARGIN < *until && self.is_usable(self.worker(**key), pool, now)
        });
        let enough = fresh.count() * 2 >= state.tasks.iter().filter(|task| !task.done).count();
        if enough || asked.is_some_and(|at| now < at + ADVICE_AGAIN) {
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
            .take(ADVICE_WORKERS)
            .map(|(_, key)| Arc::clone(&self.worker(key).record.id))
            .collect();
        outcome.advice.push(AdviceWish { step, workers });
        if let Some(job) = self.jobs.get_mut(&step.job)
            && let Some(state) = job.step_mut(step.occurrence, step.step)
        {
            state.advice_asked = Some(now);
        }
    }
}
