//! What owners and workers send to each other, and what becomes of it on the way.

use std::time::Duration;

use jasminebend_dispatch::{
    DispatchSettings,
    HoldOrder,
    HoldReport,
    JobKey,
    OrderEnd,
    OrderRefusal,
    ProgressRecord,
    WorkerKey,
    WorkerOrder, //
};
use rand::RngExt;

use super::{
    Fleet,
    ms, //
};

const WAY: Duration = Duration::from_millis(2);
const TIMEOUT: Duration = Duration::from_millis(600);
const PAUSE: Duration = Duration::from_millis(700);
const COMMIT: Duration = Duration::from_millis(6);

#[derive(Clone, Debug)]
pub(super) enum Event {
    Order(usize, WorkerOrder, Duration),
    OrderAnswer(usize, WorkerOrder, OrderEnd),
    Hold(usize, WorkerKey, HoldOrder, Duration),
    HoldAnswer(usize, WorkerKey, Duration, Result<HoldReport, OrderEnd>),
    CommitAnswer(usize, Vec<(JobKey, ProgressRecord)>, bool),
    Attend(usize, WorkerKey),
}

impl Fleet {
    pub(super) fn act(&mut self, owner: usize) {
        let now = self.now;
        let state = &mut self.owners[owner];
        if state.deposed || now < state.frozen_until || !self.confirm(owner) {
            return;
        }
        let state = &mut self.owners[owner];
        if now > state.acted + PAUSE {
            state.dispatcher.note_pause();
        }
        state.acted = now;
        state.dispatcher.note_lapses(now);
        // The fleet's time of day is its clock.
        state.dispatcher.begin_due(now, now);
        let outcome = state.dispatcher.plan(now);
        for order in outcome.orders {
            self.send(owner, order);
        }
        let state = &mut self.owners[owner];
        if !state.committing {
            let records = state.dispatcher.take_commit(45);
            if !records.is_empty() {
                state.committing = true;
                self.commit(owner, records);
            }
        }
    }

    /// Tells whether an owner may act: it reads its row again and again, and a former owner can't any more.
    fn confirm(&mut self, owner: usize) -> bool {
        let now = self.now;
        let current = owner + 1 == self.owners.len();
        let state = &mut self.owners[owner];
        if current {
            state.confirmed = now;
        }
        now < state.confirmed + DispatchSettings::default().unconfirmed
    }

    fn commit(&mut self, owner: usize, records: Vec<(JobKey, ProgressRecord)>) {
        let current = owner + 1 == self.owners.len();
        let fails = self.draw(self.faults.commits);
        let done = current && (!fails || self.draw(50));
        if done {
            for (key, record) in &records {
                self.records.insert(*key, record.clone());
            }
        }
        self.push(COMMIT, Event::CommitAnswer(owner, records, done && !fails));
    }

    fn send(&mut self, owner: usize, order: WorkerOrder) {
        let now = self.now;
        let worker = worker_of(&order);
        let dispatcher = &mut self.owners[owner].dispatcher;
        let deadline = dispatcher.order_deadline(worker, now).unwrap_or_default();
        if now < self.cut_until[worker.place()] || self.draw(self.faults.lost) {
            self.push(TIMEOUT, Event::OrderAnswer(owner, order, OrderEnd::Unknown));
            return;
        }
        if self.draw(self.faults.late) {
            let later = ms(self.random.random_range(2000..12_000));
            self.push(
                TIMEOUT,
                Event::OrderAnswer(owner, order.clone(), OrderEnd::Unknown),
            );
            self.push(
                later,
                Event::Order(usize::MAX, relabel(order, owner, now), deadline),
            );
            return;
        }
        self.push(WAY, Event::Order(owner, order, deadline));
    }

    pub(super) fn carry_events(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let event = entry.remove();
            self.carry(event);
        }
    }

    fn carry(&mut self, event: Event) {
        let now = self.now;
        if let Some(owner) = owner_of(&event)
            && now < self.owners[owner].frozen_until
        {
            // What came while the owner was frozen is seen when it wakes.
            let wait = self.owners[owner].frozen_until.saturating_sub(now);
            self.push(wait, event);
            return;
        }
        match event {
            Event::Order(owner, order, deadline) => self.carry_order(owner, order, deadline),
            Event::OrderAnswer(owner, order, end) => self.answer(owner, order, end),
            Event::Attend(owner, key) => self.attend(owner, key),
            Event::Hold(owner, key, order, sent) => {
                let cut = now < self.cut_until[key.place()];
                let answer = match cut {
                    true if self.left[key.place()] => Err(OrderEnd::Refused(OrderRefusal::Closed)),
                    true => Err(OrderEnd::Unknown),
                    false => self.workers[key.place()].hold(now, owner as u64 + 1, order),
                };
                let wait = if cut { TIMEOUT } else { WAY };
                self.push(wait, Event::HoldAnswer(owner, key, sent, answer));
            }
            Event::HoldAnswer(owner, key, sent, answer) => {
                self.hear(owner, key, sent, answer);
            }
            Event::CommitAnswer(owner, _, known) => {
                let state = &mut self.owners[owner];
                state.committing = false;
                match known {
                    true => state.dispatcher.note_committed(),
                    false => state.dispatcher.note_uncommitted(),
                }
            }
        }
    }

    /// Carries an order out. One that comes late has its owner's token and no answer.
    fn carry_order(&mut self, owner: usize, order: WorkerOrder, deadline: Duration) {
        let now = self.now;
        let (token, sent) = match owner {
            usize::MAX => unlabel(&order),
            owner => (owner as u64 + 1, now),
        };
        let place = worker_of(&order).place();
        // The worker that keeps an order for later takes it with it when it dies.
        if self.workers[place].record().born > Some(sent) {
            return;
        }
        let work = self.work;
        let worker = &mut self.workers[place];
        let end = match &order {
            WorkerOrder::Start(start) => {
                worker.start(now, token, start, deadline, work(start.task))
            }
            WorkerOrder::Stop { task, run, .. } => worker.stop(now, token, *task, *run),
            WorkerOrder::Pace { .. } => OrderEnd::Taken,
        };
        let capacity = worker.record().capacity;
        if !worker.used().fits_in(capacity) {
            let used = worker.used();
            self.broken
                .push(format!("worker-{place} holds {used:?} at {now:?}"));
        }
        if owner == usize::MAX {
            return;
        }
        match self.draw(self.faults.unanswered) {
            true => self.push(TIMEOUT, Event::OrderAnswer(owner, order, OrderEnd::Unknown)),
            false => self.push(WAY, Event::OrderAnswer(owner, order, end)),
        }
    }

    fn answer(&mut self, owner: usize, order: WorkerOrder, end: OrderEnd) {
        let now = self.now;
        let state = &mut self.owners[owner];
        state.deposed |= end == OrderEnd::Refused(OrderRefusal::Fenced);
        match order {
            WorkerOrder::Start(start) => {
                state
                    .dispatcher
                    .start_ended(start.worker, start.task, start.run, end, now);
            }
            WorkerOrder::Stop { worker, task, run } => {
                state.dispatcher.stop_ended(worker, task, run, end, now);
            }
            WorkerOrder::Pace { .. } => {}
        }
    }

    fn attend(&mut self, owner: usize, key: WorkerKey) {
        if self.owners[owner].deposed {
            return;
        }
        let now = self.now;
        let confirmed = self.confirm(owner);
        let order = self.owners[owner]
            .dispatcher
            .hold_order(key, confirmed, now);
        self.push(WAY, Event::Hold(owner, key, order, now));
    }

    fn hear(
        &mut self,
        owner: usize,
        key: WorkerKey,
        sent: Duration,
        answer: Result<HoldReport, OrderEnd>,
    ) {
        let now = self.now;
        let state = &mut self.owners[owner];
        match answer {
            Ok(report) => {
                state.dispatcher.hold_answered(key, sent, report, now);
                self.push(ms(50), Event::Attend(owner, key));
            }
            Err(OrderEnd::Refused(OrderRefusal::Fenced)) => state.deposed = true,
            Err(end) => {
                state.dispatcher.hold_unanswered(key, end);
                self.push(ms(200), Event::Attend(owner, key));
            }
        }
    }

    fn draw(&mut self, hundredths: u32) -> bool {
        hundredths > 0 && self.random.random_range(0..100) < hundredths
    }

    pub(super) fn push(&mut self, wait: Duration, event: Event) {
        self.count += 1;
        self.events.insert((self.now + wait, self.count), event);
    }
}

fn worker_of(order: &WorkerOrder) -> WorkerKey {
    match order {
        WorkerOrder::Start(start) => start.worker,
        WorkerOrder::Stop { worker, .. } | WorkerOrder::Pace { worker, .. } => *worker,
    }
}

fn owner_of(event: &Event) -> Option<usize> {
    match event {
        Event::OrderAnswer(owner, ..)
        | Event::HoldAnswer(owner, ..)
        | Event::CommitAnswer(owner, ..)
        | Event::Attend(owner, ..) => Some(*owner),
        Event::Order(..) | Event::Hold(..) => None,
    }
}

/// Hides the token and the time of a late order in its payload; it has nobody to answer to.
fn relabel(order: WorkerOrder, owner: usize, now: Duration) -> WorkerOrder {
    match order {
        WorkerOrder::Start(mut start) => {
            start.payload = format!("{} {}", owner + 1, now.as_millis()).into();
            WorkerOrder::Start(start)
        }
        other => other,
    }
}

/// Returns a late order's token and time. A stop's are not kept: it is refused once an owner was heard.
fn unlabel(order: &WorkerOrder) -> (u64, Duration) {
    let WorkerOrder::Start(start) = order else {
        return (0, Duration::ZERO);
    };
    let mut parts = start
        .payload
        .split(' ')
        .map(|part| part.parse().unwrap_or(0));
    (parts.next().unwrap_or(0), ms(parts.next().unwrap_or(0)))
}
