//! Workers on which everything fails.

use std::time::Duration;

use jasminebend_base::ClassKind;
use jasminebend_placement::{
    JobId,
    LatestStart,
    TaskId,
    WorkerKey, //
};
use spdlog::{
    info,
    warn, //
};

use crate::{
    link_phase::LinkPhase,
    shard_state::ShardState, //
};

/// The distinct jobs that fail on a worker, with none finishing, before it is set aside.
const FAILED_JOBS_MOST: usize = 3;
/// How long it is set aside before it is probed, doubled with each probe that fails.
const SET_ASIDE: Duration = Duration::from_secs(60);
const SET_ASIDE_MOST: Duration = Duration::from_secs(1800);

impl ShardState {
    pub(crate) fn note_worker_success(&mut self, key: WorkerKey) {
        let link = &mut self.links[&key];
        link.failed_jobs.clear();
        link.probing = false;
        if link.set_aside.take().is_some() {
            link.set_aside_for = Duration::ZERO;
            info!("[planner] Worker {} is used again.", link.address);
            self.refresh_condition(key);
        }
    }

    pub(crate) fn note_worker_failure(&mut self, key: WorkerKey, job: JobId) {
        let now = self.now();
        let link = &mut self.links[&key];
        link.failed_jobs.insert(job);
        let probed = std::mem::take(&mut link.probing);
        let known = link.set_aside.is_some() || link.failed_jobs.len() < FAILED_JOBS_MOST;
        if !probed && known {
            return;
        }
        link.set_aside_for = (link.set_aside_for * 2).clamp(SET_ASIDE, SET_ASIDE_MOST);
        link.set_aside = Some(now + link.set_aside_for);
        warn!(
            "[planner] Worker {} is set aside: {} jobs failed on it.",
            link.address,
            link.failed_jobs.len()
        );
        metrics::counter!("jasminebend_planner_workers_set_aside_total").increment(1);
        self.refresh_condition(key);
    }

    /// Clears the workers of a job that fails elsewhere too: it tells nothing of them.
    pub(crate) fn forgive_workers(&mut self, job: JobId) {
        let mut cleared = Vec::new();
        for (key, link) in &mut self.links {
            link.probing = false;
            let known = link.failed_jobs.swap_remove(&job);
            if known && link.set_aside.is_some() && link.failed_jobs.len() < FAILED_JOBS_MOST {
                link.set_aside = None;
                cleared.push(*key);
            }
        }
        for key in cleared {
            self.refresh_condition(key);
        }
    }

    /// Gives each worker whose time has come one batch task to prove itself with.
    pub(crate) fn probe_workers(&mut self, now: Duration) {
        let links = self.links.iter();
        let due = links.filter(|(_, link)| {
            link.set_aside.is_some_and(|time| time <= now)
                && !link.probing
                && link.phase == LinkPhase::Adopted
                && link.listed
                && !link.leaving
                && self.pool.is_domain_open(&link.domain)
        });
        let keys: Vec<WorkerKey> = due.map(|(key, _)| *key).collect();
        for key in keys {
            self.probe_worker(key);
        }
    }

    fn probe_worker(&mut self, key: WorkerKey) {
        let Some((job, task)) = self.probe_for(key) else {
            return;
        };
        let Some(record) = self.ledger.job(job) else {
            return;
        };
        let class = self
            .learned
            .classes
            .get_or_insert(&record.spec.team, &record.spec.class);
        let size = self.learned.usage.reservation(class, record.spec.size);
        self.queue.pop(job);
        self.links[&key].probing = true;
        self.place(task, key, class, size);
    }

    /// Finds a batch task that fits and did not fail there.
    fn probe_for(&self, key: WorkerKey) -> Option<(JobId, TaskId)> {
        let worker = self.pool.worker(key);
        let mut at: Option<(LatestStart, JobId)> = None;
        while let Some((start, job)) = self.queue.next_after(at) {
            at = Some((start, job));
            let task = self.queue.peek(job)?;
            let record = self.ledger.job(job)?;
            let failed_on = &self.ledger.task(task)?.failed_on;
            let class = self
                .learned
                .classes
                .get(&record.spec.team, &record.spec.class)?;
            let size = self.learned.usage.reservation(class, record.spec.size);
            let fits = size.fits_in(worker.free_capacity()) && self.quota_allows(record, size);
            if record.kind == ClassKind::Batch && fits && !failed_on.contains(&worker.name) {
                return Some((job, task));
            }
        }
        None
    }
}
