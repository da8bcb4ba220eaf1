//! Callers that send small requests.

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
const BODY_END: &[u8] = b"friday";

async fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

async fn call(stream: &mut TcpStream) -> (Duration, bool) {
    let start = Instant::now();
    stream.write_all(REQUEST).await.unwrap();
    let mut buffer = [0; 1024];
    let mut size = 0;
    while !buffer[..size].ends_with(BODY_END) {
        let read = stream.read(&mut buffer[size..]).await.unwrap();
        size += read;
        if read == 0 || !buffer.starts_with(b"HTTP/1.1 2") {
            return (start.elapsed(), false);
        }
    }
    (start.elapsed(), true)
}

/// Calls without pause over so many connections.
pub(crate) async fn closed_loop(
    addresses: &[SocketAddr],
    callers: usize,
    span: Duration,
) -> LatencyTable {
    let end = Instant::now() + span;
    let mut tasks = JoinSet::new();
    for caller in 0..callers {
        let address = addresses[caller % addresses.len()];
        tasks.spawn(async move {
            let mut table = LatencyTable::default();
            let mut stream = connect(address).await;
            while Instant::now() < end {
                let (latency, good) = call(&mut stream).await;
                table.add(latency, good);
            }
            table
        });
    }
    gather(tasks).await
}

/// Calls at a rate that does not follow the answers, spread over so many connections. Each has a
/// thread of its own: the runtime's timer steps by milliseconds, and would have all of a
/// millisecond's requests come at one moment.
pub(crate) fn open_loop(
    addresses: &[SocketAddr],
    callers: usize,
    rate: f64,
    span: Duration,
) -> LatencyTable {
    let start = std::time::Instant::now() + Duration::from_millis(50);
    let step = Duration::from_secs_f64(callers as f64 / rate);
    let mut whole = LatencyTable::default();
    thread::scope(|scope| {
        let threads: Vec<_> = (0..callers)
            .map(|caller| {
                let address = addresses[caller % addresses.len()];
                let first = start + step * caller as u32 / callers as u32;
                scope.spawn(move || call_evenly(address, first, step, start + span))
            })
            .collect();
        for thread in threads {
            whole.extend(thread.join().unwrap());
        }
    });
    whole
}

fn call_evenly(
    address: SocketAddr,
    first: std::time::Instant,
    step: Duration,
    end: std::time::Instant,
) -> LatencyTable {
    let mut table = LatencyTable::default();
    let mut stream = net::TcpStream::connect(address).unwrap();
    stream.set_nodelay(true).unwrap();
    let mut next = first;
    while next < end {
        thread::sleep(next.saturating_duration_since(std::time::Instant::now()));
        let start = std::time::Instant::now();
        let good = call_blocking(&mut stream);
        table.add(start.elapsed(), good);
        next += step;
    }
    table
}

fn call_blocking(stream: &mut net::TcpStream) -> bool {
    stream.write_all(REQUEST).unwrap();
    let mut buffer = [0; 1024];
    let mut size = 0;
    while !buffer[..size].ends_with(BODY_END) {
        let read = stream.read(&mut buffer[size..]).unwrap();
        size += read;
        if read == 0 || !buffer.starts_with(b"HTTP/1.1 2") {
            return false;
        }
    }
    true
}

/// Sends one request on each connection.
pub(crate) async fn use_once(streams: Vec<TcpStream>) {
    let mut kept = Vec::with_capacity(streams.len());
    for mut stream in streams {
        call(&mut stream).await;
        kept.push(stream);
    }
}

async fn gather(mut tasks: JoinSet<LatencyTable>) -> LatencyTable {
    let mut whole = LatencyTable::default();
    while let Some(table) = tasks.join_next().await {
        whole.extend(table.unwrap());
    }
    whole
}
