//! Quarantines workers on which every task fails.

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

/// A worker is quarantined after this many distinct jobs failed on it while no task finished.
const MAX_FAILED_JOBS: usize = 3;
/// Length of the first quarantine; it doubles with each failed probe.
const MIN_QUARANTINE: Duration = Duration::from_secs(60);
/// Upper limit of a quarantine's length.
const MAX_QUARANTINE: Duration = Duration::from_secs(1800);

impl ShardState {
    /// Clears the failures of a worker and ends its quarantine.
    pub(crate) fn record_worker_success(&mut self, key: WorkerKey) {
        let link = &mut self.links[&key];
        link.failed_jobs.clear();
        link.probing = false;
        if link.quarantined_until.take().is_some() {
            link.quarantine_duration = Duration::ZERO;
            info!(
                "[planner] Worker {} is no longer quarantined.",
                link.address
            );
            self.refresh_condition(key);
        }
    }

    /// Records a failure on a worker, and quarantines it after too many or after a failed probe.
    pub(crate) fn record_worker_failure(&mut self, key: WorkerKey, job: JobId) {
        let now = self.now();
        let link = &mut self.links[&key];
        link.failed_jobs.insert(job);
        let probed = std::mem::take(&mut link.probing);
        let known = link.quarantined_until.is_some() || link.failed_jobs.len() < MAX_FAILED_JOBS;
        if !probed && known {
            return;
        }
        link.quarantine_duration =
            (link.quarantine_duration * 2).clamp(MIN_QUARANTINE, MAX_QUARANTINE);
        link.quarantined_until = Some(now + link.quarantine_duration);
        warn!(
            "[planner] Worker {} is quarantined: {} jobs failed on it.",
            link.address,
            link.failed_jobs.len()
        );
        metrics::counter!("jasminebend_planner_workers_set_aside_total").increment(1);
        self.refresh_condition(key);
    }

    /// Removes the failures of a job that fails on other workers too; they say nothing about the
    /// workers.
    pub(crate) fn clear_job_failures(&mut self, job: JobId) {
        let mut cleared = Vec::new();
        for (key, link) in &mut self.links {
            link.probing = false;
            let known = link.failed_jobs.swap_remove(&job);
            if known && link.quarantined_until.is_some() && link.failed_jobs.len() < MAX_FAILED_JOBS
            {
                link.quarantined_until = None;
                cleared.push(*key);
            }
        }
        for key in cleared {
            self.refresh_condition(key);
        }
    }

    /// Places one batch task as a probe on each worker whose quarantine is over.
    pub(crate) fn probe_workers(&mut self, now: Duration) {
        let links = self.links.iter();
        let due = links.filter(|(_, link)| {
            link.quarantined_until.is_some_and(|time| time <= now)
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

    /// Places a probe task on a quarantined worker.
    fn probe_worker(&mut self, key: WorkerKey) {
        let Some((job, task)) = self.find_probe_task(key) else {
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

    /// Finds a queued batch task that fits on a worker and has not failed there.
    fn find_probe_task(&self, key: WorkerKey) -> Option<(JobId, TaskId)> {
        let worker = self.pool.worker(key);
        let mut last: Option<(LatestStart, JobId)> = None;
        while let Some((start, job)) = self.queue.next_after(last) {
            last = Some((start, job));
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
