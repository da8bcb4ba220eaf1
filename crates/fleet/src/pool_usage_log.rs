//! Reports the usage of the pools in the log and the metrics.

use std::{
    rc::Rc,
    time::Duration, //
};

use jasminebend_dispatch::{
    CpuUsage,
    PoolUsage, //
};
use serde::Serialize;
use tokio::time;

use crate::{
    LogEvent,
    owner_term::OwnerTerm,
    shared_state::SharedState, //
};

/// The interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(1000);

/// The CPU amounts of a pool that each kind of work holds and waits for, in millicores.
#[derive(Serialize)]
struct PoolUsageLine<'a> {
    pool: &'a str,
    workers: usize,
    capacity: u64,
    long_running: u64,
    long_running_wanted: u64,
    short: u64,
    short_wanted: u64,
    filler: u64,
    filler_wanted: u64,
    owner_token: u64,
}

/// Reports the usage of the pools at intervals, until the term is over.
pub(crate) async fn report_pool_usage(shared: Rc<SharedState>, term: Rc<OwnerTerm>) {
    loop {
        time::sleep(REPORT_INTERVAL).await;
        let pools = term.dispatcher.borrow().pool_usage(shared.now());
        for pool in &pools {
            report_pool(&shared, &term, pool);
        }
        report_orders(&term);
    }
}

fn report_orders(term: &OwnerTerm) {
    let dispatcher = term.dispatcher.borrow();
    let (in_flight, limit) = dispatcher.order_usage();
    // CAST: Exact up to 2^53.
    metrics::gauge!("jasminebend_fleet_orders_in_flight").set(in_flight as f64);
    // CAST: As above.
    metrics::gauge!("jasminebend_fleet_order_limit").set(limit as f64);
    // CAST: As above.
    metrics::gauge!("jasminebend_fleet_stops_pending").set(dispatcher.pending_stop_count() as f64);
}

fn report_pool(shared: &SharedState, term: &OwnerTerm, pool: &PoolUsage) {
    set_gauges(pool, "long_running", pool.long_running);
    set_gauges(pool, "short", pool.short);
    set_gauges(pool, "filler", pool.filler);
    shared.log.line(
        LogEvent::Pool,
        PoolUsageLine {
            pool: &pool.pool,
            workers: pool.workers,
            capacity: pool.capacity,
            long_running: pool.long_running.held,
            long_running_wanted: pool.long_running.waiting,
            short: pool.short.held,
            short_wanted: pool.short.waiting,
            filler: pool.filler.held,
            filler_wanted: pool.filler.waiting,
            owner_token: term.token(),
        },
    );
}

fn set_gauges(pool: &PoolUsage, kind: &'static str, share: CpuUsage) {
    let name = pool.pool.to_string();
    // CAST: Exact up to 2^53 millicores.
    metrics::gauge!("jasminebend_fleet_pool_held_millis", "pool" => name.clone(), "kind" => kind)
        .set(share.held as f64);
    // CAST: As above.
    metrics::gauge!("jasminebend_fleet_pool_wanted_millis", "pool" => name, "kind" => kind)
        .set(share.waiting as f64);
}
