//! Limits and timeouts of the HTTP connection pool.

use std::{
    cell::Cell,
    io,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use jasminebend_fleet::{
    HttpError,
    HttpPool,
    HttpReply, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    task::{
        self,
        JoinSet,
        LocalSet, //
    },
    time, //
};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const BEYOND_IDLE_TIMEOUT: Duration = Duration::from_secs(600);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// Accepts a connection, answers one request on it, and returns the connection.
async fn answer_one(listener: &TcpListener) -> io::Result<TcpStream> {
    let (mut stream, _) = listener.accept().await?;
    // The request is small enough to arrive in one read.
    let read = stream.read(&mut [0; 1024]).await?;
    assert!(read > 0, "the connection ended before its request");
    stream.write_all(ANSWER).await?;
    Ok(stream)
}

async fn call(pool: &HttpPool, listener: &TcpListener) -> TcpStream {
    let address = listener.local_addr().expect("it is bound").to_string();
    let request = Request::get("/").header("host", &address);
    let request = request.body(Full::new(Bytes::new())).expect("a request");
    let (reply, stream) = tokio::join!(
        pool.call(&address, request, CALL_TIMEOUT),
        answer_one(listener)
    );
    reply.expect("the server answers");
    stream.expect("the connection is open")
}

/// Guards against a daemon that runs out of file descriptors: connections to VMs that lost power stayed open forever.
#[tokio::test(start_paused = true)]
async fn idle_connections_are_closed() {
    let calls = async {
        let gone = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let other = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let pool = HttpPool::new();
        let mut unused = call(&pool, &gone).await;
        time::sleep(BEYOND_IDLE_TIMEOUT).await;
        let _used = call(&pool, &other).await;
        let end = time::timeout(BEYOND_IDLE_TIMEOUT, unused.read(&mut [0; 16])).await;
        assert_eq!(
            end.expect("it is closed")
                .expect("it is closed without an error"),
            0
        );
    };
    LocalSet::new().run_until(calls).await;
}

/// Starts a server that answers each request after a delay, or never without one; returns its count of connections.
fn start_server(listener: TcpListener, after: Option<Duration>) -> Rc<Cell<usize>> {
    let made = Rc::new(Cell::new(0));
    let count = Rc::clone(&made);
    task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            count.set(count.get() + 1);
            task::spawn_local(answer_requests(stream, after));
        }
    });
    made
}

async fn answer_requests(mut stream: TcpStream, after: Option<Duration>) {
    while let Ok(1..) = stream.read(&mut [0; 1024]).await {
        let Some(after) = after else {
            continue;
        };
        time::sleep(after).await;
        if stream.write_all(ANSWER).await.is_err() {
            return;
        }
    }
}

/// Makes `count` concurrent calls and returns their results.
async fn call_at_once(
    pool: Rc<HttpPool>,
    address: &str,
    count: usize,
) -> Vec<Result<HttpReply, HttpError>> {
    let mut calls = JoinSet::new();
    for _ in 0..count {
        let (pool, address) = (Rc::clone(&pool), address.to_owned());
        calls.spawn_local(async move {
            let request = Request::get("/").header("host", &address);
            let request = request.body(Full::new(Bytes::new())).expect("a request");
            pool.call(&address, request, CALL_TIMEOUT).await
        });
    }
    calls.join_all().await
}

/// Guards against an owner that runs out of file descriptors: each order of a burst opened a connection of its own.
#[tokio::test(start_paused = true)]
async fn a_burst_of_calls_stays_within_the_limit_of_connections() {
    let calls = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it is bound").to_string();
        let made = start_server(listener, Some(Duration::from_millis(5)));
        let pool = Rc::new(HttpPool::with_limit_per_address(2));
        for _ in 0..3 {
            let replies = call_at_once(Rc::clone(&pool), &address, 20).await;
            assert!(replies.iter().all(Result::is_ok), "{replies:?}");
        }
        assert_eq!(made.get(), 2);
    };
    LocalSet::new().run_until(calls).await;
}

/// Guards against an unknown outcome for orders that only waited for a connection to a silent worker.
#[tokio::test(start_paused = true)]
async fn calls_that_time_out_while_they_wait_for_the_limit_are_not_sent() {
    let calls = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it is bound").to_string();
        let made = start_server(listener, None);
        let pool = Rc::new(HttpPool::with_limit_per_address(2));
        let replies = call_at_once(pool, &address, 20).await;
        let faults = replies
            .into_iter()
            .map(|reply| reply.expect_err("it is silent"));
        let sent = faults.filter(|fault| *fault == HttpError::Unanswered);
        assert_eq!((sent.count(), made.get()), (2, 2));
    };
    LocalSet::new().run_until(calls).await;
}

/// The pause between two parts of a slow answer.
const PART_PAUSE: Duration = Duration::from_secs(3);

/// Starts a server that sends an answer of `parts` bytes, each after a pause, and then nothing more; returns its address.
async fn start_slow_server(parts: usize) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("it is bound").to_string();
    task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await?;
        let read = stream.read(&mut [0; 1024]).await?;
        assert!(read > 0, "the connection ended before its request");
        stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n")
            .await?;
        for _ in 0..parts {
            time::sleep(PART_PAUSE).await;
            stream.write_all(b"x").await?;
        }
        time::sleep(BEYOND_IDLE_TIMEOUT).await;
        io::Result::Ok(stream)
    });
    address
}

fn empty_request(address: &str) -> Request<Full<Bytes>> {
    let request = Request::get("/").header("host", address);
    request.body(Full::new(Bytes::new())).expect("a request")
}

/// Guards against a large answer that is given up and requested again for ever: a narrow link carries it in more than the
/// timeout.
#[tokio::test(start_paused = true)]
async fn a_download_lasts_as_long_as_its_parts_arrive() {
    let test = async {
        let pool = HttpPool::new();
        let address = start_slow_server(3).await;
        assert_eq!(pool.data_age(&address), None);
        let request = empty_request(&address);
        let reply = pool.download(&address, request, CALL_TIMEOUT).await;
        assert_eq!(reply.expect("it is complete").body, "xxx");
        assert_eq!(pool.data_age(&address), Some(Duration::ZERO));
        let address = start_slow_server(3).await;
        let request = empty_request(&address);
        let error = pool.call(&address, request, CALL_TIMEOUT).await.err();
        assert_eq!(error, Some(HttpError::Unanswered), "a call is bounded");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a download that never ends: its connection has gone silent.
#[tokio::test(start_paused = true)]
async fn a_download_of_which_no_part_arrives_is_given_up() {
    let test = async {
        let pool = HttpPool::new();
        let address = start_slow_server(1).await;
        let began = time::Instant::now();
        let request = empty_request(&address);
        let error = pool.download(&address, request, CALL_TIMEOUT).await.err();
        assert_eq!(error, Some(HttpError::Unanswered));
        assert_eq!(
            began.elapsed().as_secs(),
            (PART_PAUSE + CALL_TIMEOUT).as_secs()
        );
    };
    LocalSet::new().run_until(test).await;
}
