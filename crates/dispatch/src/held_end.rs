//! Ends of runs whose jobs an owner does not know yet.

use std::time::Duration;

use crate::{
    Dispatcher,
    EarlierRun,
    EndedRun,
    JobKey,
    UnknownEnd,
    UnknownEndOutcome,
    WorkerKey,
    worker_state::PendingAck, //
};

/// The end of a run whose job is not known yet. It counts as soon as the job is, before the next plan.
#[derive(Clone, Debug)]
pub(crate) struct HeldEnd {
    worker: WorkerKey,
    ended: EndedRun,
    /// When the worker listed the end.
    listed_at: Duration,
    /// Whether the incarnation that listed it is the worker's present one, which waits for its acknowledgement.
    is_of_present_incarnation: bool,
}

impl Dispatcher {
    /// Records that all jobs are known of which a former owner may have started tasks. Ends of jobs that are still unknown are
    /// acknowledged, and their runs are stopped.
    pub fn confirm_former_jobs(&mut self, now: Duration) {
        if self.knows_former_jobs {
            return;
        }
        self.knows_former_jobs = true;
        let committed = self.commits.committed_through();
        for held in std::mem::take(&mut self.held_ends).into_values().flatten() {
            self.settle_held_end(&held, UnknownEndOutcome::Dropped, Some(committed), now);
        }
        self.acknowledge();
    }

    /// Returns whether a job is unknown and may yet be learned: a former owner may have started tasks of
    /// a job that was accepted after this owner had read the jobs.
    pub(crate) fn may_learn_job(&self, job: JobKey) -> bool {
        !self.knows_former_jobs && !self.jobs.contains_key(&job)
    }

    /// Holds the end of a run whose job is unknown, or drops it if the job can't become known.
    pub(crate) fn handle_unknown_end(&mut self, worker: WorkerKey, ended: EndedRun, now: Duration) {
        let job = ended.task.job();
        let held = HeldEnd {
            worker,
            ended,
            listed_at: now,
            is_of_present_incarnation: true,
        };
        self.worker_mut(worker).pending_acks.push_back(PendingAck {
            number: held.ended.number,
            change: None,
        });
        if self.is_unreadable(job) {
            let change = self.record_end(&held.ended);
            self.settle_held_end(&held, UnknownEndOutcome::Recorded, change, now);
            return;
        }
        if self.may_learn_job(job) {
            self.note_unknown_end(&held, UnknownEndOutcome::Held, now);
            self.held_ends.entry(job).or_default().push(held);
            return;
        }
        let committed = self.commits.committed_through();
        self.settle_held_end(&held, UnknownEndOutcome::Dropped, Some(committed), now);
    }

    /// Applies the ends of a job that workers listed before it was known.
    pub(crate) fn apply_held_ends(&mut self, job: JobKey) {
        for held in self.held_ends.swap_remove(&job).unwrap_or_default() {
            let EndedRun {
                task, run, result, ..
            } = held.ended;
            let how = EarlierRun::Ended(result);
            self.release_run(held.worker, task, run, how, held.listed_at);
            let change = self.apply_completion(held.worker, &held.ended, false, held.listed_at);
            let now = self.last_plan_at.max(held.listed_at);
            self.settle_held_end(&held, UnknownEndOutcome::Applied, change, now);
        }
    }

    /// Records the ends of a job that workers listed before it was found to be unreadable.
    pub(crate) fn record_held_ends(&mut self, job: JobKey) {
        for held in self.held_ends.swap_remove(&job).unwrap_or_default() {
            let change = self.record_end(&held.ended);
            let now = self.last_plan_at.max(held.listed_at);
            self.settle_held_end(&held, UnknownEndOutcome::Recorded, change, now);
        }
    }

    /// Keeps a restarted worker's ends: they still count, but its new incarnation does not wait for their acknowledgement.
    pub(crate) fn detach_held_ends(&mut self, worker: WorkerKey) {
        let ends = self.held_ends.values_mut().flatten();
        for held in ends.filter(|held| held.worker == worker) {
            held.is_of_present_incarnation = false;
        }
    }

    /// Lets a held end be acknowledged once `change` is on record; it stays with its worker without one.
    fn settle_held_end(
        &mut self,
        held: &HeldEnd,
        outcome: UnknownEndOutcome,
        change: Option<u64>,
        now: Duration,
    ) {
        self.note_unknown_end(held, outcome, now);
        if held.is_of_present_incarnation
            && let Some(change) = change
        {
            self.worker_mut(held.worker)
                .set_pending_change(held.ended.number, change);
        }
    }

    /// Records for the log the end of a run whose job is, or was, unknown.
    fn note_unknown_end(&mut self, held: &HeldEnd, outcome: UnknownEndOutcome, now: Duration) {
        self.pending_unknown_ends.push(UnknownEnd {
            worker: held.worker,
            ended: held.ended.clone(),
            outcome,
            held_for: now.saturating_sub(held.listed_at),
        });
    }
}
