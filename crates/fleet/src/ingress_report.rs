//! Reports what the clients of a daemon hold, and what was refused, in the log and the metrics.

use std::{
    rc::Rc,
    time::Duration, //
};

use jasminebend_ingress::{
    ConnectionTable,
    RefusalCounts, //
};
use serde::Serialize;
use tokio::time;

use crate::{
    FleetLog,
    JobApi,
    LogEvent,
    call_limit::CallLimit, //
};

/// The interval between two reports, and so between two log lines of a listener.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The listeners of a daemon, by the names under which they are reported.
pub(crate) type NamedTables = [(&'static str, ConnectionTable); 4];

/// What was refused or closed at a listener since the last line.
#[derive(Serialize)]
struct RefusalLine {
    listener: &'static str,
    connections: usize,
    connection_limit: usize,
    request_bytes: usize,
    request_bytes_limit: usize,
    closed_for_connections: u64,
    closed_for_memory: u64,
    refused_connections: u64,
    refused_requests: u64,
}

/// How many callers' requests had to wait for others to call the store or other daemons, since the last line.
#[derive(Serialize)]
struct WaitLine {
    calls: &'static str,
    call_limit: usize,
    waited: u64,
}

/// Reports the listeners, and the calls that callers' requests make, at intervals.
pub(crate) async fn report_ingress(tables: NamedTables, job_api: Rc<JobApi>, log: FleetLog) {
    loop {
        time::sleep(REPORT_INTERVAL).await;
        for (listener, table) in &tables {
            report_listener(listener, table, &log);
        }
        for (calls, limit) in job_api.call_limits() {
            report_calls(calls, limit, &log);
        }
    }
}

fn report_calls(calls: &'static str, limit: &CallLimit, log: &FleetLog) {
    // CAST: Exact up to 2^53.
    metrics::gauge!("jasminebend_fleet_caller_calls", "calls" => calls)
        .set(limit.in_progress() as f64);
    let waited = limit.take_waited();
    if waited == 0 {
        return;
    }
    metrics::counter!("jasminebend_fleet_caller_call_waits_total", "calls" => calls)
        .increment(waited);
    log.line(
        LogEvent::Limit,
        WaitLine {
            calls,
            call_limit: limit.limit(),
            waited,
        },
    );
}

fn report_listener(listener: &'static str, table: &ConnectionTable, log: &FleetLog) {
    let (connections, bytes) = (table.connection_count(), table.held_bytes());
    // CAST: Exact up to 2^53.
    metrics::gauge!("jasminebend_fleet_connections", "listener" => listener)
        .set(connections as f64);
    // CAST: As above.
    metrics::gauge!("jasminebend_fleet_request_bytes", "listener" => listener).set(bytes as f64);
    let refusals = table.take_refusals();
    if refusals.is_empty() {
        return;
    }
    count_refusals(listener, refusals);
    let limits = table.limits();
    log.line(
        LogEvent::Limit,
        RefusalLine {
            listener,
            connections,
            connection_limit: limits.connections,
            request_bytes: bytes,
            request_bytes_limit: limits.request_bytes,
            closed_for_connections: refusals.closed_for_connections,
            closed_for_memory: refusals.closed_for_memory,
            refused_connections: refusals.refused_connections,
            refused_requests: refusals.refused_requests,
        },
    );
}

fn count_refusals(listener: &'static str, refusals: RefusalCounts) {
    for (reason, count) in refusals.by_reason() {
        metrics::counter!("jasminebend_fleet_ingress_refusals_total", "listener" => listener, "reason" => reason)
            .increment(count);
    }
}
