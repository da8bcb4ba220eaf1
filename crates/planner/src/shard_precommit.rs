//! Runs that are committed before their worker has free capacity ("pre-committed").
//!
//! Without the table no run can be committed, and none may start uncommitted: a successor that
//! cannot reach the run's worker would not know about the run. So while the table is available, a
//! few waiting tasks are pre-committed to workers that are full. During an outage of the table,
//! those workers run them as capacity becomes free. A pre-committed run may start only on its
//! committed worker, so it is as safe as any other start.

use std::time::Duration;

use jasminebend_base::ClassKind;
use jasminebend_placement::{
    JobId,
    LatestStart,
    RunOutcome,
    TaskId,
    WorkerCondition,
    WorkerKey, //
};

use crate::{
    run_phase::RunPhase,
    shard_state::ShardState, //
};

/// Limits the pre-committed runs of a worker, which also never exceed the number of its other runs.
const MAX_PRECOMMITTED_PER_WORKER: usize = 16;
/// Limits the runs that are pre-committed, and those that are withdrawn, in one pass.
const MAX_CHANGES_PER_PASS: usize = 256;
/// Limits the queued jobs that are examined for one worker.
const MAX_JOBS_EXAMINED: usize = 64;
/// Interval at which runs are pre-committed or withdrawn.
const PRECOMMIT_INTERVAL: Duration = Duration::from_secs(1);
/// A pre-committed run is withdrawn if its latest start is less than this many milliseconds away,
/// so that it can start on any worker.
const WITHDRAWAL_LAXITY_MS: i64 = 10_000;

impl ShardState {
    /// Starts pre-committed runs whose worker has free capacity now, in the order in which they
    /// were committed. While the table is available, waiting tasks with less laxity go first.
    pub(crate) fn start_precommitted(&mut self, now: Duration) {
        let first = self.queue.next_after(None).map(|(start, _)| start);
        let first = first.filter(|_| self.table_failing_since.is_none());
        let links = self.links.iter();
        let full = links.filter(|(_, link)| !link.precommitted.is_empty());
        let keys: Vec<WorkerKey> = full.map(|(key, _)| *key).collect();
        for key in keys {
            while self.start_next_precommitted(key, first, now) {}
        }
    }

    /// Makes the first pre-committed run of a worker ready to start, if it is allowed now; returns
    /// whether it did.
    fn start_next_precommitted(
        &mut self,
        key: WorkerKey,
        first: Option<LatestStart>,
        now: Duration,
    ) -> bool {
        let Some(task) = self.links[&key].precommitted.first().copied() else {
            return false;
        };
        let worker = self.pool.worker(key);
        let open = worker.condition == WorkerCondition::Open;
        let run = &self.runs[&task];
        let fits = run.reservation.fits_in(worker.free_capacity());
        let interference_allowed = self
            .learned
            .interference
            .added_interference(worker, run.class, run.kind, false)
            .is_some();
        let in_turn = first.is_none_or(|first| run.latest_start <= first);
        if !(open
            && fits
            && interference_allowed
            && in_turn
            && self.pool.domain_admits_start(key, now))
        {
            return false;
        }
        let (class, reservation) = (run.class, run.reservation);
        self.links[&key].precommitted.shift_remove(&task);
        self.pool.reserve(key, class, reservation);
        self.pool.record_start(key);
        self.record_colocation(key);
        if let Some(run) = self.runs.get_mut(&task) {
            run.phase = RunPhase::ReadyToStart;
            run.holds_capacity = true;
        }
        self.runs_to_advance.insert(task);
        true
    }

    /// Withdraws pre-committed runs that could start elsewhere, and pre-commits waiting tasks.
    pub(crate) fn plan_precommits(&mut self, now: Duration) {
        if now < self.next_precommit {
            return;
        }
        self.next_precommit = now + PRECOMMIT_INTERVAL;
        match self.queue.is_empty() {
            true => self.withdraw_precommitted(now, true),
            false => {
                self.withdraw_precommitted(now, false);
                self.precommit_tasks(now);
            }
        }
    }

    /// Pre-commits up to one waiting task on each open worker that is below its limit.
    fn precommit_tasks(&mut self, now: Duration) {
        let links = self.links.iter();
        let open = links.filter(|(key, link)| {
            let worker = self.pool.worker(**key);
            worker.condition == WorkerCondition::Open
                && self.pool.domain_admits_start(**key, now)
                && link.precommitted.len()
                    < MAX_PRECOMMITTED_PER_WORKER.min(link.runs.len() - link.precommitted.len())
        });
        let keys: Vec<WorkerKey> = open.map(|(key, _)| *key).collect();
        for key in keys.into_iter().take(MAX_CHANGES_PER_PASS) {
            self.precommit_one_task(key, now);
        }
    }

    /// Pre-commits the first suitable waiting task on a worker.
    fn precommit_one_task(&mut self, key: WorkerKey, now: Duration) {
        let mut last: Option<(LatestStart, JobId)> = None;
        for _ in 0..MAX_JOBS_EXAMINED {
            let Some((start, job)) = self.queue.next_after(last) else {
                return;
            };
            last = Some((start, job));
            let Some(task) = self.queue.peek(job) else {
                return;
            };
            if start.laxity_ms(now) > WITHDRAWAL_LAXITY_MS && self.precommit_task(key, task, start)
            {
                self.queue.pop(job);
                return;
            }
        }
    }

    /// Pre-commits a task on a worker if size, quota and interference allow it; returns whether it
    /// did. Reserves no capacity.
    fn precommit_task(&mut self, key: WorkerKey, task: TaskId, start: LatestStart) -> bool {
        let worker = self.pool.worker(key);
        let (Some(job), Some(record)) = (self.ledger.job(task.job), self.ledger.task(task)) else {
            return false;
        };
        let class = self
            .learned
            .classes
            .get_or_insert(&job.spec.team, &job.spec.class);
        let size = self.learned.usage.reservation(class, job.spec.size);
        let fits = job.kind == ClassKind::Batch
            && size.fits_in(worker.capacity)
            && !record.failed_on.contains(&worker.name)
            && self.quota_allows(job, size)
            && self
                .learned
                .interference
                .added_interference(worker, class, job.kind, false)
                .is_some();
        if !fits {
            return false;
        }
        self.place(task, key, class, size);
        let Some(run) = self.runs.get_mut(&task) else {
            return false;
        };
        run.holds_capacity = false;
        run.precommitted = true;
        run.latest_start = start;
        self.pool.release(key, class, size);
        self.record_colocation(key);
        true
    }

    /// Withdraws pre-committed runs whose latest start is near and, when no other task waits, those
    /// that would fit on another worker now.
    fn withdraw_precommitted(&mut self, now: Duration, idle: bool) {
        let mut withdrawn = Vec::new();
        for link in self.links.values() {
            for task in &link.precommitted {
                let run = &self.runs[task];
                let near = run.latest_start.laxity_ms(now) < WITHDRAWAL_LAXITY_MS;
                if near || (idle && self.has_capacity_elsewhere(run.worker, run.reservation)) {
                    withdrawn.push(*task);
                }
            }
        }
        for task in withdrawn.into_iter().take(MAX_CHANGES_PER_PASS) {
            self.end_run(task, RunOutcome::NotStarted);
        }
    }

    /// Returns whether another worker has free capacity for this size.
    fn has_capacity_elsewhere(
        &self,
        key: WorkerKey,
        size: jasminebend_base::ResourceAmount,
    ) -> bool {
        self.pool
            .find_free_worker(size)
            .is_some_and(|other| other != key)
    }
}
