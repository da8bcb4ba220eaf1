//! The registry of workers, their leases, and their answers to orders.

use std::{
    sync::Arc,
    time::Duration, //
};

use indexmap::IndexMap;
use jasminebend_base::DomainName;

use crate::{
    Dispatcher,
    EarlierRun,
    EndedRun,
    FleetWorker,
    LeaseRenewal,
    LossCause,
    OrderOutcome,
    OrderRefusal,
    RenewalReport,
    RestartMark,
    RunNumber,
    TaskKey,
    WorkerClock,
    WorkerKey,
    run_state::{
        RunPhase,
        RunState, //
    },
    worker_state::{
        PendingAck,
        WorkerState, //
    }, //
};

/// The maximum number of run completions in one report; a list of this length may be truncated.
const MAX_COMPLETIONS_PER_REPORT: usize = 500;
/// The longest wait of a renewal while fillers run beside a service: the metrics cover the last
/// half second, so a shorter wait would return the same values twice.
const INTERFERENCE_RENEWAL_WAIT: Duration = Duration::from_millis(500);
/// The longest wait of a renewal while tasks run that make progress; bounds how late a lost answer
/// or a stuck task is noticed.
const ACTIVE_RENEWAL_WAIT: Duration = Duration::from_millis(700);
/// The longest wait of a renewal while the owner is without the store, and its workers confirm that they follow it, and of
/// a draining worker, whose lease is short.
const SHORT_RENEWAL_WAIT: Duration = Duration::from_millis(500);
/// The time that a lost renewal takes beyond its wait until the next one is answered.
const LOST_RENEWAL_TIME: Duration = Duration::from_millis(900);
/// The time since its last answer from which a worker counts as unreachable.
const ANSWER_EXPIRY_TIME: Duration = Duration::from_secs(4);
/// The time in which a worker that is up answers a renewal, beside the time for which it may delay the answer.
const ANSWER_TIME: Duration = Duration::from_millis(50);

/// The time after the start of a worker's incarnation within which calls that were meant for the former one are carried out: they
/// were sent until the restart was noticed, at most some 2 s, and are carried out up to 12 s late.
const FORMER_CALL_WINDOW: Duration = Duration::from_secs(15);

/// The time without any activity of the process from which it counts as suspended. It plans several times within that.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(700);

impl Dispatcher {
    /// Returns how long after a takeover workers may continue to execute a former owner's orders.
    /// Unless the former owner is known to have terminated, it may itself have acted for a while
    /// after it was replaced.
    pub fn inherited_orders_lifetime(&self, former_is_gone: bool) -> Duration {
        let granted = self.told_lease() + self.settings.max_stop_duration;
        let lease = WorkerClock::longest(self.settings.lease_duration.max(granted));
        match former_is_gone {
            true => lease,
            false => lease + self.settings.unconfirmed_grace,
        }
    }

    /// Records the wall-clock time since 1970 at `now`, by which the ages of workers' incarnations are known.
    pub fn note_wall(&mut self, wall: Duration, now: Duration) {
        self.wall_origin = Some(wall.saturating_sub(now));
    }

    /// Returns the lease that a worker may hold at most.
    fn longest_lease(&self) -> Duration {
        let lease = self.settings.lease_duration;
        self.settings.max_lease_duration.max(lease) + self.settings.max_stop_duration
    }

    /// Returns when, on this process's clock, the last lease lapses that a call for a former incarnation may have granted the
    /// one that began at `incarnation`; `None` if that is unknown.
    fn former_call_leases_until(&self, incarnation: Option<Duration>) -> Option<Duration> {
        let began_at = incarnation?.saturating_add(self.settings.max_clock_skew);
        let time = FORMER_CALL_WINDOW + WorkerClock::longest(self.longest_lease());
        Some(
            began_at
                .saturating_add(time)
                .saturating_sub(self.wall_origin?),
        )
    }

    /// Returns the lease that a worker which a former owner knew may hold when its incarnation first answers this owner.
    /// Calls that were meant for a former incarnation carry deadlines on another clock.
    fn inherited_lease(&self, incarnation: Option<Duration>, now: Duration) -> Duration {
        let regular = self.settings.lease_duration + self.settings.max_stop_duration;
        let longest = self.longest_lease();
        match self.former_call_leases_until(incarnation) {
            Some(until) => until.saturating_sub(now).clamp(regular, longest),
            None => longest,
        }
    }

    /// Returns how much longer than usual a worker whose age is unknown may execute a former owner's orders.
    fn unknown_age_extension(&self) -> Duration {
        let longest = WorkerClock::longest(self.longest_lease());
        longest.saturating_sub(self.inherited_orders_lifetime(true))
    }

    /// Returns the time until which a worker that has not answered may continue to execute a former owner's orders; `until` unless it
    /// is known to have restarted lately. Every worker is young once, and waiting for the longest lease of each that falls silent at
    /// a takeover would hold up all tasks.
    fn inherited_orders_end(&self, worker: &WorkerState, until: Duration) -> Duration {
        let Some(mark) = worker.restart else {
            return until;
        };
        let extended = until.saturating_add(self.unknown_age_extension());
        let latest = match mark.may_act_late {
            true => extended.saturating_add(FORMER_CALL_WINDOW),
            false => extended,
        };
        let lapses_at = self.former_call_leases_until(Some(mark.incarnation));
        lapses_at.unwrap_or(latest).clamp(until, latest)
    }

    /// Returns when the last lease lapses that a call of this owner for a former incarnation may yet grant the present one; `None`
    /// if no such call is outstanding, or a known incarnation refuses it.
    fn late_grants_lapse_at(&self, worker: &WorkerState) -> Option<Duration> {
        let unanswered_at = worker
            .former_grant_at
            .filter(|_| worker.has_unfenced_restart())?;
        Some(unanswered_at + FORMER_CALL_WINDOW + WorkerClock::longest(self.longest_lease()))
    }

    /// Records that a worker has restarted. Calls that are under way may yet turn out to have no answer.
    fn note_restart(&mut self, key: WorkerKey, incarnation: Duration) {
        let worker = self.worker_mut(key);
        if worker.restart.map(|mark| mark.incarnation) == Some(incarnation) {
            return;
        }
        let mark = RestartMark {
            incarnation,
            may_act_late: true,
        };
        worker.restart = Some(mark);
        worker.former_grant_at = worker.unanswered_grant_at.max(worker.grant_under_way_at());
        self.has_changed_restarts = true;
    }

    /// Records that a call which grants a worker a lease has no answer. `is_former` tells whether it was meant for an incarnation
    /// before the last known restart.
    fn note_unanswered_grant(&mut self, key: WorkerKey, is_former: bool, now: Duration) {
        let worker = self.worker_mut(key);
        worker.unanswered_grant_at = Some(now);
        if is_former {
            worker.former_grant_at = Some(now);
            self.has_changed_restarts = true;
        }
    }

    /// Records a worker's restart that a former owner has noticed.
    pub fn inherit_restart(&mut self, id: &str, mark: RestartMark) {
        if let Some(&key) = self.worker_keys.get(id) {
            self.worker_mut(key).restart = Some(mark);
        }
    }

    /// Returns the restarts that a successor must know of: those of which calls for the former incarnation may still act.
    pub fn restart_marks(&self, now: Duration) -> IndexMap<Arc<str>, RestartMark> {
        let mut marks = IndexMap::new();
        for worker in &self.workers {
            let Some(mark) = worker.restart else {
                continue;
            };
            let lapses_at = self.former_call_leases_until(Some(mark.incarnation));
            if lapses_at.is_some_and(|lapses_at| now >= lapses_at) {
                continue;
            }
            // Before an answer it is not known which calls of a former owner are outstanding.
            let is_outstanding = worker.last_answer_at.is_none()
                || worker
                    .former_grant_at
                    .is_some_and(|at| now < at + FORMER_CALL_WINDOW);
            let mark = RestartMark {
                may_act_late: mark.may_act_late && is_outstanding,
                ..mark
            };
            marks.insert(Arc::clone(&worker.record.id), mark);
        }
        marks
    }

    /// Returns whether the restarts that a successor must know of have changed since the last call.
    pub fn take_changed_restarts(&mut self) -> bool {
        std::mem::take(&mut self.has_changed_restarts)
    }

    /// Sets the time until which workers that have not yet answered may continue to execute a
    /// former owner's orders, unless they have restarted lately.
    pub fn set_inherited_until(&mut self, until: Duration) {
        let inherited = self.workers.iter_mut();
        for worker in inherited.filter(|worker| worker.inherited_until.is_some()) {
            worker.inherited_until = Some(until);
        }
        if let Some(unknown_until) = &mut self.unknown_workers_until {
            *unknown_until = until;
        }
    }

    /// Records that workers which this owner does not know may continue to execute a former owner's orders until then.
    pub fn expect_unknown_workers(&mut self, until: Duration) {
        self.unknown_workers_until = Some(until);
    }

    /// Returns whether workers which this owner does not know may still execute a former owner's orders.
    pub fn expects_unknown_workers(&self) -> bool {
        self.unknown_workers_until.is_some()
    }

    /// Adds or updates a worker that the registry lists. `inherited` is the time until which the
    /// worker may continue to execute a former owner's orders, if there was one and the worker has not restarted lately.
    pub fn upsert_worker(&mut self, record: FleetWorker, inherited: Option<Duration>) -> WorkerKey {
        let key = match self.worker_keys.get(&record.id) {
            Some(&key) => {
                self.update_record(key, record);
                return key;
            }
            None => WorkerKey::new(self.workers.len()),
        };
        self.worker_keys.insert(Arc::clone(&record.id), key);
        let inherited_crashes = self.inherited_crashes.swap_remove(&record.id);
        let mut state = WorkerState::new(record);
        state.unsettled_crashes = inherited_crashes.unwrap_or_default();
        state.inherited_until = inherited;
        state.is_inherited = inherited.is_some();
        state.changed_in_plan = self.plan_count;
        self.workers.push(state);
        key
    }

    /// Returns the workers that left this owner unanswered until every lease of a former owner had lapsed.
    pub fn workers_lapsed_in_takeover(&self) -> &[WorkerKey] {
        &self.lapsed_in_takeover
    }

    /// Returns whether a worker is already listed with an identical record.
    pub fn is_listed_as(&self, record: &FleetWorker) -> bool {
        self.worker_key(&record.id).is_some_and(|key| {
            let known = self.worker(key);
            known.listed && known.record == *record
        })
    }

    /// Marks a worker as no longer listed by the registry.
    pub fn mark_unlisted(&mut self, id: &str) {
        if let Some(&key) = self.worker_keys.get(id) {
            self.worker_mut(key).listed = false;
        }
    }

    /// Marks all workers as unlisted, before the registry is read again.
    pub fn mark_all_unlisted(&mut self) {
        for worker in &mut self.workers {
            worker.listed = false;
        }
    }

    /// Records that the registry was read at `now`.
    pub fn note_registry_read(&mut self, now: Duration) {
        self.registry_read_at = Some(now);
        self.registry_read_since.get_or_insert(now);
        for worker in &mut self.workers {
            match worker.listed {
                true => drop(worker.listed_since.get_or_insert(now)),
                false => {
                    worker.listed_since = None;
                    worker.unlisted_since.get_or_insert(now);
                }
            }
        }
    }

    /// Records that the registry can't be read, or may have changed since it was: entries that are missing then may
    /// have expired with it.
    pub fn note_registry_failure(&mut self) {
        self.registry_read_at = None;
        self.registry_read_since = None;
        for worker in &mut self.workers {
            worker.unlisted_since = None;
            worker.listed_since = None;
        }
    }

    /// Returns the workers whose leases are to be renewed.
    pub fn workers_to_renew(&self) -> Vec<WorkerKey> {
        (0..self.workers.len())
            .map(WorkerKey::new)
            .filter(|key| !self.is_retired(*key))
            .collect()
    }

    /// Returns the number of known workers.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Lets runs start only on workers that are on record for a successor.
    pub fn require_recorded_workers(&mut self) {
        self.requires_recorded_workers = true;
    }

    /// Returns the registry records of the workers that may run something, to be put on record. The others no longer count
    /// as recorded.
    pub fn begin_recording(&mut self) -> Vec<FleetWorker> {
        let mut records = Vec::new();
        for key in (0..self.workers.len()).map(WorkerKey::new) {
            match self.is_retired(key) {
                // Checking a worker must not mark it as changed.
                true => self.workers[key.index()].recorded = false,
                false => records.push(self.worker_record(key).clone()),
            }
        }
        records
    }

    /// Records that these workers are on record for a successor.
    pub fn finish_recording(&mut self, records: &[FleetWorker]) {
        for record in records {
            let Some(key) = self.worker_key(&record.id) else {
                continue;
            };
            let worker = self.worker(key);
            if !worker.recorded || worker.recorded_incarnation != record.incarnation {
                let worker = self.worker_mut(key);
                worker.recorded = true;
                worker.recorded_incarnation = record.incarnation;
            }
        }
    }

    /// Returns the number of listed workers that are not on record for a successor.
    pub fn unrecorded_worker_count(&self) -> usize {
        let listed = self.workers.iter().filter(|worker| worker.listed);
        listed.filter(|worker| !self.is_recorded(worker)).count()
    }

    /// Returns whether runs may start on a worker as far as its record for a successor is concerned.
    pub(crate) fn is_recorded(&self, worker: &WorkerState) -> bool {
        let is_recorded = worker.recorded
            && (worker.requires_record_until.is_none() || worker.is_incarnation_recorded());
        is_recorded || !self.requires_recorded_workers
    }

    /// Returns when a worker last answered, or `None` if it never did.
    pub fn last_answer_at(&self, key: WorkerKey) -> Option<Duration> {
        self.worker(key).last_answer_at
    }

    /// Returns whether a completion of this number from this incarnation of a worker was processed already.
    pub fn has_processed_completion(
        &self,
        id: &str,
        incarnation: Option<Duration>,
        number: u64,
    ) -> bool {
        self.worker_key(id).is_some_and(|key| {
            let worker = self.worker(key);
            worker.incarnation == incarnation && number <= worker.last_processed
        })
    }

    /// Returns whether a run counts as present on a worker: it was neither given up nor seen to end, and this owner knows of it.
    pub fn holds_run(&self, id: &str, task: TaskKey, run: RunNumber) -> bool {
        self.worker_key(id)
            .is_some_and(|key| self.worker(key).runs.contains_key(&(task, run)))
    }

    /// Sets whether the owner may soon depend on the workers' word that they follow it.
    pub fn set_storeless(&mut self, storeless: bool) {
        self.storeless = storeless;
    }

    /// Returns when the last call was sent that this incarnation of a worker has answered; `None` if there is none.
    pub fn answered_call_at(&self, id: &str, incarnation: Duration) -> Option<Duration> {
        let worker = self.worker(self.worker_key(id)?);
        let is_same = worker.incarnation == Some(incarnation);
        worker.last_answered_call_at.filter(|_| is_same)
    }

    /// Returns the identity and incarnation of the workers that stay and have answered lately, of each failure domain in turn.
    pub fn answering_workers(&self, now: Duration) -> impl Iterator<Item = (&Arc<str>, Duration)> {
        let mut domain_counts: IndexMap<&DomainName, usize> = IndexMap::new();
        let mut workers: Vec<(usize, &Arc<str>, Duration)> = Vec::new();
        for worker in &self.workers {
            let answers = worker
                .last_answer_at
                .is_some_and(|at| now < at + ANSWER_EXPIRY_TIME);
            let stays = worker.listed && !worker.record.draining;
            if let Some(incarnation) = worker.incarnation.filter(|_| answers && stays) {
                let rank = domain_counts.entry(&worker.record.domain).or_default();
                workers.push((*rank, &worker.record.id, incarnation));
                *rank += 1;
            }
        }
        workers.sort_by_key(|(rank, ..)| *rank);
        workers
            .into_iter()
            .map(|(_, id, incarnation)| (id, incarnation))
    }

    /// Returns the key of the worker with this identity.
    pub fn worker_key(&self, id: &str) -> Option<WorkerKey> {
        self.worker_keys.get(id).copied()
    }

    /// Returns a worker's registry record.
    pub fn worker_record(&self, key: WorkerKey) -> &FleetWorker {
        &self.worker(key).record
    }

    /// Returns whether a worker needs no renewals any more: it is not listed, runs nothing, and the ends of its runs are on record.
    pub fn is_retired(&self, key: WorkerKey) -> bool {
        let worker = self.worker(key);
        let runs_nothing = worker.runs.is_empty() && worker.unknown_runs.is_empty();
        !worker.listed
            && runs_nothing
            && !worker.may_have_unknown_runs()
            && !self.has_pending_acknowledgements(key)
    }

    /// Returns the start time of a worker's current incarnation, since 1970, if it is known.
    pub fn incarnation(&self, key: WorkerKey) -> Option<Duration> {
        self.worker(key).incarnation
    }

    /// Returns the next lease renewal for a worker, and records the lease as granted. An owner that
    /// is not `confirmed` only reads the worker's state and grants no lease.
    pub fn next_renewal(&mut self, key: WorkerKey, confirmed: bool, now: Duration) -> LeaseRenewal {
        self.detect_suspension(now);
        let max_wait = self.renewal_wait(key);
        let worker = self.worker_mut(key);
        worker.answer_due_at = Some(now + max_wait + ANSWER_TIME);
        // A call that may not arrive grants no lease: otherwise an owner that keeps calling a dead
        // worker would extend the lease forever.
        let may_grant = confirmed && worker.unanswered == 0;
        let acknowledged = worker.take_acknowledgement();
        LeaseRenewal {
            deadline: may_grant.then(|| self.grant_lease(key, now)).flatten(),
            acknowledged,
            max_wait,
        }
    }

    /// Returns whether a worker has reported completions that are not on record yet; a renewal now
    /// would return the same completions at once.
    pub fn has_pending_acknowledgements(&self, key: WorkerKey) -> bool {
        !self.worker(key).pending_acks.is_empty()
    }

    /// Returns the lease deadline, on the worker's clock, of an order sent at `now`; `None` while
    /// the worker's clock is unknown.
    pub fn grant_order_deadline(&mut self, key: WorkerKey, now: Duration) -> Option<Duration> {
        self.grant_lease(key, now)
    }

    /// Grants a worker a lease and returns the deadline to send. It precedes the end of the lease by the time that the
    /// worker may take to end its runs.
    fn grant_lease(&mut self, key: WorkerKey, now: Duration) -> Option<Duration> {
        let told_lease = match self.worker(key).record.draining {
            true => self.told_lease().min(self.settings.draining_lease_duration),
            false => self.told_lease(),
        };
        let ending_time = self.settings.max_stop_duration;
        let clock = &mut self.worker_mut(key).clock;
        let deadline = clock.grant(told_lease + ending_time, now)?;
        Some(deadline.saturating_sub(ending_time))
    }

    /// Returns the lease that a worker may hold as it answers for the first time, or for the last time before it refuses calls for
    /// its former incarnation. Until then such a call may have granted the longest lease, as its deadline is one on another clock,
    /// and a former owner a whole lease.
    fn lease_before_answer(&self, key: WorkerKey, now: Duration) -> Duration {
        let worker = self.worker(key);
        let lease = self.settings.lease_duration;
        if worker.is_unfenced() || worker.restarted_in_takeover {
            return self.longest_lease();
        }
        if worker.is_inherited || self.unknown_workers_until.is_some() {
            return self.inherited_lease(worker.latest_incarnation, now);
        }
        match self.former_token() {
            Some(_) => lease + self.settings.max_stop_duration,
            None => lease,
        }
    }

    /// Processes a worker's answer to a lease renewal that was sent at `sent`.
    pub fn handle_renewal_report(
        &mut self,
        key: WorkerKey,
        sent: Duration,
        report: RenewalReport,
        now: Duration,
    ) {
        self.detect_suspension(now);
        let is_fresh = sent >= self.resumed_at;
        let previous = self.worker(key).incarnation;
        let longest_lease = self.longest_lease();
        let longest_wait = WorkerClock::longest(self.settings.max_renewal_wait);
        let is_restarted =
            previous.is_some() && report.incarnation.is_some() && previous != report.incarnation;
        let worker = self.worker_mut(key);
        worker.answer_due_at = None;
        if is_restarted {
            // A start sent a moment ago may run in the new incarnation, so the runs are not given
            // up here: `drop_missing_runs` below drops those that the new incarnation does not
            // have.
            worker.reset_incarnation();
            self.discard_tickets(key);
            self.detach_held_ends(key);
            if let Some(incarnation) = report.incarnation {
                self.note_restart(key, incarnation);
            }
        }
        let worker = self.worker_mut(key);
        worker.restarted_in_takeover |= worker.inherited_until.is_some()
            && report.incarnation.is_some()
            && worker.record.incarnation.is_some()
            && report.incarnation != worker.record.incarnation;
        worker.incarnation = report.incarnation.or(worker.incarnation);
        worker.latest_incarnation = worker.latest_incarnation.max(report.incarnation);
        worker.clock.hear(report.clock, now);
        if worker.is_unfenced() || !worker.clock.has_deadline() {
            let lease = self.lease_before_answer(key, now);
            self.worker_mut(key).clock.grant(lease, now);
        }
        let worker = self.worker_mut(key);
        worker.last_answer_at = Some(now);
        worker.last_answered_call_at = worker.last_answered_call_at.max(Some(sent));
        // An answer to a call from before a suspension does not show that the worker has not restarted since.
        if is_fresh {
            worker.unanswered = 0;
            worker.settle_acknowledgement(&report.completions);
        }
        worker.connection_refused = false;
        if !worker.has_owner_token {
            // The call that tells of a restart carried the former incarnation's token.
            worker.has_owner_token = !is_restarted;
            worker.following_since = now;
            worker.requires_record_until = Some(now + WorkerClock::longest(longest_lease));
            let is_new = worker.has_owner_token && worker.fence_restart();
            self.has_changed_restarts |= is_new;
        }
        let worker = self.worker_mut(key);
        let hears_alone = sent >= worker.following_since + longest_wait;
        let had_unknown_runs = worker.may_have_unknown_runs();
        worker.inherited_until = None;
        let is_truncated = report.completions.len() >= MAX_COMPLETIONS_PER_REPORT;
        for ended in report.completions {
            self.process_completion(key, ended, now);
        }
        let worker = self.worker_mut(key);
        worker.has_unread_ends = had_unknown_runs && is_truncated;
        worker.unknown_runs.clear();
        let listed: Vec<(TaskKey, RunNumber)> = report
            .running
            .iter()
            .map(|running| (running.task, running.run))
            .collect();
        for running in report.running {
            let id = (running.task, running.run);
            self.update_run(key, running, now);
            if hears_alone && let Some(run) = self.worker_mut(key).runs.get_mut(&id) {
                run.is_heard_alone = true;
            }
        }
        if !is_truncated {
            self.drop_missing_runs(key, sent, &listed, now);
        }
        self.settle_crashes(key, is_restarted);
        self.worker_mut(key).contact_lost_at = None;
        self.acknowledge();
        self.protect_services(key, now);
    }

    /// Records that this process, which makes plans, runs at `now`.
    pub fn note_activity(&mut self, now: Duration) {
        self.last_active_at.get_or_insert(now);
        self.detect_suspension(now);
    }

    /// Detects that this process was suspended: its knowledge of the workers is stale, and any of them may have restarted
    /// without a failed call.
    fn detect_suspension(&mut self, now: Duration) {
        let Some(last_active_at) = &mut self.last_active_at else {
            return;
        };
        let pause = now.saturating_sub(*last_active_at);
        *last_active_at = now;
        if pause <= SUSPENSION_THRESHOLD {
            return;
        }
        self.resumed_at = now;
        for worker in &mut self.workers {
            worker.unanswered = worker.unanswered.max(1);
        }
        self.note_registry_failure();
    }

    /// Records that a renewal failed.
    pub fn handle_renewal_failure(&mut self, key: WorkerKey, outcome: OrderOutcome, now: Duration) {
        // After a call without an answer renewals grant nothing until one is answered.
        let known = self.worker(key);
        if outcome == OrderOutcome::Unknown && known.unanswered == 0 {
            let is_former = known.has_unfenced_restart() && !known.has_answered_since_restart();
            self.note_unanswered_grant(key, is_former, now);
        }
        let worker = self.worker_mut(key);
        worker.record_unanswered(now);
        worker.connection_refused = outcome == OrderOutcome::Refused(OrderRefusal::Closed);
        self.announce_endangered_runs(key);
    }

    /// Records the outcome of a start order.
    pub fn handle_start_outcome(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        run: RunNumber,
        outcome: OrderOutcome,
        now: Duration,
    ) {
        self.order_window.record_start_answered();
        if let Some(state) = self.worker_mut(key).runs.get_mut(&(task, run)) {
            state.is_start_under_way = false;
        }
        match outcome {
            OrderOutcome::Taken => {
                if let Some(state) = self.worker_mut(key).runs.get_mut(&(task, run))
                    && state.phase == RunPhase::Sent
                {
                    state.phase = RunPhase::Running(now);
                    state.has_begun = true;
                    self.record_begin(key, task);
                }
            }
            OrderOutcome::Unknown => {
                // Nothing starts on a worker that may carry out calls for a former incarnation.
                let is_former = self.worker(key).has_unfenced_restart();
                self.note_unanswered_grant(key, is_former, now);
                if let Some(state) = self.worker_mut(key).runs.get_mut(&(task, run)) {
                    state.phase = RunPhase::Unsure;
                    self.stop_run(key, task, run);
                }
            }
            OrderOutcome::Refused(refusal) => {
                self.handle_start_refusal(key, task, refusal, now);
                self.release_run(key, task, run, EarlierRun::NotBegun, now);
            }
        }
    }

    /// Records the outcome of a stop order.
    pub fn handle_stop_outcome(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        run: RunNumber,
        outcome: OrderOutcome,
        now: Duration,
    ) {
        self.order_window.record_stop_answered();
        let Some(state) = self.worker_mut(key).runs.get_mut(&(task, run)) else {
            return;
        };
        if state.record_stop_outcome() {
            return;
        }
        match outcome {
            OrderOutcome::Taken | OrderOutcome::Refused(OrderRefusal::Old) => {
                state.confirm_stop(now);
            }
            // The worker answers, so that repeating the stop soon costs little.
            OrderOutcome::Refused(OrderRefusal::Unwell) => state.stop_attempts = 0,
            OrderOutcome::Refused(_) | OrderOutcome::Unknown => {}
        }
    }

    /// Gives up the runs of workers whose lease has certainly lapsed.
    pub fn expire_leases(&mut self, now: Duration) {
        let extension = self.unknown_age_extension();
        self.unknown_workers_until = self
            .unknown_workers_until
            .filter(|until| now <= until.saturating_add(extension));
        for index in 0..self.workers.len() {
            let key = WorkerKey::new(index);
            // Checking a worker must not mark it as changed.
            let worker = &self.workers[index];
            let inherited = worker.inherited_until;
            let has_lapsed =
                inherited.is_some_and(|until| now > self.inherited_orders_end(worker, until));
            let is_due = |until: Duration| now > until;
            if worker.requires_record_until.is_some_and(is_due) {
                self.worker_mut(key).requires_record_until = None;
            }
            let worker = &mut self.workers[index];
            if has_lapsed {
                worker.inherited_until = None;
                self.lapsed_in_takeover.push(key);
            }
            if !worker.clock.has_lapsed(now) {
                continue;
            }
            worker.unknown_runs.clear();
            worker.has_unread_ends = false;
            let runs = self.lapsed_runs(&self.workers[index], now);
            if runs.is_empty() {
                continue;
            }
            let cause = match self.workers[index].seems_to_have_left() {
                true => LossCause::Left,
                false => LossCause::Lapsed,
            };
            self.drop_runs(key, runs, cause, now);
        }
        self.settle_crashes_by_registry();
    }

    /// Returns the runs that are certainly over on a worker whose lease has lapsed as far as this owner has granted it. If the worker
    /// has restarted, a start that its former incarnation received may yet begin, and take the longest lease.
    fn lapsed_runs(&self, worker: &WorkerState, now: Duration) -> Vec<(TaskKey, RunNumber)> {
        let lapse_at = self.late_grants_lapse_at(worker);
        let may_act_late = lapse_at.is_some_and(|lapse_at| now <= lapse_at);
        let runs = worker.runs.iter();
        runs.filter(|(_, run)| !may_act_late || worker.has_ended_with_former_incarnation(run))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Replaces a listed worker's record; moves its long-running tasks if it starts to drain.
    fn update_record(&mut self, key: WorkerKey, record: FleetWorker) {
        let known = self.worker(key);
        let marked = known.restart.map(|mark| mark.incarnation);
        let latest = known.record.incarnation.max(known.incarnation).max(marked);
        // The registry may list an incarnation that has restarted since.
        if let Some(incarnation) = record.incarnation
            && latest.is_some_and(|latest| incarnation > latest)
        {
            self.note_restart(key, incarnation);
        }
        let worker = self.worker_mut(key);
        let starts_draining = record.draining && !worker.record.draining;
        worker.restarted_in_takeover |= worker.inherited_until.is_some()
            && record.incarnation.is_some()
            && record.incarnation != worker.record.incarnation;
        worker.latest_incarnation = match record.incarnation {
            Some(incarnation) => worker.latest_incarnation.max(Some(incarnation)),
            None => worker.incarnation,
        };
        worker.record = record;
        worker.listed = true;
        worker.unlisted_since = None;
        if starts_draining {
            self.stop_long_running_tasks(key);
        }
    }

    /// Stops the long-running tasks of a draining worker, so that they restart elsewhere before it
    /// leaves.
    fn stop_long_running_tasks(&mut self, key: WorkerKey) {
        let long_running: Vec<(TaskKey, RunNumber)> = self
            .worker(key)
            .runs
            .keys()
            .copied()
            .filter(|(task, _)| {
                self.step_spec(task.step)
                    .is_some_and(|spec| spec.long_running)
            })
            .collect();
        for (task, run) in long_running {
            self.stop_run(key, task, run);
        }
    }

    /// Returns how long the worker may delay its answer to the next renewal.
    fn renewal_wait(&self, key: WorkerKey) -> Duration {
        let worker = self.worker(key);
        let needs_short_wait = self.storeless || worker.record.draining;
        let longest = match needs_short_wait {
            true => SHORT_RENEWAL_WAIT.min(self.longest_renewal_wait()),
            false => self.longest_renewal_wait(),
        };
        if !worker.has_owner_token || worker.unanswered > 0 || !worker.pending_acks.is_empty() {
            return Duration::ZERO;
        }
        // The end of a run that never began ends no wait of the worker.
        if worker.runs.values().any(RunState::was_stopped_unbegun) {
            return Duration::ZERO;
        }
        let has_fillers = worker.filler_cpu > 0;
        if has_fillers && worker.has_services() {
            return INTERFERENCE_RENEWAL_WAIT.min(longest);
        }
        let only_services = worker.runs.values().all(|run| run.target.is_some());
        match only_services {
            true => longest,
            false => ACTIVE_RENEWAL_WAIT.min(longest),
        }
    }

    /// Returns the longest wait of a renewal with which a worker's runs go on although the next renewal is lost.
    fn longest_renewal_wait(&self) -> Duration {
        let longest = self.told_lease().saturating_sub(LOST_RENEWAL_TIME) / 2;
        longest.min(self.settings.max_renewal_wait)
    }

    /// Returns the time after a renewal at which a worker is told to end its runs; most of the lease, however long that
    /// takes.
    fn told_lease(&self) -> Duration {
        let lease = self.settings.lease_duration;
        let told_lease = lease.saturating_sub(self.settings.max_stop_duration);
        told_lease.max(lease * 3 / 4)
    }

    /// Adjusts the state of a worker or step to the reason for which a start was refused.
    fn handle_start_refusal(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        refusal: OrderRefusal,
        now: Duration,
    ) {
        match refusal {
            // A renewal for any incarnation, which tells of the restart, follows a call that failed.
            OrderRefusal::Unsent | OrderRefusal::Closed | OrderRefusal::Restarted => {
                self.worker_mut(key).record_unanswered(now);
            }
            OrderRefusal::Unwell | OrderRefusal::Room | OrderRefusal::Malformed => {
                self.worker_mut(key).health.quarantine(now);
            }
            OrderRefusal::Ticket => {
                let step = task.step;
                if let Some(job) = self.jobs.get_mut(&step.job)
                    && let Some(step) = job.step_mut(step.occurrence, step.step)
                {
                    step.tickets.swap_remove(&key);
                }
            }
            OrderRefusal::Fenced | OrderRefusal::Old | OrderRefusal::Late => {}
        }
    }

    /// Processes a completion that a worker reports, unless it was processed before.
    fn process_completion(&mut self, key: WorkerKey, ended: EndedRun, now: Duration) {
        if ended.number <= self.worker(key).last_processed {
            return;
        }
        let longest_wait = WorkerClock::longest(self.settings.max_renewal_wait);
        let worker = self.worker_mut(key);
        worker.last_processed = ended.number;
        if !self.jobs.contains_key(&ended.task.job()) {
            self.handle_unknown_end(key, ended, now);
            return;
        }
        let worker = self.worker_mut(key);
        let heard_alone_from = worker.following_since + longest_wait;
        let seen = worker.runs.get(&(ended.task, ended.run));
        let placed = seen.map(|run| run.placed_at);
        let is_heard_alone = seen.is_some_and(|run| {
            run.is_heard_alone || !run.is_adopted && run.placed_at >= heard_alone_from
        });
        let how = EarlierRun::Ended(ended.result);
        self.release_run(key, ended.task, ended.run, how, now);
        if let Some(placed) = placed {
            self.record_run_time(&ended, placed, now);
        }
        let change = self.apply_completion(key, &ended, is_heard_alone, now);
        let worker = self.worker_mut(key);
        worker.pending_acks.push_back(PendingAck {
            number: ended.number,
            change,
        });
    }
}
