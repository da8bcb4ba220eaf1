//! Runs that are committed before there is room for them.
//!
//! Without the table no run can be committed, and none may start uncommitted: a successor that cannot
//! reach the run's worker would not know of it. So while the table answers, a few waiting tasks are
//! committed ahead to workers that are full; in an outage those workers go on with them as room
//! falls free. Only the committed worker may run them, so that this is as safe as any start.

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

/// The most runs committed ahead on a worker: as many as it runs, and no more than this.
const MOST_AHEAD: usize = 16;
/// The most that are committed ahead in one pass, and the queued jobs that are looked at.
const MOST_PER_PASS: usize = 256;
const MOST_LOOKED_AT: usize = 64;
/// How often runs are committed ahead or taken back.
const AHEAD_EVERY: Duration = Duration::from_secs(1);
/// A run ahead whose latest start is nearer than this is taken back, to start anywhere.
const TAKE_BACK_MS: i64 = 10_000;

impl ShardState {
    /// Starts the runs ahead that have room now, the earliest committed first. While the table
    /// answers, they give way to waiting tasks with less laxity.
    pub(crate) fn start_ahead(&mut self, now: Duration) {
        let first = self.queue.next_after(None).map(|(start, _)| start);
        let first = first.filter(|_| self.table_silent.is_none());
        let links = self.links.iter();
        let full = links.filter(|(_, link)| !link.ahead.is_empty());
        let keys: Vec<WorkerKey> = full.map(|(key, _)| *key).collect();
        for key in keys {
            while self.start_next_ahead(key, first, now) {}
        }
    }

    fn start_next_ahead(
        &mut self,
        key: WorkerKey,
        first: Option<LatestStart>,
        now: Duration,
    ) -> bool {
        let Some(task) = self.links[&key].ahead.first().copied() else {
            return false;
        };
        let worker = self.pool.worker(key);
        let open = worker.condition == WorkerCondition::Open;
        let run = &self.runs[&task];
        let fits = run.counted.fits_in(worker.free_capacity());
        let harmless = self
            .learned
            .interference
            .added_interference(worker, run.class, run.kind, false)
            .is_some();
        let in_turn = first.is_none_or(|first| run.latest <= first);
        if !(open && fits && harmless && in_turn && self.pool.domain_admits_start(key, now)) {
            return false;
        }
        let (class, counted) = (run.class, run.counted);
        self.links[&key].ahead.shift_remove(&task);
        self.pool.reserve(key, class, counted);
        self.pool.record_start(key);
        self.note_company(key);
        if let Some(run) = self.runs.get_mut(&task) {
            run.phase = RunPhase::ToStart;
            run.holds_room = true;
        }
        self.attention.insert(task);
        true
    }

    /// Commits waiting tasks ahead, and takes back those that could start elsewhere.
    pub(crate) fn plan_ahead(&mut self, now: Duration) {
        if now < self.next_ahead {
            return;
        }
        self.next_ahead = now + AHEAD_EVERY;
        match self.queue.is_empty() {
            true => self.take_back(now, true),
            false => {
                self.take_back(now, false);
                self.commit_ahead(now);
            }
        }
    }

    fn commit_ahead(&mut self, now: Duration) {
        let links = self.links.iter();
        let open = links.filter(|(key, link)| {
            let worker = self.pool.worker(**key);
            worker.condition == WorkerCondition::Open
                && self.pool.domain_admits_start(**key, now)
                && link.ahead.len() < MOST_AHEAD.min(link.runs.len() - link.ahead.len())
        });
        let keys: Vec<WorkerKey> = open.map(|(key, _)| *key).collect();
        for key in keys.into_iter().take(MOST_PER_PASS) {
            self.commit_one_ahead(key, now);
        }
    }

    fn commit_one_ahead(&mut self, key: WorkerKey, now: Duration) {
        let mut at: Option<(LatestStart, JobId)> = None;
        for _ in 0..MOST_LOOKED_AT {
            let Some((start, job)) = self.queue.next_after(at) else {
                return;
            };
            at = Some((start, job));
            let Some(task) = self.queue.peek(job) else {
                return;
            };
            if start.laxity_ms(now) > TAKE_BACK_MS && self.place_ahead(key, task, start) {
                self.queue.pop(job);
                return;
            }
        }
    }

    fn place_ahead(&mut self, key: WorkerKey, task: TaskId, start: LatestStart) -> bool {
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
        run.holds_room = false;
        run.ahead = true;
        run.latest = start;
        self.pool.release(key, class, size);
        self.note_company(key);
        true
    }

    /// Takes runs ahead back: those whose latest start is near, and, when nothing else waits and
    /// another worker has room, the ones that wait longest.
    fn take_back(&mut self, now: Duration, idle: bool) {
        let mut back = Vec::new();
        for link in self.links.values() {
            for task in &link.ahead {
                let run = &self.runs[task];
                let near = run.latest.laxity_ms(now) < TAKE_BACK_MS;
                if near || (idle && self.has_room_elsewhere(run.worker, run.counted)) {
                    back.push(*task);
                }
            }
        }
        for task in back.into_iter().take(MOST_PER_PASS) {
            self.end_run(task, RunOutcome::NotStarted);
        }
    }

    fn has_room_elsewhere(&self, key: WorkerKey, size: jasminebend_base::ResourceAmount) -> bool {
        self.pool
            .find_free_worker(size)
            .is_some_and(|other| other != key)
    }
}
