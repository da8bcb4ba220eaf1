//! Goodput of the real gateway over loopback, from half to twice what the slots can carry.
//!
//! Four endpoints of four slots each work 20 ms on a request and count how many they work on at
//! once; each request is to be answered within 100 ms, and its caller comes with a connection of
//! its own. `cargo bench -p jasminebend-gateway --bench overload -- [SECONDS]`
#![expect(clippy::unwrap_used, reason = "a measurement that cannot go on ends")]

#[path = "loopback/latency_table.rs"]
#[expect(dead_code, reason = "this measurement uses a part of it")]
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
    measured_gateway::start_gateway_with, //
};

const ENDPOINTS: usize = 4;
const SLOTS: u16 = 4;
const WORK: Duration = Duration::from_millis(20);
const TARGET: Duration = Duration::from_millis(100);
const REQUEST: &[u8] =
    b"POST /bookings HTTP/1.1\r\nhost: shop\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

static RUNNING: [AtomicUsize; ENDPOINTS] = [const { AtomicUsize::new(0) }; ENDPOINTS];
static MOST: AtomicUsize = AtomicUsize::new(0);

async fn work(endpoint: usize) -> Result<Response<Full<Bytes>>, Infallible> {
    let running = RUNNING[endpoint].fetch_add(1, Ordering::SeqCst) + 1;
    MOST.fetch_max(running, Ordering::SeqCst);
    sleep(WORK).await;
    RUNNING[endpoint].fetch_sub(1, Ordering::SeqCst);
    Ok(Response::new(Full::new(Bytes::from_static(b"booked"))))
}

async fn start_endpoint(endpoint: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(move |_: Request<Incoming>| work(endpoint));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(async move { connection.await.is_ok() });
        }
    });
    address
}

async fn call(gateway: SocketAddr) -> (Duration, u16) {
    let start = Instant::now();
    let mut stream = TcpStream::connect(gateway).await.unwrap();
    stream.write_all(REQUEST).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.ok();
    let status = answer.get(9..12).and_then(|code| code.parse().ok());
    (start.elapsed(), status.unwrap_or(0))
}

async fn run(gateway: SocketAddr, rate: f64, span: Duration) -> Vec<(Duration, u16)> {
    let start = Instant::now();
    let mut calls = JoinSet::new();
    // The timer steps by milliseconds: what is due in one comes together.
    for number in 0..(rate * span.as_secs_f64()) as u64 {
        sleep_until(start + Duration::from_secs_f64(number as f64 / rate)).await;
        calls.spawn(call(gateway));
    }
    calls.join_all().await
}

fn report(load: f64, span: Duration, calls: &[(Duration, u16)], steady: &mut f64) {
    let mut answered = LatencyTable::default();
    let mut refused = LatencyTable::default();
    let mut good = 0_u32;
    for (latency, status) in calls {
        good += u32::from(*status == 200 && *latency <= TARGET);
        match status {
            200 => answered.add(*latency, true),
            _ => refused.add(*latency, *status == 503 || *status == 429),
        }
    }
    let goodput = f64::from(good) / span.as_secs_f64();
    if load == 0.95 {
        *steady = goodput;
    }
    let (served, turned) = (answered.row(), refused.row());
    println!(
        "load {load:4.2}: goodput {goodput:6.1}/s ({:5.3} of that at 0.95)  answered {:>6} p50 {:6.1} ms p99 {:6.1} ms  refused {:>6} p50 {:5.1} ms p99 {:5.1} ms  otherwise failed {}",
        goodput / *steady,
        answered.len(),
        served[0] / 1e3,
        served[1] / 1e3,
        refused.len(),
        turned[0] / 1e3,
        turned[1] / 1e3,
        refused.failed()
    );
}

#[tokio::main]
async fn main() {
    let mut seconds = std::env::args().filter_map(|argument| argument.parse().ok());
    let span = Duration::from_secs(seconds.next_back().unwrap_or(5));
    let mut endpoints = Vec::new();
    for endpoint in 0..ENDPOINTS {
        endpoints.push(start_endpoint(endpoint).await);
    }
    let gateway = start_gateway_with(&endpoints, SLOTS, TARGET).await;
    let capacity = ENDPOINTS as f64 * f64::from(SLOTS) / WORK.as_secs_f64();
    println!("the slots can carry {capacity:.0} requests/s; {span:?} for each load");
    run(gateway, capacity / 2.0, Duration::from_secs(1)).await;
    let mut steady = f64::NAN;
    for load in [0.95, 0.5, 0.8, 1.2, 2.0] {
        let calls = run(gateway, capacity * load, span).await;
        report(load, span, &calls, &mut steady);
        sleep(Duration::from_millis(500)).await;
    }
    let most = MOST.load(Ordering::SeqCst);
    println!("the most that an endpoint of {SLOTS} slots worked on at once: {most}");
}
