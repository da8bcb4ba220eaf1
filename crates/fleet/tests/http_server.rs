//! Timeouts of the HTTP server for clients that stop sending or reading.

use std::{
    rc::Rc,
    time::Duration, //
};

use async_trait::async_trait;
use bytes::Bytes;
use http::{
    Request,
    Response, //
};
use http_body_util::Full;
use jasminebend_fleet::{
    HttpHandler,
    RequestBody,
    serve,
    serve_on, //
};
use jasminebend_ingress::ConnectionTable;
use tokio::{
    io::AsyncWriteExt,
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
    task::LocalSet,
    time, //
};

const CLOSE_LIMIT: Duration = Duration::from_secs(600);
/// Shorter than the time for which a connection may transfer no byte.
const TRICKLE_INTERVAL: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// More than the sockets buffer.
const ANSWER_BYTES: usize = 64 << 20;

/// Reads each request's body, and returns a large answer.
struct LargeAnswerHandler;

#[async_trait(?Send)]
impl HttpHandler for LargeAnswerHandler {
    async fn handle(&self, request: Request<RequestBody>) -> Response<Full<Bytes>> {
        drop(request.into_body().read(1000).await);
        Response::new(Full::new(Bytes::from(vec![0; ANSWER_BYTES])))
    }
}

/// Sends bytes, calls `then` with the connection, reads nothing, and waits until the server closes the connection.
async fn expect_close_after<Then>(sent: &[u8], then: Then)
where
    Then: AsyncFnOnce(&mut TcpStream),
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let count = ConnectionTable::default();
    let (_stop, stopping) = watch::channel(false);
    serve_on(
        listener,
        Rc::new(LargeAnswerHandler),
        stopping,
        count.clone(),
    );
    let mut caller = TcpStream::connect(address).await.expect("it listens");
    caller.write_all(sent).await.expect("it is open");
    while count.connection_count() == 0 {
        time::sleep(POLL_INTERVAL).await;
    }
    then(&mut caller).await;
    let closed = async {
        while count.connection_count() > 0 {
            time::sleep(POLL_INTERVAL).await;
        }
    };
    let closed = time::timeout(CLOSE_LIMIT, closed).await;
    assert!(closed.is_ok(), "the connection is still open");
    drop(caller);
}

/// Guards against a daemon that runs out of memory and file descriptors: it waited forever for callers that had
/// stopped in the middle of a request's body.
#[tokio::test(start_paused = true)]
async fn a_body_that_stops_ends_its_connection() {
    let sent = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 100\r\n\r\nhalf";
    LocalSet::new()
        .run_until(expect_close_after(sent, async |_| ()))
        .await;
}

/// Guards against a daemon that runs out of memory and file descriptors: slow bodies, of a byte every few seconds, were
/// read without a limit of time.
#[tokio::test(start_paused = true)]
async fn a_body_that_trickles_ends_its_connection() {
    let sent = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 100\r\n\r\n";
    let trickle = async |caller: &mut TcpStream| {
        for _ in 0..99 {
            time::sleep(TRICKLE_INTERVAL).await;
            if caller.write_all(b"x").await.is_err() {
                return;
            }
        }
        panic!("it waits for the whole body");
    };
    LocalSet::new()
        .run_until(expect_close_after(sent, trickle))
        .await;
}

/// Guards against a daemon that runs out of memory and file descriptors: it waited forever for callers that did not
/// read their answers.
#[tokio::test(start_paused = true)]
async fn an_answer_that_is_not_read_ends_its_connection() {
    let sent = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";
    LocalSet::new()
        .run_until(expect_close_after(sent, async |_| ()))
        .await;
}

/// Guards against an error that does not say which of a daemon's addresses is in use.
#[tokio::test]
async fn an_error_names_the_address_in_use() {
    let taken = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = taken.local_addr().expect("it is bound");
    let (_stop, stopping) = watch::channel(false);
    let count = ConnectionTable::default();
    let error = serve(address, Rc::new(LargeAnswerHandler), stopping, count)
        .await
        .expect_err("it is taken");
    assert!(error.to_string().contains(&address.to_string()), "{error}");
}
