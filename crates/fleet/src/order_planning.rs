//! Plans orders to workers and sends them.

use std::{
    rc::Rc,
    time::Duration, //
};

use jasminebend_dispatch::{
    AdviceRequest,
    CrashFinding,
    CrashVerdict,
    FillerEviction,
    OrderOutcome,
    OrderRefusal,
    OverdueStop,
    RunLoss,
    StartOrder,
    StepWait,
    SurplusRun,
    UnknownEnd,
    WorkerKey,
    WorkerOrder, //
};
use serde::Serialize;
use tokio::{
    task,
    time, //
};

use crate::{
    LogEvent,
    OrderReply,
    StoreRow,
    StoreTable,
    WorkerAddress,
    fleet_log::whole_millis,
    lease_renewal::count_call_for_former_incarnation,
    owner_term::OwnerTerm,
    shared_state::{
        ENDS_SUFFIX,
        SHARD_PART,
        SharedState, //
    }, //
};

/// How long events are collected before a plan is made: one answer causes several events.
const PLAN_DELAY: Duration = Duration::from_millis(1);
/// The most workers that a line names.
const MAX_NAMED_WORKERS: usize = 20;
/// The longest time between two plans: leases lapse and stops are repeated without an event.
const LONGEST_PLAN_INTERVAL: Duration = Duration::from_millis(150);

/// The outcome of an order to a worker.
#[derive(Serialize)]
struct OrderLine<'a> {
    order: &'static str,
    task: String,
    run: u64,
    worker: &'a str,
    outcome: String,
    owner_token: u64,
    worker_heard_ms: Option<u64>,
    /// When the incarnation began that the order was meant for, since 1970.
    worker_born_ms: Option<u64>,
    /// The reading of the worker's clock in the answer; each incarnation has another one.
    worker_clock_ms: Option<u64>,
    /// The end of the lease that a start carried, on the clock of the incarnation that it was meant for.
    deadline_ms: Option<u64>,
    job_age_ms: Option<u64>,
    #[serde(flatten)]
    basis: Option<StartBasis>,
}

/// What the owner believes as it starts a run: whether a former owner may have started the step's tasks, and what it knows of
/// the task's run before.
#[derive(Serialize)]
struct StartBasis {
    inherited: bool,
    earlier: String,
}

/// The end of a run whose job the owner does not know.
#[derive(Serialize)]
struct UnknownEndLine<'a> {
    task: String,
    run: u64,
    worker: &'a str,
    number: u64,
    end: String,
    outcome: String,
    held_ms: u64,
    owner_token: u64,
}

/// All workers have listed what they run to this owner, but those whose lease has lapsed before they answered.
#[derive(Serialize)]
struct CompleteTakeoverLine<'a> {
    change: &'static str,
    token: u64,
    took_ms: u64,
    lapsed: usize,
    lapsed_workers: Vec<&'a str>,
}

/// Why a step waits: the number of workers that were ruled out, by reason.
#[derive(Serialize)]
struct WaitLine {
    step: String,
    cause: String,
    missing: usize,
    job_age_ms: Option<u64>,
    owner_token: u64,
    processors: usize,
    memory: usize,
    leaving: usize,
    silent: usize,
    unrecorded: usize,
    set_aside: usize,
    unfit: usize,
    kept: usize,
    busy: usize,
    shielded: usize,
    learning: usize,
    harm: usize,
    isolated: usize,
    other: usize,
}

/// A run goes on although it was to be stopped some time ago. `cause` is `silent` (the worker answers no renewals), `ending`
/// (it accepted the order and lists the run), `unlisted` (it accepted the order and does not list the run), `limit` (too many orders are in flight) or `unanswered`.
#[derive(Serialize)]
struct OverdueStopLine<'a> {
    task: String,
    run: u64,
    worker: &'a str,
    cause: String,
    waited_ms: u64,
    attempts: u32,
    owner_token: u64,
}

/// The decision to evict fillers beside a service that answers too slowly or is forecast to, with its measurements.
#[derive(Serialize)]
struct FillerEvictionLine<'a> {
    order: &'static str,
    worker: &'a str,
    service: String,
    image: Option<&'a str>,
    tail_percent: u64,
    expected_load: f64,
    moved: usize,
    fillers: Vec<(String, Option<&'a str>, f64)>,
}

/// The loss of a run together with its worker. `worker_born_ms` tells which incarnation answered last; `ran_ms` is how long the run
/// is known to have been executing; `listed`
/// whether the registry still lists the worker; `others` the number of other runs that were on it; `unfenced` whether the worker
/// is known to have restarted, and may carry out calls that its former incarnation received.
#[derive(Serialize)]
struct LossLine<'a> {
    task: String,
    run: u64,
    worker: &'a str,
    cause: String,
    placed_ms_ago: u64,
    ran_ms: Option<u64>,
    unreachable_ms: Option<u64>,
    refused: bool,
    listed: bool,
    others: usize,
    unfenced: bool,
    owner_token: u64,
    worker_born_ms: Option<u64>,
}

/// A run that a worker lists, that this owner has not started, and that is to be stopped: `cause` is `job_over`, `done` (the task)
/// or `other_run` (the task has another run, which `other_run` and `other_worker` name).
#[derive(Serialize)]
struct SurplusLine<'a> {
    task: String,
    run: u64,
    worker: &'a str,
    cause: String,
    other_run: Option<u64>,
    other_worker: Option<&'a str>,
    owner_token: u64,
}

/// What was found out about the crash of a worker under a task. `at` is when contact was lost, in seconds since 1970;
/// `crashes` the number of crashes that are on record for the task.
#[derive(Serialize)]
struct CrashLine<'a> {
    task: String,
    run: u64,
    worker: &'a str,
    at: f64,
    verdict: &'static str,
    evidence: String,
    early: bool,
    alone: bool,
    widespread: bool,
    crashes: usize,
    gives_up: bool,
    owner_token: u64,
}

/// Makes a plan after each event and at regular intervals, and sends its orders, until the term is over.
pub(crate) async fn plan_orders(shared: Rc<SharedState>, term: Rc<OwnerTerm>) {
    let mut is_complete = term.is_first_owner();
    loop {
        // After the timeout a plan is made without an event.
        drop(time::timeout(LONGEST_PLAN_INTERVAL, term.plan_wakeup.notified()).await);
        let woken_at = shared.now();
        time::sleep(PLAN_DELAY).await;
        let now = shared.now();
        let lag = now.saturating_sub(woken_at + PLAN_DELAY);
        {
            let mut dispatcher = term.dispatcher.borrow_mut();
            dispatcher.note_activity(now);
            dispatcher.note_wall(shared.wall(), now);
        }
        if !shared.may_send_orders(&term) {
            continue;
        }
        let outcome = {
            let mut dispatcher = term.dispatcher.borrow_mut();
            dispatcher.report_timer_lag(lag, now);
            dispatcher.expire_leases(now);
            dispatcher.open_due_occurrences(shared.wall(), now);
            dispatcher.plan(now)
        };
        for order in outcome.orders {
            task::spawn_local(send_order(Rc::clone(&shared), Rc::clone(&term), order));
        }
        if !is_complete && term.dispatcher.borrow().is_takeover_complete() {
            is_complete = true;
            log_complete_takeover(&shared, &term, now);
        }
        for end in &outcome.unknown_ends {
            log_unknown_end(&shared, &term, end);
        }
        for eviction in &outcome.evictions {
            log_filler_eviction(&shared, &term, eviction);
        }
        for loss in &outcome.losses {
            log_loss(&shared, &term, loss, now);
        }
        for surplus in &outcome.surplus_runs {
            log_surplus_run(&shared, &term, surplus);
        }
        for finding in &outcome.crashes {
            log_crash(&shared, &term, finding);
        }
        for wait in &outcome.waits {
            log_wait(&shared, &term, wait, now);
        }
        for stop in &outcome.overdue_stops {
            log_overdue_stop(&shared, &term, stop, now);
        }
        for request in outcome.advice_requests {
            task::spawn_local(request_advice(
                Rc::clone(&shared),
                Rc::clone(&term),
                request,
            ));
        }
        if term.dispatcher.borrow().has_changes_to_commit() {
            term.commit_wakeup.notify_one();
        }
    }
}

/// Returns the worker's address, with the fencing token of calls to its present incarnation.
pub(crate) fn worker_address(term: &OwnerTerm, key: WorkerKey) -> WorkerAddress {
    let dispatcher = term.dispatcher.borrow();
    let record = dispatcher.worker_record(key);
    WorkerAddress {
        id: record.id.clone(),
        address: record.address.clone(),
        token: dispatcher.worker_token(key),
        incarnation: dispatcher.incarnation(key),
    }
}

async fn send_order(shared: Rc<SharedState>, term: Rc<OwnerTerm>, order: WorkerOrder) {
    // The process may have been paused since the order was planned.
    if !shared.may_send_orders(&term) || !is_still_wanted(&term, &order) {
        report_unsent(&shared, &term, &order);
        return;
    }
    let basis = start_basis(&term, &order);
    let worker = order_worker(&order);
    let (born, token) = {
        let dispatcher = term.dispatcher.borrow();
        (
            dispatcher.incarnation(worker),
            dispatcher.worker_token(worker),
        )
    };
    let mut deadline = None;
    let reply = match &order {
        WorkerOrder::Start(start) => {
            deadline = term
                .dispatcher
                .borrow_mut()
                .grant_order_deadline(start.worker, shared.now());
            send_start(&shared, &term, start, deadline).await
        }
        WorkerOrder::Stop { worker, task, run } => {
            let address = worker_address(&term, *worker);
            let reply = shared.workers.stop(&address, *task, *run).await;
            let now = shared.now();
            term.dispatcher.borrow_mut().handle_stop_outcome(
                *worker,
                *task,
                *run,
                reply.outcome,
                now,
            );
            reply
        }
        WorkerOrder::Throttle {
            worker,
            task,
            run,
            percent,
        } => {
            let address = worker_address(&term, *worker);
            let reply = shared
                .workers
                .throttle(&address, *task, *run, *percent)
                .await;
            let now = shared.now();
            term.dispatcher.borrow_mut().handle_throttle_outcome(
                *worker,
                *task,
                *run,
                reply.outcome,
                now,
            );
            reply
        }
    };
    let outcome = reply.outcome;
    let call = OrderCall {
        basis,
        born,
        deadline,
        reply,
    };
    log_order(&shared, &term, &order, call);
    if outcome == OrderOutcome::Refused(OrderRefusal::Fenced) && term.uses_token(worker, token) {
        term.end();
    }
    if outcome != OrderOutcome::Taken || term.dispatcher.borrow().can_resume_starts() {
        term.plan_wakeup.notify_one();
    }
}

fn is_still_wanted(term: &OwnerTerm, order: &WorkerOrder) -> bool {
    match order {
        WorkerOrder::Start(start) => term.dispatcher.borrow().is_start_still_valid(start),
        WorkerOrder::Stop { .. } | WorkerOrder::Throttle { .. } => true,
    }
}

/// Reports to the dispatcher that an order was not sent.
fn report_unsent(shared: &SharedState, term: &OwnerTerm, order: &WorkerOrder) {
    let outcome = OrderOutcome::Refused(OrderRefusal::Late);
    let now = shared.now();
    let mut dispatcher = term.dispatcher.borrow_mut();
    match order {
        WorkerOrder::Start(start) => {
            dispatcher.handle_start_outcome(start.worker, start.task, start.run, outcome, now);
        }
        WorkerOrder::Stop { worker, task, run } => {
            dispatcher.handle_stop_outcome(*worker, *task, *run, outcome, now);
        }
        WorkerOrder::Throttle {
            worker, task, run, ..
        } => {
            dispatcher.handle_throttle_outcome(*worker, *task, *run, outcome, now);
        }
    }
}

async fn send_start(
    shared: &SharedState,
    term: &OwnerTerm,
    start: &StartOrder,
    deadline: Option<Duration>,
) -> OrderReply {
    let address = worker_address(term, start.worker);
    let reply = match deadline {
        Some(deadline) => shared.workers.start(&address, start, deadline).await,
        None => OrderOutcome::Refused(OrderRefusal::Unsent).into(),
    };
    let now = shared.now();
    term.dispatcher.borrow_mut().handle_start_outcome(
        start.worker,
        start.task,
        start.run,
        reply.outcome,
        now,
    );
    reply
}

fn order_worker(order: &WorkerOrder) -> WorkerKey {
    match order {
        WorkerOrder::Start(start) => start.worker,
        WorkerOrder::Stop { worker, .. } | WorkerOrder::Throttle { worker, .. } => *worker,
    }
}

async fn request_advice(shared: Rc<SharedState>, term: Rc<OwnerTerm>, request: AdviceRequest) {
    let Some(advice) = &shared.advice else {
        return;
    };
    let Some(answer) = advice.advise(request.step, &request.workers).await else {
        return;
    };
    let until = shared.now() + answer.validity;
    term.dispatcher
        .borrow_mut()
        .store_tickets(request.step, answer.tickets, until);
    term.plan_wakeup.notify_one();
}

fn start_basis(term: &OwnerTerm, order: &WorkerOrder) -> Option<StartBasis> {
    let WorkerOrder::Start(start) = order else {
        return None;
    };
    let dispatcher = term.dispatcher.borrow();
    Some(StartBasis {
        inherited: dispatcher.may_be_inherited(start.task.step),
        earlier: dispatcher.earlier_run(start.task).to_string(),
    })
}

/// What was known of an order as it was sent, and the answer.
struct OrderCall {
    basis: Option<StartBasis>,
    /// When the incarnation began that the order was meant for.
    born: Option<Duration>,
    deadline: Option<Duration>,
    reply: OrderReply,
}

fn log_order(shared: &SharedState, term: &OwnerTerm, order: &WorkerOrder, call: OrderCall) {
    let outcome = call.reply.outcome;
    let (name, worker, task, run) = match order {
        WorkerOrder::Start(start) => ("start", start.worker, start.task, start.run),
        WorkerOrder::Stop { worker, task, run } => ("stop", *worker, *task, *run),
        WorkerOrder::Throttle {
            worker, task, run, ..
        } => ("pace", *worker, *task, *run),
    };
    metrics::counter!("jasminebend_fleet_orders_total", "order" => name, "end" => outcome_label(outcome))
        .increment(1);
    if outcome == OrderOutcome::Refused(OrderRefusal::Restarted) {
        count_call_for_former_incarnation(name);
    }
    let now = shared.now();
    let dispatcher = term.dispatcher.borrow();
    let last_answer_at = dispatcher.last_answer_at(worker);
    shared.log.line(
        LogEvent::Order,
        OrderLine {
            order: name,
            task: task.to_string(),
            run: run.value(),
            worker: &dispatcher.worker_record(worker).id,
            outcome: format!("{outcome:?}"),
            owner_token: term.token(),
            worker_heard_ms: last_answer_at.map(|at| whole_millis(now.saturating_sub(at))),
            worker_born_ms: call.born.map(whole_millis),
            worker_clock_ms: call.reply.clock.map(whole_millis),
            deadline_ms: call.deadline.map(whole_millis),
            job_age_ms: dispatcher.job_age(task.job(), now).map(whole_millis),
            basis: call.basis,
        },
    );
}

fn log_unknown_end(shared: &SharedState, term: &OwnerTerm, end: &UnknownEnd) {
    let outcome = end.outcome.to_string();
    metrics::counter!("jasminebend_fleet_unknown_ends_total", "outcome" => outcome.clone())
        .increment(1);
    let dispatcher = term.dispatcher.borrow();
    shared.log.line(
        LogEvent::UnknownEnd,
        UnknownEndLine {
            task: end.ended.task.to_string(),
            run: end.ended.run.value(),
            worker: &dispatcher.worker_record(end.worker).id,
            number: end.ended.number,
            end: end.ended.result.to_string(),
            outcome,
            held_ms: whole_millis(end.held_for),
            owner_token: term.token(),
        },
    );
}

fn log_complete_takeover(shared: &SharedState, term: &OwnerTerm, now: Duration) {
    let dispatcher = term.dispatcher.borrow();
    let lapsed = dispatcher.workers_lapsed_in_takeover();
    let named = lapsed.iter().take(MAX_NAMED_WORKERS);
    shared.log.line(
        LogEvent::Owner,
        CompleteTakeoverLine {
            change: "complete",
            token: term.token(),
            took_ms: whole_millis(now.saturating_sub(term.claimed_at())),
            lapsed: lapsed.len(),
            lapsed_workers: named
                .map(|&worker| &*dispatcher.worker_record(worker).id)
                .collect(),
        },
    );
}

fn log_filler_eviction(shared: &SharedState, term: &OwnerTerm, eviction: &FillerEviction) {
    let dispatcher = term.dispatcher.borrow();
    let fillers = eviction.fillers.iter();
    shared.log.line(
        LogEvent::Order,
        FillerEvictionLine {
            order: "give_way",
            worker: &dispatcher.worker_record(eviction.worker).id,
            service: eviction.service.to_string(),
            image: eviction.image.as_deref(),
            tail_percent: eviction.tail_percent,
            expected_load: eviction.expected_load,
            moved: eviction.evicted_count,
            fillers: fillers
                .map(|(task, image, effect)| (task.to_string(), image.as_deref(), *effect))
                .collect(),
        },
    );
}

fn log_loss(shared: &SharedState, term: &OwnerTerm, loss: &RunLoss, now: Duration) {
    metrics::counter!("jasminebend_fleet_runs_lost_total", "cause" => loss.cause.to_string())
        .increment(1);
    let dispatcher = term.dispatcher.borrow();
    let since = |at: Duration| whole_millis(now.saturating_sub(at));
    let ran = loss
        .last_listed_at
        .map(|at| whole_millis(at.saturating_sub(loss.placed_at)));
    shared.log.line(
        LogEvent::Loss,
        LossLine {
            task: loss.task.to_string(),
            run: loss.run.value(),
            worker: &dispatcher.worker_record(loss.worker).id,
            cause: loss.cause.to_string(),
            placed_ms_ago: since(loss.placed_at),
            ran_ms: ran,
            unreachable_ms: loss.contact_lost_at.map(since),
            refused: loss.connection_refused,
            listed: loss.listed,
            others: loss.other_runs,
            unfenced: loss.is_unfenced,
            owner_token: term.token(),
            worker_born_ms: dispatcher.incarnation(loss.worker).map(whole_millis),
        },
    );
}

fn log_surplus_run(shared: &SharedState, term: &OwnerTerm, surplus: &SurplusRun) {
    let cause = surplus.cause.to_string();
    metrics::counter!("jasminebend_fleet_surplus_runs_total", "cause" => cause.clone())
        .increment(1);
    let dispatcher = term.dispatcher.borrow();
    let worker_id = |worker| &*dispatcher.worker_record(worker).id;
    shared.log.line(
        LogEvent::Surplus,
        SurplusLine {
            task: surplus.task.to_string(),
            run: surplus.run.value(),
            worker: worker_id(surplus.worker),
            cause,
            other_run: surplus.other.map(|(_, run)| run.value()),
            other_worker: surplus.other.map(|(worker, _)| worker_id(worker)),
            owner_token: term.token(),
        },
    );
}

fn log_crash(shared: &SharedState, term: &OwnerTerm, finding: &CrashFinding) {
    let verdict = match finding.verdict {
        CrashVerdict::Suspected => "suspected",
        CrashVerdict::Confirmed => "confirmed",
        CrashVerdict::Dismissed => "dismissed",
    };
    metrics::counter!("jasminebend_fleet_crashes_total", "verdict" => verdict).increment(1);
    if finding.gives_up {
        metrics::counter!("jasminebend_fleet_jobs_given_up_total").increment(1);
    }
    let crash = &finding.crash;
    shared.log.line(
        LogEvent::Crash,
        CrashLine {
            task: finding.task.to_string(),
            run: crash.run.value(),
            worker: &crash.worker,
            at: crash.at.as_secs_f64(),
            verdict,
            evidence: crash.evidence.to_string(),
            early: crash.early,
            alone: crash.alone,
            widespread: crash.widespread,
            crashes: finding.recorded_crashes,
            gives_up: finding.gives_up,
            owner_token: term.token(),
        },
    );
}

fn log_wait(shared: &SharedState, term: &OwnerTerm, wait: &StepWait, now: Duration) {
    let rejections = wait.rejections;
    let age = term.dispatcher.borrow().job_age(wait.step.job, now);
    shared.log.line(
        LogEvent::Wait,
        WaitLine {
            step: wait.step.to_string(),
            cause: wait.cause.to_string(),
            missing: wait.missing_tasks,
            job_age_ms: age.map(whole_millis),
            owner_token: term.token(),
            processors: rejections.processors,
            memory: rejections.memory,
            leaving: rejections.leaving,
            silent: rejections.unanswered,
            unrecorded: rejections.unrecorded,
            set_aside: rejections.quarantined,
            unfit: rejections.unsuitable,
            kept: rejections.reserved,
            busy: rejections.busy,
            shielded: rejections.shielded,
            learning: rejections.learning,
            harm: rejections.interference,
            isolated: rejections.isolated,
            other: rejections.other,
        },
    );
}

fn log_overdue_stop(shared: &SharedState, term: &OwnerTerm, stop: &OverdueStop, now: Duration) {
    shared.log.line(
        LogEvent::Overdue,
        OverdueStopLine {
            task: stop.task.to_string(),
            run: stop.run.value(),
            worker: &term.dispatcher.borrow().worker_record(stop.worker).id,
            cause: stop.delay.to_string(),
            waited_ms: whole_millis(now.saturating_sub(stop.requested_at)),
            attempts: stop.attempts,
            owner_token: term.token(),
        },
    );
}

fn outcome_label(outcome: OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Taken => "taken",
        OrderOutcome::Refused(_) => "refused",
        OrderOutcome::Unknown => "unknown",
    }
}

/// Returns the row with a job's encoded progress.
pub(crate) fn progress_row(key: jasminebend_dispatch::JobKey, value: Vec<u8>) -> StoreRow {
    StoreRow::new(StoreTable::Progress, SHARD_PART, key.to_string(), value)
}

/// Returns the row with ends of runs of a job that this owner can't read. Daemons of earlier versions ignore it.
pub(crate) fn ends_row(key: jasminebend_dispatch::JobKey, value: Vec<u8>) -> StoreRow {
    let key = format!("{key}{ENDS_SUFFIX}");
    StoreRow::new(StoreTable::Progress, SHARD_PART, key, value)
}
