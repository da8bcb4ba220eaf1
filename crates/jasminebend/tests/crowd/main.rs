//! Clients that do not behave, against the daemon as a real process: many clients send requests or frames that stop just short of
//! their end, and keep their connections open. Checked for each address: the process lives, its memory and its descriptors stay
//! under a bound, and an ordinary request is answered beside the crowd.
//!
//! The tests of this file run one after the other. `JASMINEBEND_SOAK_PROGRAM` names another build of the daemon.

#[path = "../daemon/caller.rs"]
#[expect(dead_code, reason = "other tests use the rest")]
mod caller;
#[path = "../../../../platform/tests/crowd/crowd_client.rs"]
mod crowd_client;
#[path = "../daemon/platform.rs"]
#[expect(dead_code, reason = "other tests use the rest")]
mod platform;
#[path = "../../../../platform/tests/crowd/process_watch.rs"]
mod process_watch;
#[path = "../daemon/program.rs"]
#[expect(dead_code, reason = "other tests use the rest")]
mod program;

use std::{
    fs,
    net::SocketAddr,
    sync::{
        Mutex,
        PoisonError, //
    },
    time::Duration, //
};

use caller::{
    configure,
    is_ready,
    wait_until,
    wait_until_served, //
};
use crowd_client::Crowd;
use jasminebend_standins::PortBlock;
use platform::{
    TestPlatform,
    configuration, //
};
use process_watch::ProcessWatch;
use program::RunningProgram;
use tokio::time;

/// The bound on the memory of the process, in MiB: half of what a daemon may use.
const MEMORY_MB: u64 = 128;
/// The bound on the open descriptors of the process.
const MAX_DESCRIPTORS: usize = 1200;
/// Clients are limited to few connections, and those that stall are not disconnected before the test ends.
const SETTINGS_LINES: &str = "limits:\n  caller_connections: 700\n  administration_timeout: 5m\n\
                              drain:\n  balancer_lag: 0s\n";
/// As `SETTINGS_LINES`; slots whose request has an unknown outcome stay unused until the test ends.
const SLOT_SETTINGS_LINES: &str = "limits:\n  caller_connections: 700\n  administration_timeout: 5m\n  \
                                   longest_request: 10m\ndrain:\n  balancer_lag: 0s\n";
/// The number of clients that send each byte of a body in a segment of its own.
const SLOW_CROWD: usize = 40;
const SLOW_BODY_BYTES: usize = 8 << 10;
const SMALL_CHUNK: &[u8] = b"1\r\n \r\n";
/// The number of clients that send large bodies or frames.
const CROWD: usize = 640;
/// Just below the largest body that is buffered.
const BODY_BYTES: usize = 60 << 10;
/// The size of a body that is forwarded as it arrives.
const LARGE_BODY_BYTES: usize = 255 << 10;
const LARGE_CHUNK_BYTES: usize = 16 << 10;
/// Just below the largest frame.
const FRAME_BYTES: usize = 255 << 10;
const PIECE_BYTES: usize = 1 << 10;
/// How long an ordinary client tries.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
/// The greeting of a sender of frames.
const SENDER_GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x50, 0, 0];

/// Held by the test that runs.
static ALONE: Mutex<()> = Mutex::new(());

/// The addresses of a daemon.
struct Addresses {
    callers: SocketAddr,
    administration: SocketAddr,
    peers: SocketAddr,
    health: SocketAddr,
}

/// Sends a crowd to an address of a daemon, keeps it open, and checks the daemon.
async fn check_crowd<Writes>(address: fn(&Addresses) -> SocketAddr, count: usize, writes: Writes)
where
    Writes: Fn(usize) -> (Vec<u8>, usize) + Send + 'static,
{
    check_crowd_with(SETTINGS_LINES, address, count, writes).await;
}

/// Sends a crowd to the address for callers as [`check_crowd`] does; slots that it takes are not returned.
async fn check_slots<Writes>(count: usize, writes: Writes)
where
    Writes: Fn(usize) -> (Vec<u8>, usize) + Send + 'static,
{
    check_crowd_with(SLOT_SETTINGS_LINES, |to| to.callers, count, writes).await;
}

async fn check_crowd_with<Writes>(
    settings_lines: &str,
    address: fn(&Addresses) -> SocketAddr,
    count: usize,
    writes: Writes,
) where
    Writes: Fn(usize) -> (Vec<u8>, usize) + Send + 'static,
{
    let platform = TestPlatform::start(Duration::from_millis(1)).await;
    let settings = platform.settings_file(settings_lines);
    let ports = PortBlock::new().expect("free ports");
    let (peers, health) = (ports.address(), ports.address());
    let (peers, health) = (peers.expect("a port"), health.expect("a port"));
    let text = fs::read_to_string(&settings).expect("settings");
    let listen = format!("  peers: {peers}\n  health: {health}\n");
    let text = text.replace("  peers: 127.0.0.1:0\n", &listen);
    fs::write(&settings, text).expect("a file");
    let mut program = RunningProgram::start(&settings);
    let addresses = Addresses {
        callers: program.callers,
        administration: program.admin,
        peers,
        health,
    };
    configure(addresses.administration, &configuration()).await;
    wait_until_served(addresses.callers, "before").await;
    let watch = ProcessWatch::start(program.child.id(), addresses.callers);
    let crowd = Crowd::start(address(&addresses), count, writes);
    crowd.wait_until_sent().await;
    time::timeout(ANSWER_TIMEOUT, expect_answers(&addresses))
        .await
        .expect("ordinary clients are answered");
    let usage = watch.finish();
    println!("{usage:?}");
    assert!(!program.has_ended(), "the process has ended");
    assert!(usage.peak_memory_kb <= MEMORY_MB << 10, "{usage:?}");
    assert!(usage.peak_descriptors <= MAX_DESCRIPTORS, "{usage:?}");
    drop(crowd);
}

/// Waits until an ordinary caller, an operator and the balancer were answered.
async fn expect_answers(addresses: &Addresses) {
    wait_until_served(addresses.callers, "beside").await;
    for operators in [addresses.administration, addresses.health] {
        wait_until("an answered check", async || is_ready(operators).await).await;
    }
}

fn run_alone<Test>(test: Test)
where
    Test: Future<Output = ()>,
{
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(test);
}

/// Returns a request with a body of `size` bytes, without its last byte.
fn request(line: &str, size: usize) -> Vec<u8> {
    let head = format!("{line} HTTP/1.1\r\nhost: shop\r\ncontent-length: {size}\r\n\r\n");
    let mut sent = head.into_bytes();
    sent.resize(sent.len() + size - 1, b' ');
    sent
}

/// Returns a request whose body has chunks of one byte, without the last chunk that ends it.
fn chunked_request(line: &str) -> Vec<u8> {
    let mut sent = chunked_head(line);
    sent.extend(SMALL_CHUNK.repeat(SLOW_BODY_BYTES));
    sent
}

/// Returns a request with a large body in large chunks, without the last chunk that ends it.
fn large_chunked_request(line: &str) -> Vec<u8> {
    let mut sent = chunked_head(line);
    for _ in 0..LARGE_BODY_BYTES / LARGE_CHUNK_BYTES {
        sent.extend(format!("{LARGE_CHUNK_BYTES:x}\r\n").into_bytes());
        sent.resize(sent.len() + LARGE_CHUNK_BYTES, b' ');
        sent.extend(b"\r\n");
    }
    sent
}

fn chunked_head(line: &str) -> Vec<u8> {
    let head = format!("{line} HTTP/1.1\r\nhost: shop\r\ntransfer-encoding: chunked\r\n\r\n");
    head.into_bytes()
}

/// Returns a frame of `FRAME_BYTES` bytes without its last byte.
fn frame() -> Vec<u8> {
    let mut sent = SENDER_GREETING.to_vec();
    sent.extend_from_slice(&(FRAME_BYTES as u64).to_be_bytes());
    sent.resize(sent.len() + FRAME_BYTES - 1, 0);
    sent
}

/// Guards against a daemon that runs out of memory: the pieces of callers' bodies kept the buffers that they were read into.
#[test]
fn callers_with_bodies_in_pieces_stay_within_the_memory() {
    run_alone(check_crowd(
        |to| to.callers,
        CROWD,
        |_| (request("POST /orders", BODY_BYTES), PIECE_BYTES),
    ));
}

/// Guards against ordinary callers that are refused as long as idle connections hold all places.
#[test]
fn callers_that_send_nothing_leave_places() {
    run_alone(check_crowd(|to| to.callers, 2 * CROWD, |_| (Vec::new(), 1)));
}

/// Guards against a daemon that runs out of memory: each segment of a body kept the buffer that it was read into, also of a
/// request that needs no body.
#[test]
fn operators_with_a_chunk_a_segment_stay_within_the_memory() {
    run_alone(check_crowd(
        |to| to.administration,
        SLOW_CROWD,
        |_| (chunked_request("GET /healthz"), SMALL_CHUNK.len()),
    ));
}

/// Guards against ordinary callers that find no slot: incomplete bodies in large chunks held all of them.
#[test]
fn callers_with_large_chunks_leave_slots() {
    run_alone(check_slots(CROWD, |_| {
        let sent = large_chunked_request("POST /orders");
        let write_bytes = sent.len();
        (sent, write_bytes)
    }));
}

/// Guards against ordinary callers that find no slot: incomplete bodies in very small chunks held all of them.
#[test]
fn callers_with_small_chunks_leave_slots() {
    run_alone(check_slots(CROWD, |_| {
        let sent = chunked_request("POST /orders");
        let write_bytes = sent.len();
        (sent, write_bytes)
    }));
}

/// Guards against ordinary callers that find no slot: incomplete bodies with a chunk a segment held all of them.
#[test]
fn callers_with_a_chunk_a_segment_leave_slots() {
    run_alone(check_slots(SLOW_CROWD, |_| {
        (chunked_request("POST /orders"), SMALL_CHUNK.len())
    }));
}

/// Guards against ordinary callers that find no slot: large incomplete bodies held all of them.
#[test]
fn callers_with_large_bodies_leave_slots() {
    run_alone(check_slots(CROWD, |_| {
        (request("POST /orders", LARGE_BODY_BYTES), LARGE_BODY_BYTES)
    }));
}

/// Guards against ordinary callers that find no slot: large incomplete bodies that arrive in pieces held all of them.
#[test]
fn callers_with_large_bodies_in_pieces_leave_slots() {
    run_alone(check_slots(CROWD, |_| {
        (request("POST /orders", LARGE_BODY_BYTES), PIECE_BYTES)
    }));
}

/// Guards against operators who get no answer as long as others hold all connections with incomplete requests.
#[test]
fn operators_with_incomplete_requests_leave_places() {
    run_alone(check_crowd(
        |to| to.administration,
        CROWD,
        |_| (request("GET /healthz", BODY_BYTES), BODY_BYTES),
    ));
}

/// Guards against a daemon that runs out of memory: incomplete frames at the address for other daemons were not bounded.
#[test]
fn peers_with_incomplete_frames_stay_within_the_memory() {
    run_alone(check_crowd(
        |to| to.peers,
        CROWD,
        |_| (frame(), FRAME_BYTES),
    ));
}
