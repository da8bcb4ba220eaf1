//! How a shard's owner keeps touch with its workers.

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
    call_error::CallError,
    link_phase::LinkPhase,
    shard_phase::ShardPhase,
    shard_state::ShardState, //
};

const RETRY_AFTER: Duration = Duration::from_secs(1);
/// The lost answers after which a worker that holds runs is left alone until its lease has lapsed:
/// each renewal that is still on its way might prolong the lease once more.
const MOST_UNANSWERED: u32 = 3;

impl ShardState {
    /// Returns how long after taking over a worker that cannot be reached may go on with its runs.
    ///
    /// A former owner that is paused may have one renewal per worker in hand and send it as it
    /// wakes: it has an effect only if it arrives before the lease lapses, and then prolongs it once.
    /// Two leases cover that.
    pub(crate) fn former_lease(&self) -> Duration {
        self.settings.with_drift(self.settings.lease * 2)
    }

    /// Has every worker tell anew what runs there.
    pub(crate) fn adopt_anew(&mut self, now: Duration) {
        let keys: Vec<WorkerKey> = self.links.keys().copied().collect();
        for key in keys {
            self.links[&key].phase = LinkPhase::New;
            self.links[&key].holds_until = now + self.former_lease();
            self.contact_soon(key, now);
            self.refresh_condition(key);
        }
    }

    /// Contacts a worker at a time, though it is to be heard later.
    pub(crate) fn contact_soon(&mut self, key: WorkerKey, time: Duration) {
        self.links[&key].contact_due = None;
        self.contact_at(key, time);
    }

    pub(crate) fn contact_at(&mut self, key: WorkerKey, time: Duration) {
        self.contacts.insert((time, key));
    }

    pub(crate) fn contact_workers(&mut self, now: Duration) {
        while let Some((due, key)) = self.contacts.first().copied()
            && due <= now
        {
            self.contacts.pop_first();
            self.contact_worker(key, now);
        }
    }

    fn contact_worker(&mut self, key: WorkerKey, now: Duration) {
        let link = &self.links[&key];
        if link.phase != LinkPhase::Adopted || link.moved_to.is_some() {
            self.settle_lapsed(key, now);
        }
        self.follow_move(key);
        let link = &mut self.links[&key];
        if link.calling {
            link.call_again = true;
            return;
        }
        if link.contact_due.is_some_and(|due| due > now) {
            return;
        }
        link.contact_due = None;
        if link.address.port() == 0
            || link.moved_to.is_some()
            || link.is_left_alone(MOST_UNANSWERED)
        {
            self.contact_at(key, now + RETRY_AFTER);
            return;
        }
        link.calling = true;
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
                    acknowledged: link.acknowledged.clone(),
                    usage_limit,
                };
                self.calls.renew(key, link.address, renewal);
            }
        }
    }

    /// Calls a worker at its new address once nothing can run at the former one.
    fn follow_move(&mut self, key: WorkerKey) {
        let link = &mut self.links[&key];
        if !link.runs.is_empty() || link.calling {
            return;
        }
        if let Some(address) = link.moved_to.take() {
            link.address = address;
            link.phase = LinkPhase::New;
        }
    }

    /// Gives up the runs of a worker whose lease has surely lapsed: by now it has stopped them.
    fn settle_lapsed(&mut self, key: WorkerKey, now: Duration) {
        let link = &self.links[&key];
        if now < link.holds_until || self.phase != ShardPhase::Open {
            return;
        }
        let runs: Vec<_> = link.runs.iter().copied().collect();
        for task in runs {
            self.lose_run(task);
        }
        let link = &mut self.links[&key];
        link.unanswered = 0;
        link.phase = LinkPhase::New;
    }

    pub(crate) fn on_adopted(
        &mut self,
        key: WorkerKey,
        sent: Duration,
        result: Result<WorkerInventory, CallError>,
    ) {
        self.links[&key].calling = false;
        match result {
            Ok(inventory) => {
                self.note_heard(key, sent);
                self.spread_contact(key);
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
            Err(error) => self.on_unheard(key, error),
        }
    }

    pub(crate) fn on_renewed(
        &mut self,
        key: WorkerKey,
        sent: Duration,
        acknowledged: &[TaskAttempt],
        result: Result<WorkerReport, CallError>,
    ) {
        self.links[&key].calling = false;
        let report = match result {
            Ok(report) => report,
            Err(error) => return self.on_unheard(key, error),
        };
        self.note_heard(key, sent);
        let link = &mut self.links[&key];
        link.acknowledged.retain(|run| !acknowledged.contains(run));
        if link.incarnation != Some(report.incarnation) {
            // It restarted and has forgotten its runs; it must be told whom to follow.
            link.phase = LinkPhase::New;
            self.contact_soon(key, self.now());
            self.refresh_condition(key);
            return;
        }
        // An adoption that overtook this renewal has the newer word.
        if link.phase == LinkPhase::Silent {
            link.phase = LinkPhase::Adopted;
        }
        if self.phase == ShardPhase::Open {
            self.take_report(key, sent, &report);
        }
        self.refresh_condition(key);
    }

    /// Calls a worker for the first time at any moment within a heartbeat: all workers of a shard are
    /// adopted at once, and would else be called at once for good.
    fn spread_contact(&mut self, key: WorkerKey) {
        let offset = self.settings.heartbeat.mul_f64(self.random.random());
        let next = self.now() + offset;
        self.links[&key].contact_due = Some(next);
        self.contact_at(key, next);
    }

    fn note_heard(&mut self, key: WorkerKey, sent: Duration) {
        let now = self.now();
        let lease = self.settings.with_drift(self.settings.lease);
        let link = &mut self.links[&key];
        let next = match std::mem::take(&mut link.call_again) {
            true => now,
            false => now + self.settings.heartbeat,
        };
        link.heard = sent;
        link.unanswered = 0;
        link.holds_until = now + lease;
        link.contact_due = Some(next);
        self.contact_at(key, next);
    }

    fn on_unheard(&mut self, key: WorkerKey, error: CallError) {
        let now = self.now();
        let lease = self.settings.with_drift(self.settings.lease);
        let link = &mut self.links[&key];
        match error {
            CallError::Worker(WorkerError::StaleEpoch { newer }) => {
                let own = self.calls.permit.epoch;
                if newer > own {
                    // Another owner keeps its runs alive: no time makes them lapse. Were they started
                    // elsewhere once our own lease is over, they would run twice.
                    link.holds_until = Duration::MAX;
                    info!(
                        "[planner] Worker {} follows epoch {}, not {}.",
                        link.address, newer, own
                    );
                }
                link.phase = LinkPhase::New;
            }
            CallError::Worker(WorkerError::Unknown) => {
                // It may have renewed its lease as late as that lease would have lapsed.
                link.holds_until = link.holds_until.max(now).saturating_add(lease);
                link.unanswered += 1;
                link.note_silence();
            }
            CallError::Worker(WorkerError::OutOfDate | WorkerError::UnknownRun) => {
                // Its lease lapsed; it must be adopted again.
                link.phase = LinkPhase::New;
            }
            CallError::Worker(_) => link.note_silence(),
            CallError::Withheld => {}
        }
        if link.unanswered == MOST_UNANSWERED {
            warn!("[planner] Worker {} gives no answer.", link.address);
        }
        self.contact_at(key, now + RETRY_AFTER);
        self.refresh_condition(key);
        self.tend_worker(key);
    }
}
