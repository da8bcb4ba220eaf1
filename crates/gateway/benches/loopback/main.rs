//! Measures the cost of the gateway over loopback: requests per second and per core, the latency
//! added to direct calls of the endpoint in the same run, and the memory of idle callers and
//! endpoints.
//!
//! `cargo bench -p jasminebend-gateway --bench loopback -- [SECONDS]`
#![expect(
    clippy::unwrap_used,
    reason = "a benchmark that cannot continue must panic"
)]

mod endpoint_server;
mod latency_table;
mod load;
mod measured_gateway;
mod plain_forwarder;
mod process_stats;

use std::{
    net::SocketAddr,
    thread,
    time::Duration, //
};

use tokio::{
    net::TcpStream,
    runtime::{
        Builder,
        Runtime, //
    },
    time::sleep,
};

use crate::{
    endpoint_server::start_endpoints,
    latency_table::LatencyTable,
    load::{
        closed_loop,
        open_loop, //
    },
    measured_gateway::start_gateway,
    plain_forwarder::start_forwarder,
    process_stats::{
        cpu_seconds,
        resident_kib, //
    },
};

const GATEWAY_THREADS: usize = 2;
const ENDPOINT_COUNT: usize = 8;
const CALLER_COUNT: usize = 64;
/// The connections of idle callers. Both ends of each are in this process, which may open 20,000
/// files.
const IDLE_CALLER_COUNT: usize = 9_500;
/// How often direct and forwarded requests alternate.
const ROUND_COUNT: usize = 3;

fn build_runtime(name: &str, threads: usize) -> Runtime {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .unwrap()
}

fn main() {
    let mut seconds = std::env::args().filter_map(|argument| argument.parse().ok());
    let duration = Duration::from_secs(seconds.next_back().unwrap_or(5));
    let (endpoint_runtime, gateway_runtime, load) = (
        build_runtime("endpoint", 2),
        build_runtime("gateway", GATEWAY_THREADS),
        build_runtime("load", 3),
    );
    let endpoints = endpoint_runtime.block_on(start_endpoints(ENDPOINT_COUNT));
    let gateway = gateway_runtime.block_on(start_gateway(&endpoints, 8, Duration::from_secs(1)));
    load.block_on(closed_loop(
        &[gateway],
        CALLER_COUNT,
        Duration::from_secs(1),
    ));

    let capacity = measure_capacity(&load, gateway, &endpoints, duration);
    for rate in [capacity / 2.0, 10_000.0] {
        measure_latency(gateway, &endpoints, rate, duration);
    }
    let forwarder_runtime = build_runtime("plain", GATEWAY_THREADS);
    let forwarder = forwarder_runtime.block_on(start_forwarder(endpoints.clone()));
    measure_forwarder(&load, forwarder, duration);
    for rate in [capacity / 2.0, 10_000.0] {
        measure_latency(forwarder, &endpoints, rate, duration);
    }
    forwarder_runtime.shutdown_background();
    measure_idle_callers(&load, gateway);
    for endpoints in [65, 1_000, 8_900] {
        measure_idle_endpoints(endpoints, duration);
    }
    gateway_runtime.shutdown_background();
}

fn measure_capacity(
    load: &Runtime,
    gateway: SocketAddr,
    endpoints: &[SocketAddr],
    duration: Duration,
) -> f64 {
    let direct = load.block_on(closed_loop(endpoints, CALLER_COUNT, duration));
    let before = cpu_seconds("gateway");
    let through = load.block_on(closed_loop(&[gateway], CALLER_COUNT, duration));
    let cpu = cpu_seconds("gateway") - before;
    let rate = |table: &LatencyTable| table.len() as f64 / duration.as_secs_f64();
    let cores = cpu / duration.as_secs_f64();
    println!(
        "closed loop, {CALLER_COUNT} callers, {GATEWAY_THREADS} gateway threads, {duration:?}:"
    );
    println!("  direct            {:>9.0} requests/s", rate(&direct));
    println!("  through gateway   {:>9.0} requests/s", rate(&through));
    println!("  gateway           {cores:>9.2} cores busy");
    println!(
        "  per busy core     {:>9.0} requests/s",
        through.len() as f64 / cpu
    );
    println!(
        "  per request       {:>9.1} us of processor time",
        cpu * 1e6 / through.len() as f64
    );
    println!("  failed            {:>9}", through.failed());
    rate(&through)
}

fn measure_latency(gateway: SocketAddr, endpoints: &[SocketAddr], rate: f64, duration: Duration) {
    let (mut direct, mut through) = (LatencyTable::default(), LatencyTable::default());
    // Alternates, so that other load on the machine affects both alike.
    for _ in 0..ROUND_COUNT {
        let part = duration / 2;
        direct.extend(open_loop(endpoints, CALLER_COUNT, rate, part));
        through.extend(open_loop(&[gateway], CALLER_COUNT, rate, part));
    }
    println!("open loop at {rate:.0} requests/s, {ROUND_COUNT} rounds in turns:");
    println!(
        "  {:<17} {:>9} {:>9} {:>9}",
        "", "p50 us", "p99 us", "p99.9 us"
    );
    let rows = [("direct", &mut direct), ("through it", &mut through)];
    let [direct_row, gateway_row] = rows.map(|(name, table)| {
        let row = table.percentiles_micros();
        println!(
            "  {name:<17} {:>9.0} {:>9.0} {:>9.0}",
            row[0], row[1], row[2]
        );
        row
    });
    println!(
        "  {:<17} {:>9.0} {:>9.0} {:>9.0}",
        "added",
        gateway_row[0] - direct_row[0],
        gateway_row[1] - direct_row[1],
        gateway_row[2] - direct_row[2]
    );
    println!("  {} sent, {} failed", through.len(), through.failed());
}

fn measure_forwarder(load: &Runtime, forwarder: SocketAddr, duration: Duration) {
    let before = cpu_seconds("plain");
    let through = load.block_on(closed_loop(&[forwarder], CALLER_COUNT, duration));
    let cpu = cpu_seconds("plain") - before;
    println!("a plain forwarder over hyper, without any of the gateway's work:");
    println!(
        "  {:.0} requests/s",
        through.len() as f64 / duration.as_secs_f64()
    );
    println!(
        "  {:.1} us of processor time a request",
        cpu * 1e6 / through.len() as f64
    );
}

/// Measures the cost of tracking this many endpoints while no requests arrive.
fn measure_idle_endpoints(endpoints: u16, duration: Duration) {
    let name = format!("upkeep-{endpoints}");
    let gateway_runtime = build_runtime(&name, 1);
    let addresses: Vec<_> = (0..endpoints)
        .map(|endpoint| SocketAddr::from(([10, 0, 0, 1], 1000 + endpoint)))
        .collect();
    let before = resident_kib();
    gateway_runtime.block_on(start_gateway(&addresses, 8, Duration::from_secs(1)));
    thread::sleep(Duration::from_millis(500));
    let growth_kib = resident_kib().saturating_sub(before);
    let before = cpu_seconds(&name);
    thread::sleep(duration);
    let cpu = cpu_seconds(&name) - before;
    let share = cpu / duration.as_secs_f64() * 100.0;
    println!(
        "{endpoints} endpoints of 8 slots, no requests: {share:.2}% of a core, {growth_kib} KiB"
    );
    gateway_runtime.shutdown_background();
}

fn measure_idle_callers(load: &Runtime, gateway: SocketAddr) {
    let before = resident_kib();
    let streams = load.block_on(async {
        let mut streams = Vec::with_capacity(IDLE_CALLER_COUNT);
        for _ in 0..IDLE_CALLER_COUNT {
            streams.push(TcpStream::connect(gateway).await.unwrap());
        }
        sleep(Duration::from_secs(1)).await;
        streams
    });
    let growth_kib = resident_kib().saturating_sub(before);
    println!("{} idle callers, both ends in this process:", streams.len());
    println!("  {:.1} KiB each", growth_kib as f64 / streams.len() as f64);
    let before = resident_kib();
    load.block_on(load::send_one_each(streams));
    let growth_kib = resident_kib().saturating_sub(before);
    println!(
        "  {:.1} KiB more each after one request",
        growth_kib as f64 / IDLE_CALLER_COUNT as f64
    );
}
