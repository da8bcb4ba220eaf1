//! Load generators that send small requests.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        self,
        SocketAddr, //
    },
    thread,
    time::Duration,
};

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    task::JoinSet,
    time::Instant,
};

use crate::latency_table::LatencyTable;

const REQUEST: &[u8] = b"GET /quotes/4711 HTTP/1.1\r\n\
    host: shop.example\r\n\
    user-agent: load/1\r\n\
    accept: */*\r\n\
    x-request-id: 0123456789abcdef\r\n\r\n";
const BODY_SUFFIX: &[u8] = b"friday";

async fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

async fn send_request(stream: &mut TcpStream) -> (Duration, bool) {
    let start = Instant::now();
    stream.write_all(REQUEST).await.unwrap();
    let mut buffer = [0; 1024];
    let mut size = 0;
    while !buffer[..size].ends_with(BODY_SUFFIX) {
        let read = stream.read(&mut buffer[size..]).await.unwrap();
        size += read;
        if read == 0 || !buffer.starts_with(b"HTTP/1.1 2") {
            return (start.elapsed(), false);
        }
    }
    (start.elapsed(), true)
}

/// Sends requests back to back over `callers` connections.
pub(crate) async fn closed_loop(
    addresses: &[SocketAddr],
    callers: usize,
    duration: Duration,
) -> LatencyTable {
    let end = Instant::now() + duration;
    let mut tasks = JoinSet::new();
    for caller in 0..callers {
        let address = addresses[caller % addresses.len()];
        tasks.spawn(async move {
            let mut table = LatencyTable::default();
            let mut stream = connect(address).await;
            while Instant::now() < end {
                let (latency, good) = send_request(&mut stream).await;
                table.add(latency, good);
            }
            table
        });
    }
    join_tables(tasks).await
}

/// Sends requests at a fixed rate, whatever the responses, spread over `callers` connections. Each
/// connection has a thread of its own: the timer of the runtime has a resolution of one
/// millisecond, and would send all requests of a millisecond at once.
pub(crate) fn open_loop(
    addresses: &[SocketAddr],
    callers: usize,
    rate: f64,
    duration: Duration,
) -> LatencyTable {
    let start = std::time::Instant::now() + Duration::from_millis(50);
    let interval = Duration::from_secs_f64(callers as f64 / rate);
    let mut merged = LatencyTable::default();
    thread::scope(|scope| {
        let threads: Vec<_> = (0..callers)
            .map(|caller| {
                let address = addresses[caller % addresses.len()];
                let first_send = start + interval * caller as u32 / callers as u32;
                scope.spawn(move || {
                    send_at_interval(address, first_send, interval, start + duration)
                })
            })
            .collect();
        for thread in threads {
            merged.extend(thread.join().unwrap());
        }
    });
    merged
}

fn send_at_interval(
    address: SocketAddr,
    first_send: std::time::Instant,
    interval: Duration,
    end: std::time::Instant,
) -> LatencyTable {
    let mut table = LatencyTable::default();
    let mut stream = net::TcpStream::connect(address).unwrap();
    stream.set_nodelay(true).unwrap();
    let mut next_send = first_send;
    while next_send < end {
        thread::sleep(next_send.saturating_duration_since(std::time::Instant::now()));
        let start = std::time::Instant::now();
        let good = send_request_blocking(&mut stream);
        table.add(start.elapsed(), good);
        next_send += interval;
    }
    table
}

fn send_request_blocking(stream: &mut net::TcpStream) -> bool {
    stream.write_all(REQUEST).unwrap();
    let mut buffer = [0; 1024];
    let mut size = 0;
    while !buffer[..size].ends_with(BODY_SUFFIX) {
        let read = stream.read(&mut buffer[size..]).unwrap();
        size += read;
        if read == 0 || !buffer.starts_with(b"HTTP/1.1 2") {
            return false;
        }
    }
    true
}

/// Sends one request on each connection.
pub(crate) async fn send_one_each(streams: Vec<TcpStream>) {
    let mut open_streams = Vec::with_capacity(streams.len());
    for mut stream in streams {
        send_request(&mut stream).await;
        open_streams.push(stream);
    }
}

async fn join_tables(mut tasks: JoinSet<LatencyTable>) -> LatencyTable {
    let mut merged = LatencyTable::default();
    while let Some(table) = tasks.join_next().await {
        merged.extend(table.unwrap());
    }
    merged
}
