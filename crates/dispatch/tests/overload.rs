//! An owner on a small VM that has more to send than its share of a processor carries. A successor with a backlog of
//! hundreds of starts once sent them all at once, heard the answers too late, took them for lost, and was kept busy
//! by stops for ever, though every worker was well.

mod common;

use std::time::Duration;

use common::{
    Fleet,
    graph,
    ms,
    step, //
};
use jasminebend_dispatch::{
    OrderEnd,
    StartOrder,
    WorkerOrder, //
};

fn starts(orders: Vec<WorkerOrder>) -> Vec<StartOrder> {
    let starts = orders.into_iter().filter_map(|order| match order {
        WorkerOrder::Start(start) => Some(start),
        _ => None,
    });
    starts.collect()
}

fn answer(fleet: &mut Fleet, orders: &[StartOrder], end: OrderEnd) {
    let now = fleet.now;
    for start in orders {
        fleet
            .owner()
            .dispatcher
            .start_ended(start.worker, start.task, start.run, end, now);
    }
}

fn plan(fleet: &mut Fleet, lag: Duration) -> Vec<StartOrder> {
    let now = fleet.now;
    let dispatcher = &mut fleet.owner().dispatcher;
    dispatcher.note_lag(lag, now);
    starts(dispatcher.plan(now).orders)
}

/// A fleet of 400 cores whose workers were heard, and a backlog of 400 tasks.
fn pressed() -> Fleet {
    let mut fleet = Fleet::new(100, 1);
    fleet.run_for(ms(100));
    for number in 0..20 {
        fleet.submit(number + 1, graph(vec![step(20, &[])]));
    }
    fleet
}

#[test]
fn a_backlog_goes_out_in_portions_and_the_next_when_answers_come() {
    let mut fleet = pressed();
    let first = plan(&mut fleet, Duration::ZERO);
    assert!(first.len() < 100, "{}", first.len());
    assert_eq!(plan(&mut fleet, Duration::ZERO).len(), 1, "a larger window");
    assert!(!fleet.owner().dispatcher.holds_back());
    answer(&mut fleet, &first, OrderEnd::Taken);
    assert!(fleet.owner().dispatcher.holds_back());
    assert!(plan(&mut fleet, Duration::ZERO).len() >= first.len());
}

#[test]
fn late_timers_shrink_the_portions_and_timers_in_time_let_them_grow() {
    let mut fleet = pressed();
    for _ in 0..10 {
        fleet.now += ms(200);
        let now = fleet.now;
        fleet.owner().dispatcher.note_lag(ms(300), now);
    }
    let small = plan(&mut fleet, ms(300));
    assert_eq!(small.len(), 8);
    answer(&mut fleet, &small, OrderEnd::Taken);
    for _ in 0..40 {
        let now = fleet.now;
        fleet.owner().dispatcher.note_lag(Duration::ZERO, now);
    }
    assert!(plan(&mut fleet, Duration::ZERO).len() > 40);
}

/// Half of all orders get no answer for seconds, but the owner's own timers are in time: it goes on at full pace.
#[test]
fn answers_that_workers_lose_do_not_shrink_the_portions() {
    let mut fleet = pressed();
    let first = plan(&mut fleet, Duration::ZERO);
    answer(&mut fleet, &first, OrderEnd::Unknown);
    // Stops settle the lost starts, and take as much of the window.
    let now = fleet.now;
    let orders = fleet.owner().dispatcher.plan(now).orders;
    assert_eq!(orders.len(), first.len());
}

/// A worker falls silent with hundreds of runs to be stopped. Each is ordered once, and again when it is heard.
#[test]
fn a_silent_worker_is_not_told_again_and_again() {
    let mut fleet = Fleet::new(1, 1).with_work(|_| jasminebend_standins::TaskWork {
        lasts: ms(60_000),
        fails: false,
        size: jasminebend_base::ResourceAmount::new(1000, 100),
    });
    let job = fleet.submit(1, graph(vec![step(4, &[])]));
    fleet.run_for(ms(300));
    fleet.cut_until[0] = fleet.now + ms(3000);
    fleet.run_for(ms(800));
    fleet.cancel(job);
    let mut sent = 0;
    for _ in 0..20 {
        let now = fleet.now;
        let orders = fleet.owner().dispatcher.plan(now).orders;
        for order in &orders {
            if let WorkerOrder::Stop { worker, task, run } = *order {
                sent += 1;
                let end = OrderEnd::Unknown;
                fleet
                    .owner()
                    .dispatcher
                    .stop_ended(worker, task, run, end, now);
            }
        }
        fleet.now += ms(400);
    }
    assert_eq!(sent, 4);
}
