//! Renews the leases of workers and receives their reports on runs.

use std::{
    rc::Rc,
    time::Duration, //
};

use jasminebend_dispatch::{
    LeaseRenewal,
    OrderOutcome,
    OrderRefusal,
    RenewalReport,
    WorkerKey, //
};
use serde::Serialize;
use tokio::time;

use crate::{
    LogEvent,
    fleet_log::whole_millis,
    order_planning::worker_address,
    owner_term::OwnerTerm,
    shared_state::SharedState, //
};

/// The pause after the first failed call; each further failure doubles it.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause between calls, within which a worker that is back is noticed.
const LONGEST_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// How long to wait for the commit of reported completions before the next call: without their acknowledgement the
/// worker would answer at once with the same completions.
const COMMIT_WAIT: Duration = Duration::from_millis(100);

/// The age up to which an incarnation of a worker that this owner reaches for the first time is logged.
const YOUNG_INCARNATION_AGE: Duration = Duration::from_secs(30);

/// The outcome of a call that was not sent, as another incarnation listens.
const RESTARTED: OrderOutcome = OrderOutcome::Refused(OrderRefusal::Restarted);

/// The end of a run, as a worker reported it. `held` tells whether the run still counted as present there.
#[derive(Serialize)]
struct RunEndLine<'a> {
    task: String,
    run: u64,
    worker: &'a str,
    end: String,
    number: u64,
    owner_token: u64,
    /// When the incarnation began that listed the end, since 1970.
    worker_born_ms: Option<u64>,
    held: bool,
}

/// Contact with a worker was lost or regained, after `failures` failed calls in a row. The first of them, which may yet be
/// carried out, carried the `deadline_ms` and `acknowledged`, both meant for the incarnation that began at `born_ms`.
#[derive(Serialize)]
struct ContactLine<'a> {
    worker: &'a str,
    change: &'static str,
    failures: u32,
    born_ms: Option<u64>,
    deadline_ms: Option<u64>,
    acknowledged: u64,
}

/// A worker answered as another incarnation than the owner took it for, or, if `former_born_ms` is missing, for the first time as
/// one that began a short time ago. The other fields tell what the answered call carried, meant for the former incarnation, and
/// what the new one lists.
#[derive(Serialize)]
struct IncarnationLine<'a> {
    worker: &'a str,
    change: &'static str,
    born_ms: Option<u64>,
    former_born_ms: Option<u64>,
    listed_born_ms: Option<u64>,
    clock_ms: u64,
    deadline_ms: Option<u64>,
    acknowledged: u64,
    running: usize,
    ends: usize,
    first_end: Option<u64>,
    owner_token: u64,
    /// The token that the answered call carried.
    worker_token: u64,
}

/// Renews a worker's lease until the term is over, or the worker is retired.
pub(crate) async fn renew_lease(shared: Rc<SharedState>, term: Rc<OwnerTerm>, key: WorkerKey) {
    let mut failures: u32 = 0;
    let mut was_restarted = false;
    let mut first_failed = None;
    loop {
        let address = worker_address(&term, key);
        let sent = shared.now();
        let confirmed = shared.may_send_orders(&term);
        let order = term
            .dispatcher
            .borrow_mut()
            .next_renewal(key, confirmed, sent);
        metrics::counter!("jasminebend_fleet_holds_total").increment(1);
        let result = shared.workers.renew_lease(&address, order).await;
        if term.is_over() {
            return;
        }
        match result {
            Ok(report) => {
                if failures > 1 {
                    log_contact_change(&shared, &term, key, "regained", failures, first_failed);
                }
                failures = 0;
                first_failed = None;
                was_restarted &= order.is_read_only();
                log_new_incarnation(&shared, &term, key, &order, &report);
                log_run_ends(&shared, &term, &address.id, &report);
                let now = shared.now();
                term.dispatcher
                    .borrow_mut()
                    .handle_renewal_report(key, sent, report, now);
                term.plan_wakeup.notify_one();
                wait_for_commit(&term, key).await;
            }
            Err(OrderOutcome::Refused(OrderRefusal::Fenced))
                if term.uses_token(key, address.token) =>
            {
                term.end();
                return;
            }
            Err(outcome) => {
                failures += 1;
                first_failed.get_or_insert(order);
                if failures == 2 {
                    log_contact_change(&shared, &term, key, "lost", failures, first_failed);
                }
                term.dispatcher
                    .borrow_mut()
                    .handle_renewal_failure(key, outcome, shared.now());
                if term.dispatcher.borrow().is_retired(key) {
                    term.renewed_workers.borrow_mut().remove(&key);
                    return;
                }
                if outcome == RESTARTED {
                    count_call_for_former_incarnation("renewal");
                }
                // The next renewal tells of the new incarnation, unless its answers don't tell which it is.
                if outcome == RESTARTED && !was_restarted {
                    was_restarted = true;
                    continue;
                }
                let pause = FIRST_RETRY_PAUSE * 2u32.saturating_pow(failures.min(8) - 1);
                time::sleep(pause.min(LONGEST_RETRY_PAUSE)).await;
            }
        }
    }
}

/// Counts a call that was not sent, as another incarnation listens.
pub(crate) fn count_call_for_former_incarnation(call: &'static str) {
    metrics::counter!("jasminebend_fleet_calls_for_former_incarnations_total", "call" => call)
        .increment(1);
}

async fn wait_for_commit(term: &OwnerTerm, key: WorkerKey) {
    let mut committed = term.committed.subscribe();
    if !term.dispatcher.borrow().has_pending_acknowledgements(key) {
        return;
    }
    term.commit_wakeup.notify_one();
    // After the timeout the worker is called without the acknowledgement: its lease must not lapse.
    drop(time::timeout(COMMIT_WAIT, committed.changed()).await);
}

fn log_run_ends(shared: &SharedState, term: &OwnerTerm, worker: &str, report: &RenewalReport) {
    for end in &report.completions {
        if term
            .dispatcher
            .borrow()
            .has_processed_completion(worker, report.incarnation, end.number)
        {
            continue;
        }
        let held = term
            .dispatcher
            .borrow()
            .holds_run(worker, end.task, end.run);
        metrics::counter!("jasminebend_fleet_ends_total", "end" => end.result.to_string())
            .increment(1);
        if !held {
            metrics::counter!("jasminebend_fleet_ends_of_runs_not_held_total", "end" => end.result.to_string())
                .increment(1);
        }
        shared.log.line(
            LogEvent::End,
            RunEndLine {
                task: end.task.to_string(),
                run: end.run.value(),
                worker,
                end: end.result.to_string(),
                number: end.number,
                owner_token: term.token(),
                worker_born_ms: report.incarnation.map(whole_millis),
                held,
            },
        );
    }
}

/// Logs the first answer of a worker's incarnation if the worker has restarted, as far as this owner knows, or did so lately.
fn log_new_incarnation(
    shared: &SharedState,
    term: &OwnerTerm,
    key: WorkerKey,
    order: &LeaseRenewal,
    report: &RenewalReport,
) {
    let dispatcher = term.dispatcher.borrow();
    let former = dispatcher.incarnation(key);
    let is_first_answer =
        dispatcher.former_token().is_some() && dispatcher.last_answer_at(key).is_none();
    let is_restarted = former.is_some() && former != report.incarnation;
    let age = report
        .incarnation
        .map(|born| shared.wall().saturating_sub(born));
    let is_young = is_first_answer && age.is_some_and(|age| age < YOUNG_INCARNATION_AGE);
    if !is_restarted && !is_young {
        return;
    }
    if is_restarted {
        metrics::counter!("jasminebend_fleet_worker_restarts_total").increment(1);
    }
    let record = dispatcher.worker_record(key);
    shared.log.line(
        LogEvent::Worker,
        IncarnationLine {
            worker: &record.id,
            change: if is_restarted { "restarted" } else { "young" },
            born_ms: report.incarnation.map(whole_millis),
            former_born_ms: former.map(whole_millis),
            listed_born_ms: record.incarnation.map(whole_millis),
            clock_ms: whole_millis(report.clock),
            deadline_ms: order.deadline.map(whole_millis),
            acknowledged: order.acknowledged,
            running: report.running.len(),
            ends: report.completions.len(),
            first_end: report.completions.first().map(|end| end.number),
            owner_token: term.token(),
            worker_token: dispatcher.worker_token(key),
        },
    );
}

fn log_contact_change(
    shared: &SharedState,
    term: &OwnerTerm,
    key: WorkerKey,
    change: &'static str,
    failures: u32,
    first_failed: Option<LeaseRenewal>,
) {
    let dispatcher = term.dispatcher.borrow();
    let deadline = first_failed.and_then(|call| call.deadline);
    shared.log.line(
        LogEvent::Worker,
        ContactLine {
            worker: &dispatcher.worker_record(key).id,
            change,
            failures,
            born_ms: dispatcher.incarnation(key).map(whole_millis),
            deadline_ms: deadline.map(whole_millis),
            acknowledged: first_failed.map_or(0, |call| call.acknowledged),
        },
    );
}
