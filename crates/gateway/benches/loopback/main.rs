//! What the gateway costs over loopback: requests a second and per core, the latency that it adds
//! to calling the endpoint directly in the same run, and the memory of idle callers.
//!
//! `cargo bench -p jasminebend-gateway --bench loopback -- [SECONDS]`
#![expect(clippy::unwrap_used, reason = "a measurement that cannot go on ends")]

mod endpoint_server;
mod latency_table;
mod load;
mod measured_gateway;
mod plain_forwarder;
mod process_view;

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
    measured_gateway::start_gateway_with,
    plain_forwarder::start_plain,
    process_view::{
        cpu_seconds,
        resident_kib, //
    },
};

const GATEWAY_THREADS: usize = 2;
const ENDPOINTS: usize = 8;
const CALLERS: usize = 64;
/// Both ends of each are in this process, which may open 20,000 files here.
const IDLE_CALLERS: usize = 9_500;
const ROUNDS: usize = 3;

fn runtime(name: &str, threads: usize) -> Runtime {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .unwrap()
}

fn main() {
    let mut seconds = std::env::args().filter_map(|argument| argument.parse().ok());
    let span = Duration::from_secs(seconds.next_back().unwrap_or(5));
    let (server, own, load) = (
        runtime("endpoint", 2),
        runtime("gateway", GATEWAY_THREADS),
        runtime("load", 3),
    );
    let endpoints = server.block_on(start_endpoints(ENDPOINTS));
    let gateway = own.block_on(start_gateway_with(&endpoints, 8, Duration::from_secs(1)));
    load.block_on(closed_loop(&[gateway], CALLERS, Duration::from_secs(1)));

    let capacity = measure_capacity(&load, gateway, &endpoints, span);
    for rate in [capacity / 2.0, 10_000.0] {
        measure_latency(gateway, &endpoints, rate, span);
    }
    let bare = runtime("plain", GATEWAY_THREADS);
    let plain = bare.block_on(start_plain(endpoints.clone()));
    measure_plain(&load, plain, span);
    for rate in [capacity / 2.0, 10_000.0] {
        measure_latency(plain, &endpoints, rate, span);
    }
    bare.shutdown_background();
    measure_idle(&load, gateway);
    for endpoints in [65, 1_000, 8_900] {
        measure_upkeep(endpoints, span);
    }
    own.shutdown_background();
}

fn measure_capacity(
    load: &Runtime,
    gateway: SocketAddr,
    endpoints: &[SocketAddr],
    span: Duration,
) -> f64 {
    let direct = load.block_on(closed_loop(endpoints, CALLERS, span));
    let before = cpu_seconds("gateway");
    let through = load.block_on(closed_loop(&[gateway], CALLERS, span));
    let cpu = cpu_seconds("gateway") - before;
    let rate = |table: &LatencyTable| table.len() as f64 / span.as_secs_f64();
    let cores = cpu / span.as_secs_f64();
    println!("closed loop, {CALLERS} callers, {GATEWAY_THREADS} gateway threads, {span:?}:");
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

fn measure_latency(gateway: SocketAddr, endpoints: &[SocketAddr], rate: f64, span: Duration) {
    let (mut direct, mut through) = (LatencyTable::default(), LatencyTable::default());
    // In turns, so that what else the machine does meets both alike.
    for _ in 0..ROUNDS {
        let part = span / 2;
        direct.extend(open_loop(endpoints, CALLERS, rate, part));
        through.extend(open_loop(&[gateway], CALLERS, rate, part));
    }
    println!("open loop at {rate:.0} requests/s, {ROUNDS} rounds in turns:");
    println!(
        "  {:<17} {:>9} {:>9} {:>9}",
        "", "p50 us", "p99 us", "p99.9 us"
    );
    let rows = [("direct", &mut direct), ("through it", &mut through)];
    let [own, via] = rows.map(|(name, table)| {
        let row = table.row();
        println!(
            "  {name:<17} {:>9.0} {:>9.0} {:>9.0}",
            row[0], row[1], row[2]
        );
        row
    });
    println!(
        "  {:<17} {:>9.0} {:>9.0} {:>9.0}",
        "added",
        via[0] - own[0],
        via[1] - own[1],
        via[2] - own[2]
    );
    println!("  {} sent, {} failed", through.len(), through.failed());
}

fn measure_plain(load: &Runtime, plain: SocketAddr, span: Duration) {
    let before = cpu_seconds("plain");
    let through = load.block_on(closed_loop(&[plain], CALLERS, span));
    let cpu = cpu_seconds("plain") - before;
    println!("a plain forwarder over hyper, without any of the gateway's work:");
    println!(
        "  {:.0} requests/s",
        through.len() as f64 / span.as_secs_f64()
    );
    println!(
        "  {:.1} us of processor time a request",
        cpu * 1e6 / through.len() as f64
    );
}

/// What following so many endpoints costs when no request comes.
fn measure_upkeep(endpoints: u16, span: Duration) {
    let name = format!("upkeep-{endpoints}");
    let own = runtime(&name, 1);
    let listed: Vec<_> = (0..endpoints)
        .map(|endpoint| SocketAddr::from(([10, 0, 0, 1], 1000 + endpoint)))
        .collect();
    let before = resident_kib();
    own.block_on(start_gateway_with(&listed, 8, Duration::from_secs(1)));
    thread::sleep(Duration::from_millis(500));
    let grown = resident_kib().saturating_sub(before);
    let before = cpu_seconds(&name);
    thread::sleep(span);
    let cpu = cpu_seconds(&name) - before;
    let share = cpu / span.as_secs_f64() * 100.0;
    println!("{endpoints} endpoints of 8 slots, no requests: {share:.2}% of a core, {grown} KiB");
    own.shutdown_background();
}

fn measure_idle(load: &Runtime, gateway: SocketAddr) {
    let before = resident_kib();
    let held = load.block_on(async {
        let mut held = Vec::with_capacity(IDLE_CALLERS);
        for _ in 0..IDLE_CALLERS {
            held.push(TcpStream::connect(gateway).await.unwrap());
        }
        sleep(Duration::from_secs(1)).await;
        held
    });
    let grown = resident_kib().saturating_sub(before);
    println!("{} idle callers, both ends in this process:", held.len());
    println!("  {:.1} KiB each", grown as f64 / held.len() as f64);
    let before = resident_kib();
    load.block_on(load::use_once(held));
    let grown = resident_kib().saturating_sub(before);
    println!(
        "  {:.1} KiB more each after one request",
        grown as f64 / IDLE_CALLERS as f64
    );
}
