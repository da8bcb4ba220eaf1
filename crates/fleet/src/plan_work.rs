//! Plans orders to workers and sends them.

use std::{
    rc::Rc,
    time::Duration, //
};

use jasminebend_dispatch::{
    AdviceWish,
    DecisionNote,
    OrderEnd,
    OrderRefusal,
    StartOrder,
    WaitNote,
    WorkerKey,
    WorkerOrder, //
};
use serde::Serialize;
use tokio::{
    task,
    time, //
};

use crate::{
    FleetRow,
    FleetTable,
    LogEvent,
    WorkerAddress,
    fleet_log::whole_millis,
    fleet_shared::{
        FleetShared,
        SHARD_PART, //
    },
    owner_seat::OwnerSeat, //
};

/// How long events are collected before a plan is made: one answer causes several events.
const GATHER: Duration = Duration::from_millis(1);
/// The longest time between two plans: leases lapse and stops are repeated without an event.
const EVERY: Duration = Duration::from_millis(150);

/// The pause of the process (suspended VM, starved CPU) after which its knowledge of workers counts as stale.
const PAUSE: Duration = Duration::from_millis(900);

#[derive(Serialize)]
struct OrderLine<'a> {
    order: &'static str,
    task: String,
    run: u64,
    worker: &'a str,
    outcome: String,
    owner_token: u64,
    worker_heard_ms: Option<u64>,
    job_age_ms: Option<u64>,
}

/// Why a step waits: the number of workers that were ruled out, by reason.
#[derive(Serialize)]
struct WaitLine {
    step: String,
    missing: usize,
    job_age_ms: Option<u64>,
    owner_token: u64,
    processors: usize,
    memory: usize,
    leaving: usize,
    silent: usize,
    set_aside: usize,
    unfit: usize,
    kept: usize,
    busy: usize,
    shielded: usize,
    learning: usize,
    harm: usize,
    other: usize,
}

#[derive(Serialize)]
struct GiveWayLine<'a> {
    order: &'static str,
    worker: &'a str,
    service: String,
    image: Option<&'a str>,
    tail_percent: u64,
    expected_load: f64,
    moved: usize,
    fillers: Vec<(String, Option<&'a str>, f64)>,
}

/// Makes a plan after each event and at regular intervals, and sends its orders, until the term is over.
pub(crate) async fn plan_orders(shared: Rc<FleetShared>, seat: Rc<OwnerSeat>) {
    let mut planned = shared.now();
    loop {
        // After the timeout a plan is made without an event.
        drop(time::timeout(EVERY, seat.plan.notified()).await);
        let begun = shared.now();
        time::sleep(GATHER).await;
        let now = shared.now();
        let lag = now.saturating_sub(begun + GATHER);
        if now > planned + PAUSE {
            seat.dispatcher.borrow_mut().note_pause();
        }
        planned = now;
        if !shared.may_order(&seat) {
            continue;
        }
        let outcome = {
            let mut dispatcher = seat.dispatcher.borrow_mut();
            dispatcher.note_lag(lag, now);
            dispatcher.note_lapses(now);
            dispatcher.begin_due(shared.wall(), now);
            dispatcher.plan(now)
        };
        for order in outcome.orders {
            task::spawn_local(send(Rc::clone(&shared), Rc::clone(&seat), order));
        }
        for note in &outcome.notes {
            log_note(&shared, &seat, note);
        }
        for wait in &outcome.waits {
            log_wait(&shared, &seat, wait, now);
        }
        for wish in outcome.advice {
            task::spawn_local(ask_advice(Rc::clone(&shared), Rc::clone(&seat), wish));
        }
        if seat.dispatcher.borrow().wants_commit() {
            seat.commit.notify_one();
        }
    }
}

/// Returns the worker's address, with the owner's fencing token.
pub(crate) fn worker_address(seat: &OwnerSeat, key: WorkerKey) -> WorkerAddress {
    let dispatcher = seat.dispatcher.borrow();
    let record = dispatcher.worker_record(key);
    WorkerAddress {
        id: record.id.clone(),
        address: record.address.clone(),
        token: seat.token(),
    }
}

async fn send(shared: Rc<FleetShared>, seat: Rc<OwnerSeat>, order: WorkerOrder) {
    // The process may have been paused since the order was planned.
    if !shared.may_order(&seat) || !is_wanted(&seat, &order) {
        give_back(&shared, &seat, &order);
        return;
    }
    let end = match &order {
        WorkerOrder::Start(start) => send_start(&shared, &seat, start).await,
        WorkerOrder::Stop { worker, task, run } => {
            let address = worker_address(&seat, *worker);
            let end = shared.workers.stop(&address, *task, *run).await;
            let now = shared.now();
            seat.dispatcher
                .borrow_mut()
                .stop_ended(*worker, *task, *run, end, now);
            end
        }
        WorkerOrder::Pace {
            worker,
            task,
            run,
            percent,
        } => {
            let address = worker_address(&seat, *worker);
            let end = shared.workers.pace(&address, *task, *run, *percent).await;
            if end != OrderEnd::Taken {
                seat.dispatcher
                    .borrow_mut()
                    .pace_unsure(*worker, *task, *run);
            }
            end
        }
    };
    log_order(&shared, &seat, &order, end);
    if end == OrderEnd::Refused(OrderRefusal::Fenced) {
        seat.depose();
    }
    if end != OrderEnd::Taken || seat.dispatcher.borrow().holds_back() {
        seat.plan.notify_one();
    }
}

fn is_wanted(seat: &OwnerSeat, order: &WorkerOrder) -> bool {
    match order {
        WorkerOrder::Start(start) => seat.dispatcher.borrow().still_wants(start),
        WorkerOrder::Stop { .. } | WorkerOrder::Pace { .. } => true,
    }
}

/// Reports to the dispatcher that an order was not sent.
fn give_back(shared: &FleetShared, seat: &OwnerSeat, order: &WorkerOrder) {
    let end = OrderEnd::Refused(OrderRefusal::Late);
    let now = shared.now();
    let mut dispatcher = seat.dispatcher.borrow_mut();
    match order {
        WorkerOrder::Start(start) => {
            dispatcher.start_ended(start.worker, start.task, start.run, end, now);
        }
        WorkerOrder::Stop { worker, task, run } => {
            dispatcher.stop_ended(*worker, *task, *run, end, now);
        }
        WorkerOrder::Pace {
            worker, task, run, ..
        } => {
            dispatcher.pace_unsure(*worker, *task, *run);
        }
    }
}

async fn send_start(shared: &FleetShared, seat: &OwnerSeat, start: &StartOrder) -> OrderEnd {
    let address = worker_address(seat, start.worker);
    let deadline = seat
        .dispatcher
        .borrow_mut()
        .order_deadline(start.worker, shared.now());
    let end = match deadline {
        Some(deadline) => shared.workers.start(&address, start, deadline).await,
        None => OrderEnd::Refused(OrderRefusal::Unsent),
    };
    let now = shared.now();
    seat.dispatcher
        .borrow_mut()
        .start_ended(start.worker, start.task, start.run, end, now);
    end
}

async fn ask_advice(shared: Rc<FleetShared>, seat: Rc<OwnerSeat>, wish: AdviceWish) {
    let Some(advice) = &shared.advice else {
        return;
    };
    let Some(answer) = advice.advise(wish.step, &wish.workers).await else {
        return;
    };
    let until = shared.now() + answer.validity;
    seat.dispatcher
        .borrow_mut()
        .advice_answered(wish.step, answer.tickets, until);
    seat.plan.notify_one();
}

fn log_order(shared: &FleetShared, seat: &OwnerSeat, order: &WorkerOrder, end: OrderEnd) {
    let (name, worker, task, run) = match order {
        WorkerOrder::Start(start) => ("start", start.worker, start.task, start.run),
        WorkerOrder::Stop { worker, task, run } => ("stop", *worker, *task, *run),
        WorkerOrder::Pace {
            worker, task, run, ..
        } => ("pace", *worker, *task, *run),
    };
    metrics::counter!("jasminebend_fleet_orders_total", "order" => name, "end" => end_name(end))
        .increment(1);
    let now = shared.now();
    let dispatcher = seat.dispatcher.borrow();
    let heard = dispatcher.heard(worker);
    shared.log.line(
        LogEvent::Order,
        OrderLine {
            order: name,
            task: task.to_string(),
            run: run.value(),
            worker: &dispatcher.worker_record(worker).id,
            outcome: format!("{end:?}"),
            owner_token: seat.token(),
            worker_heard_ms: heard.map(|heard| whole_millis(now.saturating_sub(heard))),
            job_age_ms: dispatcher.age(task.job(), now).map(whole_millis),
        },
    );
}

fn log_note(shared: &FleetShared, seat: &OwnerSeat, note: &DecisionNote) {
    let dispatcher = seat.dispatcher.borrow();
    let fillers = note.fillers.iter();
    shared.log.line(
        LogEvent::Order,
        GiveWayLine {
            order: "give_way",
            worker: &dispatcher.worker_record(note.worker).id,
            service: note.service.to_string(),
            image: note.image.as_deref(),
            tail_percent: note.tail_percent,
            expected_load: note.expected_load,
            moved: note.moved,
            fillers: fillers
                .map(|(task, image, effect)| (task.to_string(), image.as_deref(), *effect))
                .collect(),
        },
    );
}

fn log_wait(shared: &FleetShared, seat: &OwnerSeat, wait: &WaitNote, now: Duration) {
    let reasons = wait.reasons;
    let age = seat.dispatcher.borrow().age(wait.step.job, now);
    shared.log.line(
        LogEvent::Wait,
        WaitLine {
            step: wait.step.to_string(),
            missing: wait.missing,
            job_age_ms: age.map(whole_millis),
            owner_token: seat.token(),
            processors: reasons.processors,
            memory: reasons.memory,
            leaving: reasons.leaving,
            silent: reasons.silent,
            set_aside: reasons.set_aside,
            unfit: reasons.unfit,
            kept: reasons.kept,
            busy: reasons.busy,
            shielded: reasons.shielded,
            learning: reasons.learning,
            harm: reasons.harm,
            other: reasons.other,
        },
    );
}

fn end_name(end: OrderEnd) -> &'static str {
    match end {
        OrderEnd::Taken => "taken",
        OrderEnd::Refused(_) => "refused",
        OrderEnd::Unknown => "unknown",
    }
}

/// Returns the row with a job's encoded progress.
pub(crate) fn progress_row(key: jasminebend_dispatch::JobKey, value: Vec<u8>) -> FleetRow {
    FleetRow::new(FleetTable::Progress, SHARD_PART, key.to_string(), value)
}
