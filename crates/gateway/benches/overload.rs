//! Measures the goodput of the gateway over loopback, at loads from half to twice the capacity of
//! the slots.
//!
//! Four endpoints of four slots each work 20 ms on a request and count how many they work on at
//! once. Each request has a target of 100 ms and a connection of its own.
//!
//! `cargo bench -p jasminebend-gateway --bench overload -- [SECONDS]`
#![expect(
    clippy::unwrap_used,
    reason = "a benchmark that cannot continue must panic"
)]

#[path = "loopback/latency_table.rs"]
#[expect(dead_code, reason = "this benchmark uses only a part of it")]
mod latency_table;
#[path = "loopback/measured_gateway.rs"]
mod measured_gateway;

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::atomic::{
        AtomicUsize,
        Ordering, //
    },
    time::Duration,
};

use bytes::Bytes;
use http::{
    Request,
    Response, //
};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    task::JoinSet,
    time::{
        Instant,
        sleep,
        sleep_until, //
    },
};

use crate::{
    latency_table::LatencyTable,
    measured_gateway::start_gateway, //
};

const ENDPOINT_COUNT: usize = 4;
const SLOTS_PER_ENDPOINT: u16 = 4;
const WORK_TIME: Duration = Duration::from_millis(20);
const ANSWER_TARGET: Duration = Duration::from_millis(100);
const REQUEST: &[u8] =
    b"POST /bookings HTTP/1.1\r\nhost: shop\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// The requests in progress at each endpoint.
static RUNNING_REQUESTS: [AtomicUsize; ENDPOINT_COUNT] =
    [const { AtomicUsize::new(0) }; ENDPOINT_COUNT];
/// The most requests in progress at one endpoint at once.
static MAX_RUNNING_REQUESTS: AtomicUsize = AtomicUsize::new(0);

async fn handle_request(endpoint: usize) -> Result<Response<Full<Bytes>>, Infallible> {
    let running = RUNNING_REQUESTS[endpoint].fetch_add(1, Ordering::SeqCst) + 1;
    MAX_RUNNING_REQUESTS.fetch_max(running, Ordering::SeqCst);
    sleep(WORK_TIME).await;
    RUNNING_REQUESTS[endpoint].fetch_sub(1, Ordering::SeqCst);
    Ok(Response::new(Full::new(Bytes::from_static(b"booked"))))
}

async fn start_endpoint(endpoint: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(move |_: Request<Incoming>| handle_request(endpoint));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(async move { connection.await.is_ok() });
        }
    });
    address
}

async fn send_request(gateway: SocketAddr) -> (Duration, u16) {
    let start = Instant::now();
    let mut stream = TcpStream::connect(gateway).await.unwrap();
    stream.write_all(REQUEST).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.ok();
    let status = answer.get(9..12).and_then(|code| code.parse().ok());
    (start.elapsed(), status.unwrap_or(0))
}

async fn run_load(gateway: SocketAddr, rate: f64, duration: Duration) -> Vec<(Duration, u16)> {
    let start = Instant::now();
    let mut calls = JoinSet::new();
    // The timer has a resolution of one millisecond: requests due in the same millisecond are sent
    // together.
    for number in 0..(rate * duration.as_secs_f64()) as u64 {
        sleep_until(start + Duration::from_secs_f64(number as f64 / rate)).await;
        calls.spawn(send_request(gateway));
    }
    calls.join_all().await
}

fn report(load: f64, duration: Duration, calls: &[(Duration, u16)], baseline_goodput: &mut f64) {
    let mut answered = LatencyTable::default();
    let mut refused = LatencyTable::default();
    let mut good = 0_u32;
    for (latency, status) in calls {
        good += u32::from(*status == 200 && *latency <= ANSWER_TARGET);
        match status {
            200 => answered.add(*latency, true),
            _ => refused.add(*latency, *status == 503 || *status == 429),
        }
    }
    let goodput = f64::from(good) / duration.as_secs_f64();
    if load == 0.95 {
        *baseline_goodput = goodput;
    }
    let (answered_row, refused_row) = (answered.percentiles_micros(), refused.percentiles_micros());
    println!(
        "load {load:4.2}: goodput {goodput:6.1}/s ({:5.3} of that at 0.95)  answered {:>6} p50 {:6.1} ms p99 {:6.1} ms  refused {:>6} p50 {:5.1} ms p99 {:5.1} ms  otherwise failed {}",
        goodput / *baseline_goodput,
        answered.len(),
        answered_row[0] / 1e3,
        answered_row[1] / 1e3,
        refused.len(),
        refused_row[0] / 1e3,
        refused_row[1] / 1e3,
        refused.failed()
    );
}

#[tokio::main]
async fn main() {
    let mut seconds = std::env::args().filter_map(|argument| argument.parse().ok());
    let duration = Duration::from_secs(seconds.next_back().unwrap_or(5));
    let mut endpoints = Vec::new();
    for endpoint in 0..ENDPOINT_COUNT {
        endpoints.push(start_endpoint(endpoint).await);
    }
    let gateway = start_gateway(&endpoints, SLOTS_PER_ENDPOINT, ANSWER_TARGET).await;
    let capacity = ENDPOINT_COUNT as f64 * f64::from(SLOTS_PER_ENDPOINT) / WORK_TIME.as_secs_f64();
    println!("the slots can carry {capacity:.0} requests/s; {duration:?} for each load");
    run_load(gateway, capacity / 2.0, Duration::from_secs(1)).await;
    let mut baseline_goodput = f64::NAN;
    for load in [0.95, 0.5, 0.8, 1.2, 2.0] {
        let calls = run_load(gateway, capacity * load, duration).await;
        report(load, duration, &calls, &mut baseline_goodput);
        sleep(Duration::from_millis(500)).await;
    }
    let most = MAX_RUNNING_REQUESTS.load(Ordering::SeqCst);
    println!("the most that an endpoint of {SLOTS_PER_ENDPOINT} slots worked on at once: {most}");
}
