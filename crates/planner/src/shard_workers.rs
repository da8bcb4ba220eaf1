//! Renews workers' leases and tracks which workers answer.

use std::time::Duration;

use jasminebend_placement::WorkerKey;
use jasminebend_ports::{
    EpochAdoption,
    LeaseRenewal,
    TaskAttempt,
    WorkerError,
    WorkerInventory,
    WorkerReport, //
};
use rand::RngExt;
use spdlog::{
    info,
    warn, //
};

use crate::{
    link_phase::LinkPhase,
    shard_phase::ShardPhase,
    shard_state::ShardState,
    worker_call_error::WorkerCallError, //
};

/// Delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// After this many lost answers in a row, a worker with runs is not called until its lease has
/// lapsed, since each renewal that is still in transit could extend the lease again.
const MAX_UNANSWERED_CALLS: u32 = 3;

impl ShardState {
    /// Returns how long after a takeover an unreachable worker may keep its tasks running.
    ///
    /// A paused former owner may hold one unsent renewal per worker and send it when it resumes.
    /// The renewal has an effect only if it arrives before the lease lapses, and extends it once.
    /// Two lease lengths cover that.
    pub(crate) fn former_owner_lease(&self) -> Duration {
        self.settings.add_clock_drift(self.settings.lease * 2)
    }

    /// Adopts every worker again, so that it reports its full inventory.
    pub(crate) fn readopt_workers(&mut self, now: Duration) {
        let keys: Vec<WorkerKey> = self.links.keys().copied().collect();
        for key in keys {
            self.links[&key].phase = LinkPhase::New;
            self.links[&key].lease_lapses_by = now + self.former_owner_lease();
            self.reschedule_call(key, now);
            self.refresh_condition(key);
        }
    }

    /// Schedules a call to a worker and cancels the call that was due.
    pub(crate) fn reschedule_call(&mut self, key: WorkerKey, time: Duration) {
        self.links[&key].call_due = None;
        self.schedule_call(key, time);
    }

    /// Schedules a call to a worker.
    pub(crate) fn schedule_call(&mut self, key: WorkerKey, time: Duration) {
        self.scheduled_calls.insert((time, key));
    }

    /// Calls all workers that are due.
    pub(crate) fn call_due_workers(&mut self, now: Duration) {
        while let Some((due, key)) = self.scheduled_calls.first().copied()
            && due <= now
        {
            self.scheduled_calls.pop_first();
            self.call_worker(key, now);
        }
    }

    /// Adopts a worker or renews its lease, unless a call is in progress or it must not be called
    /// now.
    fn call_worker(&mut self, key: WorkerKey, now: Duration) {
        let link = &self.links[&key];
        if link.phase != LinkPhase::Adopted || link.new_address.is_some() {
            self.end_lapsed_runs(key, now);
        }
        self.switch_address(key);
        let link = &mut self.links[&key];
        if link.call_in_progress {
            link.call_again = true;
            return;
        }
        if link.call_due.is_some_and(|due| due > now) {
            return;
        }
        link.call_due = None;
        if link.address.port() == 0
            || link.new_address.is_some()
            || link.is_waiting_for_lapse(MAX_UNANSWERED_CALLS)
        {
            self.schedule_call(key, now + RETRY_DELAY);
            return;
        }
        link.call_in_progress = true;
        let usage_limit = self.usage_limit(key);
        let link = &self.links[&key];
        let epoch = self.calls.permit.epoch;
        let lease = self.settings.lease;
        match link.phase {
            LinkPhase::New => {
                let adoption = EpochAdoption {
                    shard: self.calls.permit.shard,
                    epoch,
                    lease,
                };
                let late_starts = link.late_starts.clone();
                self.calls.adopt(key, link.address, late_starts, adoption);
            }
            LinkPhase::Adopted | LinkPhase::Silent => {
                let renewal = LeaseRenewal {
                    shard: self.calls.permit.shard,
                    epoch,
                    lease,
                    acknowledged: link.unacknowledged_ends.clone(),
                    usage_limit,
                };
                self.calls.renew(key, link.address, renewal);
            }
        }
    }

    /// Switches to a worker's new address once nothing can run at the former one.
    fn switch_address(&mut self, key: WorkerKey) {
        let link = &mut self.links[&key];
        if !link.runs.is_empty() || link.call_in_progress {
            return;
        }
        if let Some(address) = link.new_address.take() {
            link.address = address;
            link.phase = LinkPhase::New;
        }
    }

    /// Ends the runs of a worker as lost if its lease is certain to have lapsed: the worker has
    /// stopped them by now.
    fn end_lapsed_runs(&mut self, key: WorkerKey, now: Duration) {
        let link = &self.links[&key];
        if now < link.lease_lapses_by || self.phase != ShardPhase::Open {
            return;
        }
        let runs: Vec<_> = link.runs.iter().copied().collect();
        for task in runs {
            self.end_run_as_lost(task);
        }
        let link = &mut self.links[&key];
        link.unanswered_calls = 0;
        link.phase = LinkPhase::New;
    }

    /// Handles the answer to an adoption.
    pub(crate) fn on_adopted(
        &mut self,
        key: WorkerKey,
        sent: Duration,
        result: Result<WorkerInventory, WorkerCallError>,
    ) {
        self.links[&key].call_in_progress = false;
        match result {
            Ok(inventory) => {
                self.record_answer(key, sent);
                self.randomize_next_call(key);
                let link = &mut self.links[&key];
                link.incarnation = Some(inventory.incarnation);
                link.late_starts.clear();
                link.phase = LinkPhase::Adopted;
                self.pool.set_capacity(key, inventory.capacity);
                if self.phase == ShardPhase::Open {
                    self.reconcile(key, &inventory);
                }
                self.refresh_condition(key);
            }
            Err(error) => self.on_call_failed(key, error),
        }
    }

    /// Handles the answer to a lease renewal.
    pub(crate) fn on_renewed(
        &mut self,
        key: WorkerKey,
        sent: Duration,
        acknowledged: &[TaskAttempt],
        result: Result<WorkerReport, WorkerCallError>,
    ) {
        self.links[&key].call_in_progress = false;
        let report = match result {
            Ok(report) => report,
            Err(error) => return self.on_call_failed(key, error),
        };
        self.record_answer(key, sent);
        let link = &mut self.links[&key];
        link.unacknowledged_ends
            .retain(|run| !acknowledged.contains(run));
        if link.incarnation != Some(report.incarnation) {
            // The worker restarted and forgot its tasks and its owner; it must be adopted again.
            link.phase = LinkPhase::New;
            self.reschedule_call(key, self.now());
            self.refresh_condition(key);
            return;
        }
        // If an adoption overtook this renewal, its result is newer and stays.
        if link.phase == LinkPhase::Silent {
            link.phase = LinkPhase::Adopted;
        }
        if self.phase == ShardPhase::Open {
            self.apply_report(key, sent, &report);
        }
        self.refresh_condition(key);
    }

    /// Schedules the first renewal at a random moment within a heartbeat interval. All workers of a
    /// shard are adopted at the same time and would otherwise always be called at the same time.
    fn randomize_next_call(&mut self, key: WorkerKey) {
        let offset = self
            .settings
            .heartbeat_interval
            .mul_f64(self.random.random());
        let next = self.now() + offset;
        self.links[&key].call_due = Some(next);
        self.schedule_call(key, next);
    }

    /// Records an answer, extends the assumed lease, and schedules the next call.
    fn record_answer(&mut self, key: WorkerKey, sent: Duration) {
        let now = self.now();
        let lease = self.settings.add_clock_drift(self.settings.lease);
        let link = &mut self.links[&key];
        let next = match std::mem::take(&mut link.call_again) {
            true => now,
            false => now + self.settings.heartbeat_interval,
        };
        link.last_answered_call_sent = sent;
        link.unanswered_calls = 0;
        link.lease_lapses_by = now + lease;
        link.call_due = Some(next);
        self.schedule_call(key, next);
    }

    /// Handles a failed call: updates the assumed lease and schedules a retry.
    fn on_call_failed(&mut self, key: WorkerKey, error: WorkerCallError) {
        let now = self.now();
        let lease = self.settings.add_clock_drift(self.settings.lease);
        let link = &mut self.links[&key];
        match error {
            WorkerCallError::Worker(WorkerError::StaleEpoch { newer }) => {
                let own = self.calls.permit.epoch;
                if newer > own {
                    // Another owner keeps the worker's tasks running, so they never lapse. If they
                    // were started elsewhere after our own lease, they would run twice.
                    link.lease_lapses_by = Duration::MAX;
                    info!(
                        "[planner] Worker {} follows epoch {}, not {}.",
                        link.address, newer, own
                    );
                }
                link.phase = LinkPhase::New;
            }
            WorkerCallError::Worker(WorkerError::Unknown) => {
                // The worker may have received this call just before its lease lapsed, and renewed
                // the lease then.
                link.lease_lapses_by = link.lease_lapses_by.max(now).saturating_add(lease);
                link.unanswered_calls += 1;
                link.mark_silent();
            }
            WorkerCallError::Worker(WorkerError::OutOfDate | WorkerError::UnknownRun) => {
                // The worker's lease lapsed; it must be adopted again.
                link.phase = LinkPhase::New;
            }
            WorkerCallError::Worker(_) => link.mark_silent(),
            WorkerCallError::NotSent => {}
        }
        if link.unanswered_calls == MAX_UNANSWERED_CALLS {
            warn!("[planner] Worker {} does not answer.", link.address);
        }
        self.schedule_call(key, now + RETRY_DELAY);
        self.refresh_condition(key);
        self.revisit_worker_runs(key);
    }
}
