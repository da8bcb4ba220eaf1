//! Renews the leases of workers and receives their reports on runs.

use std::{
    rc::Rc,
    time::Duration, //
};

use jasminebend_dispatch::{
    EndedRun,
    OrderEnd,
    OrderRefusal,
    WorkerKey, //
};
use serde::Serialize;
use tokio::time;

use crate::{
    LogEvent,
    fleet_shared::FleetShared,
    owner_seat::OwnerSeat,
    plan_work::worker_address, //
};

/// The pause after the first failed call; each further failure doubles it.
const FIRST_AGAIN: Duration = Duration::from_millis(50);
/// The longest pause between calls, within which a worker that is back is noticed.
const LONGEST_AGAIN: Duration = Duration::from_millis(500);
/// How long to wait for the commit of reported outcomes before the next call: without their acknowledgement the worker
/// would answer at once with the same outcomes.
const RECORD_WAIT: Duration = Duration::from_millis(100);

#[derive(Serialize)]
struct EndLine<'a> {
    task: String,
    run: u64,
    worker: &'a str,
    end: String,
    number: u64,
    owner_token: u64,
}

#[derive(Serialize)]
struct ContactLine<'a> {
    worker: &'a str,
    change: &'static str,
    failures: u32,
}

/// Renews a worker's lease until the term is over, or the worker is retired.
pub(crate) async fn attend_worker(shared: Rc<FleetShared>, seat: Rc<OwnerSeat>, key: WorkerKey) {
    let mut failures: u32 = 0;
    loop {
        let address = worker_address(&seat, key);
        let sent = shared.now();
        let confirmed = shared.may_order(&seat);
        let order = seat
            .dispatcher
            .borrow_mut()
            .hold_order(key, confirmed, sent);
        metrics::counter!("jasminebend_fleet_holds_total").increment(1);
        let result = shared.workers.hold(&address, order).await;
        if seat.is_over() {
            return;
        }
        match result {
            Ok(report) => {
                if failures > 1 {
                    log_contact(&shared, &address.id, "regained", failures);
                }
                failures = 0;
                log_ends(&shared, &seat, &address.id, &report.ended);
                let now = shared.now();
                seat.dispatcher
                    .borrow_mut()
                    .hold_answered(key, sent, report, now);
                seat.plan.notify_one();
                wait_for_record(&seat, key).await;
            }
            Err(OrderEnd::Refused(OrderRefusal::Fenced)) => {
                seat.depose();
                return;
            }
            Err(end) => {
                failures += 1;
                if failures == 2 {
                    log_contact(&shared, &address.id, "lost", failures);
                }
                seat.dispatcher.borrow_mut().hold_unanswered(key, end);
                if seat.dispatcher.borrow().is_retired(key) {
                    seat.attended.borrow_mut().remove(&key);
                    return;
                }
                let pause = FIRST_AGAIN * 2u32.saturating_pow(failures.min(8) - 1);
                time::sleep(pause.min(LONGEST_AGAIN)).await;
            }
        }
    }
}

async fn wait_for_record(seat: &OwnerSeat, key: WorkerKey) {
    let mut committed = seat.committed.subscribe();
    if !seat.dispatcher.borrow().owes_acknowledgement(key) {
        return;
    }
    seat.commit.notify_one();
    // After the timeout the worker is called without the acknowledgement: its lease must not lapse.
    drop(time::timeout(RECORD_WAIT, committed.changed()).await);
}

fn log_ends(shared: &FleetShared, seat: &OwnerSeat, worker: &str, ended: &[EndedRun]) {
    for end in ended {
        if seat.dispatcher.borrow().has_processed(worker, end.number) {
            continue;
        }
        metrics::counter!("jasminebend_fleet_ends_total", "end" => end.end.to_string())
            .increment(1);
        shared.log.line(
            LogEvent::End,
            EndLine {
                task: end.task.to_string(),
                run: end.run.value(),
                worker,
                end: end.end.to_string(),
                number: end.number,
                owner_token: seat.token(),
            },
        );
    }
}

fn log_contact(shared: &FleetShared, worker: &str, change: &'static str, failures: u32) {
    shared.log.line(
        LogEvent::Worker,
        ContactLine {
            worker,
            change,
            failures,
        },
    );
}
