//! Bounds on the connections and the request memory of a listener.

use std::{
    collections::VecDeque,
    convert::Infallible,
    io,
    pin::{
        Pin,
        pin, //
    },
    task::{
        Context,
        Poll,
        Waker, //
    },
    time::Duration, //
};

use bytes::Bytes;
use http_body::{
    Body,
    Frame, //
};
use jasminebend_ingress::{
    BodyError,
    BodyStart,
    Connection,
    ConnectionLimits,
    ConnectionTable, //
};

const TIMEOUT: Duration = Duration::from_secs(10);
const BODY_LIMIT: usize = 4000;

/// A body in parts, which ends after the last one or stays open.
struct PartsBody {
    parts: VecDeque<Bytes>,
    ends: bool,
}

impl Body for PartsBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.parts.pop_front() {
            Some(part) => Poll::Ready(Some(Ok(Frame::data(part)))),
            None if self.ends => Poll::Ready(None),
            None => Poll::Pending,
        }
    }
}

fn complete(size: usize) -> PartsBody {
    PartsBody {
        parts: [Bytes::from(vec![b'x'; size])].into(),
        ends: true,
    }
}

fn incomplete(size: usize) -> PartsBody {
    PartsBody {
        ends: false,
        ..complete(size)
    }
}

fn table(connections: usize, request_bytes: usize) -> ConnectionTable {
    ConnectionTable::new(ConnectionLimits {
        connections,
        request_bytes,
        head_bytes: 8 << 10,
    })
}

fn poll_once<Work>(work: Work) -> Poll<Work::Output>
where
    Work: Future,
{
    pin!(work).poll(&mut Context::from_waker(Waker::noop()))
}

async fn open(table: &ConnectionTable) -> Connection {
    table.open().await.expect("a connection waits")
}

/// Begins to read a body that does not end, and returns the reading.
async fn hold<'a>(
    connection: &'a Connection,
    size: usize,
) -> Pin<Box<dyn Future<Output = Result<Bytes, BodyError>> + 'a>> {
    connection.begin_request();
    let mut reading: Pin<Box<dyn Future<Output = _>>> =
        Box::pin(connection.read_body(incomplete(size), BODY_LIMIT, TIMEOUT));
    assert!(poll_once(reading.as_mut()).is_pending());
    reading
}

fn is_evicted(connection: &Connection) -> bool {
    poll_once(connection.evicted()).is_ready()
}

/// Guards against ordinary clients that are locked out by connections that send nothing.
#[tokio::test]
async fn the_connection_that_waited_the_longest_closes_for_a_new_one() {
    let table = table(2, 1000);
    let (oldest, newer) = (open(&table).await, open(&table).await);
    let mut opening = pin!(table.open());
    assert!(poll_once(opening.as_mut()).is_pending());
    assert!(is_evicted(&oldest) && !is_evicted(&newer));
    assert!(poll_once(opening.as_mut()).is_pending());
    drop(oldest);
    assert!(opening.await.is_some());
    assert_eq!(table.take_refusals().closed_for_connections, 1);
}

/// Guards against answers that are lost because a connection closes for a new one while its request is carried out.
#[tokio::test]
async fn a_connection_with_a_complete_request_is_not_closed() {
    let table = table(1, 1000);
    let connection = open(&table).await;
    connection.begin_request();
    connection.complete_request().expect("it is open");
    assert!(table.open().await.is_none());
    connection.end_request();
    assert!(poll_once(table.open()).is_pending());
    assert!(is_evicted(&connection));
    assert_eq!(table.take_refusals().refused_connections, 1);
}

/// Guards against ordinary clients that lose their connections to clients that never complete a request.
#[tokio::test]
async fn a_client_whose_request_was_answered_stays_beside_those_without() {
    let table = table(2, 1000);
    let (ordinary, idle) = (open(&table).await, open(&table).await);
    ordinary.begin_request();
    ordinary.complete_request().expect("it is open");
    ordinary.end_request();
    idle.begin_request();
    assert!(poll_once(table.open()).is_pending());
    assert!(is_evicted(&idle) && !is_evicted(&ordinary));
}

/// Guards against new clients that are closed for one another, because those that were answered once go before all of them.
#[tokio::test]
async fn new_clients_are_not_closed_beside_answered_ones() {
    let table = table(4, 1000);
    let mut answered = Vec::new();
    for _ in 0..4 {
        let connection = open(&table).await;
        connection.begin_request();
        connection.complete_request().expect("it is open");
        connection.end_request();
        answered.push(connection);
    }
    let mut new = Vec::new();
    for _ in 0..2 {
        assert!(poll_once(table.open()).is_pending());
        answered.retain(|connection| !is_evicted(connection));
        new.push(open(&table).await);
        new[new.len() - 1].begin_request();
    }
    assert_eq!(answered.len(), 2);
    assert!(poll_once(table.open()).is_pending());
    assert!(is_evicted(&new[0]) && !is_evicted(&new[1]));
    assert!(!answered.iter().any(is_evicted));
}

/// Guards against new clients whose bodies are given up for one another beside incomplete bodies of answered ones.
#[tokio::test]
async fn bodies_of_new_clients_are_kept_beside_those_of_answered_ones() {
    let table = table(9, 8000);
    let (answered, new, other) = (open(&table).await, open(&table).await, open(&table).await);
    answered.begin_request();
    answered.complete_request().expect("it is open");
    answered.end_request();
    let _answered_body = hold(&answered, 3900).await;
    let _new_body = hold(&new, 3000).await;
    let _other_body = hold(&other, 3000).await;
    assert!(is_evicted(&answered) && !is_evicted(&new) && !is_evicted(&other));
}

/// Guards against a process whose own calls find no descriptor: one connection was closed for each that could not be accepted.
#[tokio::test]
async fn a_lack_of_descriptors_closes_a_quarter_of_the_connections() {
    let table = table(20, 1000);
    let mut connections = Vec::new();
    for _ in 0..8 {
        connections.push(open(&table).await);
    }
    table.handle_accept_error(&io::Error::from_raw_os_error(103));
    assert!(!connections.iter().any(is_evicted));
    table.handle_accept_error(&io::Error::from_raw_os_error(24));
    let evicted: Vec<bool> = connections.iter().map(is_evicted).collect();
    assert_eq!(evicted[..3], [true, true, false]);
    assert_eq!(evicted.iter().filter(|evicted| **evicted).count(), 2);
}

/// Guards against a process that runs out of memory: each part of a body kept the whole buffer that it was read into.
#[tokio::test]
async fn small_parts_do_not_keep_the_buffers_they_were_read_into() {
    let table = table(1, 1 << 20);
    let connection = open(&table).await;
    let buffer = Bytes::from(vec![b'x'; 8 << 10]);
    let parts = (0..100).map(|index| buffer.slice(index..=index)).collect();
    let reading = connection.read_body(PartsBody { parts, ends: false }, BODY_LIMIT, TIMEOUT);
    let mut reading = pin!(reading);
    assert!(poll_once(reading.as_mut()).is_pending());
    assert!(buffer.is_unique());
    assert!((100..=1024).contains(&table.held_bytes()));
}

/// Guards against ordinary clients that are refused while incomplete bodies hold all of the memory.
#[tokio::test]
async fn the_oldest_incomplete_body_makes_room_for_a_new_one() {
    let table = table(9, 8000);
    let (idle, oldest, newer) = (open(&table).await, open(&table).await, open(&table).await);
    let _oldest_body = hold(&oldest, 3900).await;
    let _newer_body = hold(&newer, 3900).await;
    let ordinary = open(&table).await;
    ordinary.begin_request();
    let body = ordinary.read_body(complete(1500), BODY_LIMIT, TIMEOUT);
    assert_eq!(body.await.map(|body| body.len()), Ok(1500));
    assert!(is_evicted(&oldest) && !is_evicted(&newer) && !is_evicted(&idle));
    assert!(table.held_bytes() <= 8000);
    assert_eq!(table.take_refusals().closed_for_memory, 1);
}

/// Guards against a client within the limits that never gets its answer: the rest of its body stayed unread.
#[tokio::test]
async fn a_body_without_memory_is_read_to_its_end_and_refused() {
    let table = table(9, 2000);
    let (busy, other) = (open(&table).await, open(&table).await);
    let body = busy.read_body(complete(1900), BODY_LIMIT, TIMEOUT).await;
    assert!(body.is_ok());
    let mut parts = VecDeque::new();
    parts.resize(10, Bytes::from(vec![b'x'; 300]));
    let mut body = PartsBody { parts, ends: true };
    let refused = other.read_body(&mut body, BODY_LIMIT, TIMEOUT).await;
    assert_eq!(refused, Err(BodyError::NoMemory));
    assert!(body.parts.is_empty());
    assert_eq!(table.held_bytes(), 1900);
    busy.end_request();
    let body = other.read_body(complete(1900), BODY_LIMIT, TIMEOUT).await;
    assert!(body.is_ok());
    assert_eq!(table.take_refusals().refused_requests, 1);
}

/// Guards against large bodies that are held in memory whole, and against small ones that count as incomplete.
#[tokio::test]
async fn the_start_of_a_large_body_is_read() {
    let table = table(1, 1 << 20);
    let connection = open(&table).await;
    connection.begin_request();
    let mut parts = VecDeque::new();
    parts.resize(10, Bytes::from(vec![b'x'; 300]));
    let mut large = PartsBody { parts, ends: true };
    let start = connection.read_start(&mut large, 1000, TIMEOUT).await;
    assert_eq!(start, Ok(BodyStart::Partial(vec![b'x'; 1200].into())));
    assert_eq!(large.parts.len(), 6);
    assert!((1200..=2400).contains(&table.held_bytes()));
    assert!(poll_once(table.open()).is_pending());
    assert!(is_evicted(&connection));

    drop(connection);
    let connection = open(&table).await;
    connection.begin_request();
    let mut small = complete(1000);
    let start = connection.read_start(&mut small, 1000, TIMEOUT).await;
    assert_eq!(start, Ok(BodyStart::Complete(vec![b'x'; 1000].into())));
    assert!(table.open().await.is_none());
}

/// Guards against a connection that is never closed for others, because the rest of its body arrived after the answer.
#[tokio::test]
async fn a_body_that_ends_after_its_answer_does_not_keep_the_connection() {
    let table = table(1, 1000);
    let connection = open(&table).await;
    connection.begin_request();
    connection.end_request();
    connection.complete_request().expect("it is open");
    assert!(poll_once(table.open()).is_pending());
    assert!(is_evicted(&connection));
}

/// Guards against a request within the limits that can never be served, because one body alone exceeds the memory for all.
#[tokio::test]
async fn a_request_alone_may_exceed_the_memory() {
    let table = table(9, 1000);
    let connection = open(&table).await;
    let body = connection.read_body(complete(4000), BODY_LIMIT, TIMEOUT);
    assert_eq!(body.await.map(|body| body.len()), Ok(4000));
    assert_eq!(connection.reserve(20_000), Ok(()));
    connection.end_request();
    assert_eq!(table.held_bytes(), 0);
}

/// Guards against a body beyond the limit that is read nevertheless.
#[tokio::test]
async fn a_body_beyond_the_limit_holds_no_memory() {
    let table = table(9, 1 << 20);
    let connection = open(&table).await;
    let body = connection.read_body(complete(BODY_LIMIT + 1), BODY_LIMIT, TIMEOUT);
    assert_eq!(body.await, Err(BodyError::TooLarge));
    assert_eq!(table.held_bytes(), 0);
}

/// Guards against a count that keeps the largest size of a request that has shrunk.
#[tokio::test]
async fn a_request_holds_what_it_was_last_said_to() {
    let table = table(9, 8000);
    let connection = open(&table).await;
    for bytes in [5000, 100, 7000, 0] {
        assert_eq!(connection.hold(bytes), Ok(()));
        assert_eq!(table.held_bytes(), bytes);
    }
}

/// Guards against counts that drift, and against limits that some order of events exceeds.
#[test]
fn no_order_of_events_exceeds_the_limits() {
    arbtest::arbtest(|random| {
        let (most, bytes) = (random.int_in_range(1..=5)?, random.int_in_range(1..=9000)?);
        let table = table(most, bytes);
        let mut connections: Vec<(Connection, usize)> = Vec::new();
        for _ in 0..random.int_in_range(0..=40)? {
            let chosen = random.int_in_range(0..=most)?;
            let event = random.int_in_range(0..=5)?;
            let size = random.int_in_range(0..=BODY_LIMIT)?;
            if event == 0 {
                if let Poll::Ready(opened) = poll_once(table.open()) {
                    connections.extend(opened.map(|connection| (connection, 0)));
                }
            } else if let Some((connection, held)) = connections.get_mut(chosen) {
                match event {
                    1 => connection.begin_request(),
                    2 => drop(connection.complete_request()),
                    3 if connection.reserve(size).is_ok() => {
                        *held += size;
                        assert!(table.held_bytes() <= bytes.max(*held));
                    }
                    3 => {}
                    4 => {
                        connection.end_request();
                        *held = 0;
                    }
                    _ => drop(connections.swap_remove(chosen)),
                }
            }
            connections.retain(|(connection, _)| !is_evicted(connection));
            let held_bytes: usize = connections.iter().map(|(_, held)| held).sum();
            assert_eq!(table.held_bytes(), held_bytes);
            assert_eq!(table.connection_count(), connections.len());
            assert!(connections.len() <= most);
        }
        drop(connections);
        assert_eq!((table.connection_count(), table.held_bytes()), (0, 0));
        Ok(())
    });
}
