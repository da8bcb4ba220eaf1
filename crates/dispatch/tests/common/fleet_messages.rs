//! Messages between owners and workers, and their faults.

use std::time::Duration;

use jasminebend_dispatch::{
    JobKey,
    LeaseRenewal,
    OrderOutcome,
    OrderRefusal,
    ProgressRecord,
    RenewalReport,
    TaskKey,
    WorkerKey,
    WorkerOrder, //
};
use rand::RngExt;

use super::{
    CrashMode,
    Fleet,
    TICK,
    ms, //
};

/// The time that a message takes.
const MESSAGE_DELAY: Duration = Duration::from_millis(2);
/// The time after which an unanswered call fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// The time that a commit takes.
const COMMIT_TIME: Duration = Duration::from_millis(6);

/// A message or timer, with the index of the owner that it belongs to. Calls have the fencing token that they carry.
#[derive(Clone, Debug)]
pub(super) enum Event {
    Order(usize, u64, WorkerOrder, Duration),
    OrderAnswer(usize, u64, WorkerOrder, OrderOutcome),
    Renewal(usize, u64, WorkerKey, LeaseRenewal, Duration),
    RenewalAnswer(
        usize,
        WorkerKey,
        Duration,
        Result<RenewalReport, OrderOutcome>,
    ),
    CommitAnswer(usize, Vec<(JobKey, ProgressRecord)>, bool),
    RenewalDue(usize, WorkerKey),
}

impl Fleet {
    /// Runs one step of an owner: lapses, schedules, plan and commit.
    pub(super) fn run_owner(&mut self, owner: usize) {
        let now = self.now;
        let state = &mut self.owners[owner];
        if state.deposed || now < state.suspended_until {
            return;
        }
        state.dispatcher.note_activity(now);
        let wall = self.wall_of(owner);
        self.owners[owner].dispatcher.note_wall(wall, now);
        if !self.confirm_ownership(owner) {
            return;
        }
        let state = &mut self.owners[owner];
        match self.store_is_away {
            true => state.dispatcher.note_registry_failure(),
            false => state.dispatcher.note_registry_read(now),
        }
        state.dispatcher.expire_leases(now);
        // The simulated clock is also the wall clock.
        state.dispatcher.open_due_occurrences(now, now);
        let outcome = state.dispatcher.plan(now);
        self.waits.extend(outcome.waits);
        self.overdue_stops.extend(outcome.overdue_stops);
        for order in outcome.orders {
            self.send(owner, order);
        }
        if owner + 1 == self.owners.len() {
            self.record_workers();
        }
        let state = &mut self.owners[owner];
        if !state.committing {
            let records = state.dispatcher.take_records_to_commit(45);
            if !records.is_empty() {
                state.committing = true;
                self.commit(owner, records);
            }
        }
    }

    /// Confirms the current owner's ownership, and returns whether an owner may act: its last
    /// confirmation is recent enough. A replaced owner is not confirmed any more.
    fn confirm_ownership(&mut self, owner: usize) -> bool {
        let now = self.now;
        let current = owner + 1 == self.owners.len();
        let state = &mut self.owners[owner];
        if current {
            state.last_confirmed_at = now;
        }
        now < state.last_confirmed_at + self.settings.unconfirmed_grace
    }

    /// Stores records, subject to faults; only the current owner's commits succeed.
    fn commit(&mut self, owner: usize, records: Vec<(JobKey, ProgressRecord)>) {
        let current = owner + 1 == self.owners.len();
        let fails = self.chance(self.faults.failed_commits);
        let done = current && !self.store_is_away && (!fails || self.chance(50));
        if done {
            for (key, record) in &records {
                self.records.insert(*key, record.clone());
            }
        }
        self.push(
            COMMIT_TIME,
            Event::CommitAnswer(owner, records, done && !fails),
        );
    }

    /// Sends an order, subject to faults.
    fn send(&mut self, owner: usize, order: WorkerOrder) {
        let now = self.now;
        let worker = worker_of(&order);
        let dispatcher = &mut self.owners[owner].dispatcher;
        let deadline = match order {
            WorkerOrder::Start(_) => dispatcher.grant_order_deadline(worker, now),
            WorkerOrder::Stop { .. } | WorkerOrder::Throttle { .. } => None,
        };
        let deadline = deadline.unwrap_or_default();
        let token = dispatcher.worker_token(worker);
        let is_unreachable = now < self.unreachable_until[worker.index()]
            || self.is_out_of_reach(owner, worker.index());
        if is_unreachable || self.chance(self.faults.lost) {
            self.push(
                CALL_TIMEOUT,
                Event::OrderAnswer(owner, token, order, OrderOutcome::Unknown),
            );
            return;
        }
        if self.chance(self.faults.delayed) {
            let later = ms(self.random.random_range(2000..12_000));
            self.push(
                CALL_TIMEOUT,
                Event::OrderAnswer(owner, token, order.clone(), OrderOutcome::Unknown),
            );
            self.push(later, Event::Order(usize::MAX, token, order, deadline));
            return;
        }
        self.push(MESSAGE_DELAY, Event::Order(owner, token, order, deadline));
    }

    pub(super) fn deliver_due_events(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let event = entry.remove();
            self.deliver(event);
        }
    }

    fn deliver(&mut self, event: Event) {
        let now = self.now;
        if let Some(owner) = owner_of(&event)
            && now < self.owners[owner].suspended_until
        {
            // Messages that arrive while the owner is suspended are processed when it resumes.
            let wait = self.owners[owner].suspended_until.saturating_sub(now);
            self.push(wait, event);
            return;
        }
        match event {
            Event::Order(owner, token, order, deadline) => {
                self.deliver_order(owner, token, order, deadline);
            }
            Event::OrderAnswer(owner, token, order, end) => {
                self.handle_order_answer(owner, token, order, end);
            }
            Event::RenewalDue(owner, key) => self.send_renewal(owner, key),
            Event::Renewal(owner, token, key, order, sent) => {
                let is_unreachable =
                    !self.is_reachable(key.index()) || self.is_out_of_reach(owner, key.index());
                if !is_unreachable && self.delays_renewal(token, key, &order, sent) {
                    self.push(TICK, Event::Renewal(owner, token, key, order, sent));
                    return;
                }
                let answer = match is_unreachable {
                    true if self.refuses_connections(key.index()) => {
                        Err(OrderOutcome::Refused(OrderRefusal::Closed))
                    }
                    true => Err(OrderOutcome::Unknown),
                    false => self.workers[key.index()].renew_lease(now, token, order),
                };
                let answer = answer.map(|report| self.add_metrics(report));
                let wait = if is_unreachable {
                    CALL_TIMEOUT
                } else {
                    MESSAGE_DELAY
                };
                self.push(wait, Event::RenewalAnswer(owner, key, sent, answer));
            }
            Event::RenewalAnswer(owner, key, sent, answer) => {
                self.handle_renewal_answer(owner, key, sent, answer);
            }
            Event::CommitAnswer(owner, _, known) => {
                let state = &mut self.owners[owner];
                state.committing = false;
                match known {
                    true => state.dispatcher.confirm_commit(),
                    false => state.dispatcher.abort_commit(),
                }
            }
        }
    }

    /// Returns whether a worker that received a renewal goes on waiting for a run to end. The lease is renewed at once.
    fn delays_renewal(
        &mut self,
        token: u64,
        key: WorkerKey,
        order: &LeaseRenewal,
        sent: Duration,
    ) -> bool {
        let now = self.now;
        if !self.delays_renewals || now >= sent + MESSAGE_DELAY + order.max_wait {
            return false;
        }
        let worker = &mut self.workers[key.index()];
        let report = worker.renew_lease(now, token, *order);
        report.is_ok_and(|report| report.completions.is_empty())
    }

    /// Adds the metrics of the running tasks: a service's tail latency grows with the fillers beside it.
    fn add_metrics(&self, mut report: RenewalReport) -> RenewalReport {
        if !self.has_metrics {
            return report;
        }
        let spec = |task: TaskKey| {
            let (graph, _) = &self.jobs[&task.job()];
            &graph.steps[usize::from(task.step.step)]
        };
        let fillers = report.running.iter().filter(|run| spec(run.task).filler);
        let slowdown = 1.0 + 0.4 * fillers.count() as f64;
        for running in &mut report.running {
            let spec = spec(running.task);
            running.metric = match spec.tail_target {
                Some(target) => Some(target.mul_f64(0.6 * slowdown).as_millis() as u64),
                None => Some(spec.size.cpu_millis),
            };
        }
        report
    }

    /// Executes an order on its worker. A delayed order, marked by `usize::MAX`, is not answered.
    fn deliver_order(&mut self, owner: usize, token: u64, order: WorkerOrder, deadline: Duration) {
        let now = self.now;
        let place = worker_of(&order).index();
        // A delayed order is lost if its worker has restarted and has not answered the owner that sent it since.
        if owner == usize::MAX && !self.has_answered_sender(token, worker_of(&order)) {
            return;
        }
        self.workers[place].advance_to(now);
        if self.workers[place].is_down() {
            if owner != usize::MAX {
                self.push(
                    CALL_TIMEOUT,
                    Event::OrderAnswer(owner, token, order, OrderOutcome::Unknown),
                );
            }
            return;
        }
        if owner != usize::MAX && self.chance(self.refused_orders) {
            let refused = OrderOutcome::Refused(OrderRefusal::Unwell);
            self.push(
                MESSAGE_DELAY,
                Event::OrderAnswer(owner, token, order, refused),
            );
            return;
        }
        let work = self.work;
        let worker = &mut self.workers[place];
        let before = worker.run_count();
        let end = match &order {
            WorkerOrder::Start(start) => {
                worker.start(now, token, start, deadline, work(start.task))
            }
            WorkerOrder::Stop { task, run, .. } => worker.stop(now, token, *task, *run),
            WorkerOrder::Throttle { .. } => OrderOutcome::Taken,
        };
        let has_started = worker.run_count() > before;
        if has_started && self.is_overfull(place) {
            let used = self.workers[place].used();
            self.violations
                .push(format!("worker-{place} holds {used:?} at {now:?}"));
        }
        if owner == usize::MAX {
            return;
        }
        match self.chance(self.faults.unanswered) {
            true => self.push(
                CALL_TIMEOUT,
                Event::OrderAnswer(owner, token, order, OrderOutcome::Unknown),
            ),
            false => self.push(MESSAGE_DELAY, Event::OrderAnswer(owner, token, order, end)),
        }
    }

    /// Returns whether the present incarnation of a worker has answered the owner that sends calls with this token.
    fn has_answered_sender(&self, token: u64, worker: WorkerKey) -> bool {
        let mut owners = self.owners.iter().map(|owner| &owner.dispatcher);
        let sender = owners.find(|owner| token <= owner.token());
        let incarnation = self.workers[worker.index()].record().incarnation;
        sender.is_some_and(|sender| sender.incarnation(worker) == incarnation)
    }

    fn handle_order_answer(
        &mut self,
        owner: usize,
        token: u64,
        order: WorkerOrder,
        end: OrderOutcome,
    ) {
        let now = self.now;
        let state = &mut self.owners[owner];
        let is_present = state.dispatcher.worker_token(worker_of(&order)) == token;
        state.deposed |= is_present && end == OrderOutcome::Refused(OrderRefusal::Fenced);
        match order {
            WorkerOrder::Start(start) => {
                state.dispatcher.handle_start_outcome(
                    start.worker,
                    start.task,
                    start.run,
                    end,
                    now,
                );
            }
            WorkerOrder::Stop { worker, task, run } => {
                state
                    .dispatcher
                    .handle_stop_outcome(worker, task, run, end, now);
            }
            WorkerOrder::Throttle { .. } => {}
        }
    }

    fn send_renewal(&mut self, owner: usize, key: WorkerKey) {
        if self.owners[owner].deposed {
            return;
        }
        let now = self.now;
        let confirmed = self.confirm_ownership(owner);
        let dispatcher = &mut self.owners[owner].dispatcher;
        let order = dispatcher.next_renewal(key, confirmed, now);
        let token = dispatcher.worker_token(key);
        self.push(MESSAGE_DELAY, Event::Renewal(owner, token, key, order, now));
    }

    fn handle_renewal_answer(
        &mut self,
        owner: usize,
        key: WorkerKey,
        sent: Duration,
        answer: Result<RenewalReport, OrderOutcome>,
    ) {
        let now = self.now;
        let state = &mut self.owners[owner];
        match answer {
            Ok(report) => {
                state
                    .dispatcher
                    .handle_renewal_report(key, sent, report, now);
                self.push(ms(50), Event::RenewalDue(owner, key));
            }
            Err(OrderOutcome::Refused(OrderRefusal::Fenced)) => state.deposed = true,
            Err(end) => {
                state.dispatcher.handle_renewal_failure(key, end, now);
                self.push(ms(200), Event::RenewalDue(owner, key));
            }
        }
    }

    /// Returns whether nothing listens at a worker's address.
    fn refuses_connections(&self, worker: usize) -> bool {
        let has_crashed = self.workers[worker].is_down() && self.crash_mode != CrashMode::Silent;
        let has_left = self.has_left[worker] && self.crash_mode != CrashMode::Silent;
        has_left || has_crashed || self.refuses_while_unreachable
    }

    /// Returns `true` with this probability in percent.
    fn chance(&mut self, hundredths: u32) -> bool {
        hundredths > 0 && self.random.random_range(0..100) < hundredths
    }

    pub(super) fn push(&mut self, wait: Duration, event: Event) {
        self.event_count += 1;
        self.events
            .insert((self.now + wait, self.event_count), event);
    }
}

fn worker_of(order: &WorkerOrder) -> WorkerKey {
    match order {
        WorkerOrder::Start(start) => start.worker,
        WorkerOrder::Stop { worker, .. } | WorkerOrder::Throttle { worker, .. } => *worker,
    }
}

fn owner_of(event: &Event) -> Option<usize> {
    match event {
        Event::OrderAnswer(owner, ..)
        | Event::RenewalAnswer(owner, ..)
        | Event::CommitAnswer(owner, ..)
        | Event::RenewalDue(owner, ..) => Some(*owner),
        Event::Order(..) | Event::Renewal(..) => None,
    }
}
