//! Renews the leases of workers and receives their reports on runs.

use std::{
    rc::Rc,
    time::Duration, //
};

use jasminebend_dispatch::{
    EndedRun,
    OrderOutcome,
    OrderRefusal,
    WorkerKey, //
};
use serde::Serialize;
use tokio::time;

use crate::{
    LogEvent,
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

/// The end of a run, as a worker reported it.
#[derive(Serialize)]
struct RunEndLine<'a> {
    task: String,
    run: u64,
    worker: &'a str,
    end: String,
    number: u64,
    owner_token: u64,
}

/// Contact with a worker was lost or regained, after `failures` failed calls in a row.
#[derive(Serialize)]
struct ContactLine<'a> {
    worker: &'a str,
    change: &'static str,
    failures: u32,
}

/// Renews a worker's lease until the term is over, or the worker is retired.
pub(crate) async fn renew_lease(shared: Rc<SharedState>, term: Rc<OwnerTerm>, key: WorkerKey) {
    let mut failures: u32 = 0;
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
                    log_contact_change(&shared, &address.id, "regained", failures);
                }
                failures = 0;
                log_run_ends(&shared, &term, &address.id, &report.completions);
                let now = shared.now();
                term.dispatcher
                    .borrow_mut()
                    .handle_renewal_report(key, sent, report, now);
                term.plan_wakeup.notify_one();
                wait_for_commit(&term, key).await;
            }
            Err(OrderOutcome::Refused(OrderRefusal::Fenced)) => {
                term.end();
                return;
            }
            Err(outcome) => {
                failures += 1;
                if failures == 2 {
                    log_contact_change(&shared, &address.id, "lost", failures);
                }
                term.dispatcher
                    .borrow_mut()
                    .handle_renewal_failure(key, outcome, shared.now());
                if term.dispatcher.borrow().is_retired(key) {
                    term.renewed_workers.borrow_mut().remove(&key);
                    return;
                }
                let pause = FIRST_RETRY_PAUSE * 2u32.saturating_pow(failures.min(8) - 1);
                time::sleep(pause.min(LONGEST_RETRY_PAUSE)).await;
            }
        }
    }
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

fn log_run_ends(shared: &SharedState, term: &OwnerTerm, worker: &str, ended: &[EndedRun]) {
    for end in ended {
        if term
            .dispatcher
            .borrow()
            .has_processed_completion(worker, end.number)
        {
            continue;
        }
        metrics::counter!("jasminebend_fleet_ends_total", "end" => end.result.to_string())
            .increment(1);
        shared.log.line(
            LogEvent::End,
            RunEndLine {
                task: end.task.to_string(),
                run: end.run.value(),
                worker,
                end: end.result.to_string(),
                number: end.number,
                owner_token: term.token(),
            },
        );
    }
}

fn log_contact_change(shared: &SharedState, worker: &str, change: &'static str, failures: u32) {
    shared.log.line(
        LogEvent::Worker,
        ContactLine {
            worker,
            change,
            failures,
        },
    );
}
