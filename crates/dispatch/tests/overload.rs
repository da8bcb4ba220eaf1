//! Orders of an owner whose VM is overloaded. Guards against a lasting overload: a successor with a
//! backlog of hundreds of starts sent them all at once, processed the answers too late, took them
//! for lost, and then was kept busy by stops although every worker was healthy.

mod common;

use std::time::Duration;

use common::{
    Fleet,
    graph,
    ms,
    step, //
};
use jasminebend_dispatch::{
    OrderOutcome,
    StartOrder,
    WorkerOrder, //
};

fn start_orders(orders: Vec<WorkerOrder>) -> Vec<StartOrder> {
    let starts = orders.into_iter().filter_map(|order| match order {
        WorkerOrder::Start(start) => Some(start),
        _ => None,
    });
    starts.collect()
}

/// Reports the same outcome for all starts.
fn answer_starts(fleet: &mut Fleet, orders: &[StartOrder], end: OrderOutcome) {
    let now = fleet.now;
    for start in orders {
        fleet.owner().dispatcher.handle_start_outcome(
            start.worker,
            start.task,
            start.run,
            end,
            now,
        );
    }
}

/// Reports a timer lag, plans, and returns the start orders.
fn plan_starts(fleet: &mut Fleet, lag: Duration) -> Vec<StartOrder> {
    let now = fleet.now;
    let dispatcher = &mut fleet.owner().dispatcher;
    dispatcher.report_timer_lag(lag, now);
    start_orders(dispatcher.plan(now).orders)
}

/// Returns a fleet of 400 cores whose workers have answered, with a backlog of 400 tasks.
fn fleet_with_backlog() -> Fleet {
    let mut fleet = Fleet::new(100, 1);
    fleet.run_for(ms(100));
    for number in 0..20 {
        fleet.submit(number + 1, graph(vec![step(20, &[])]));
    }
    fleet
}

#[test]
fn backlog_is_sent_in_batches_as_answers_arrive() {
    let mut fleet = fleet_with_backlog();
    let first = plan_starts(&mut fleet, Duration::ZERO);
    assert!(first.len() < 100, "{}", first.len());
    assert_eq!(
        plan_starts(&mut fleet, Duration::ZERO).len(),
        1,
        "a larger window"
    );
    assert!(!fleet.owner().dispatcher.can_resume_starts());
    answer_starts(&mut fleet, &first, OrderOutcome::Taken);
    assert!(fleet.owner().dispatcher.can_resume_starts());
    assert!(plan_starts(&mut fleet, Duration::ZERO).len() >= first.len());
}

#[test]
fn timer_lag_shrinks_the_order_window_and_punctual_timers_grow_it() {
    let mut fleet = fleet_with_backlog();
    for _ in 0..10 {
        fleet.now += ms(200);
        let now = fleet.now;
        fleet.owner().dispatcher.report_timer_lag(ms(300), now);
    }
    let small = plan_starts(&mut fleet, ms(300));
    assert_eq!(small.len(), 8);
    answer_starts(&mut fleet, &small, OrderOutcome::Taken);
    for _ in 0..40 {
        let now = fleet.now;
        fleet
            .owner()
            .dispatcher
            .report_timer_lag(Duration::ZERO, now);
    }
    assert!(plan_starts(&mut fleet, Duration::ZERO).len() > 40);
}

/// Guards against slowing down because answers are lost: the owner's own timers fire in time, so it
/// is not overloaded.
#[test]
fn lost_answers_do_not_shrink_the_order_window() {
    let mut fleet = fleet_with_backlog();
    let first = plan_starts(&mut fleet, Duration::ZERO);
    answer_starts(&mut fleet, &first, OrderOutcome::Unknown);
    // Each unanswered start is followed by a stop, and the stops use the same window.
    let now = fleet.now;
    let orders = fleet.owner().dispatcher.plan(now).orders;
    assert_eq!(orders.len(), first.len());
}

/// Guards against repeating stops to a worker that does not answer. Each stop is sent once, and
/// again only when the worker answers.
#[test]
fn stops_are_not_repeated_to_a_silent_worker() {
    let mut fleet = Fleet::new(1, 1).with_work(|_| jasminebend_standins::TaskWork {
        run_time: ms(60_000),
        fails: false,
        size: jasminebend_base::ResourceAmount::new(1000, 100),
    });
    let job = fleet.submit(1, graph(vec![step(4, &[])]));
    fleet.run_for(ms(300));
    fleet.unreachable_until[0] = fleet.now + ms(3000);
    fleet.run_for(ms(800));
    fleet.cancel(job);
    let mut sent = 0;
    for _ in 0..20 {
        let now = fleet.now;
        let orders = fleet.owner().dispatcher.plan(now).orders;
        for order in &orders {
            if let WorkerOrder::Stop { worker, task, run } = *order {
                sent += 1;
                let end = OrderOutcome::Unknown;
                fleet
                    .owner()
                    .dispatcher
                    .handle_stop_outcome(worker, task, run, end, now);
            }
        }
        fleet.now += ms(400);
    }
    assert_eq!(sent, 4);
}
