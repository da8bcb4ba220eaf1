//! Kept connections to servers.

use std::{
    io,
    time::Duration, //
};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use jasminebend_fleet::HttpPool;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    task::LocalSet,
    time, //
};

const TIMEOUT: Duration = Duration::from_secs(5);
const LONGEST: Duration = Duration::from_secs(600);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// Answers one call, and returns its connection.
async fn answer(listener: &TcpListener) -> io::Result<TcpStream> {
    let (mut stream, _) = listener.accept().await?;
    // The call comes in one piece.
    let read = stream.read(&mut [0; 1024]).await?;
    assert!(read > 0, "it ended before its call");
    stream.write_all(ANSWER).await?;
    Ok(stream)
}

async fn call(pool: &HttpPool, listener: &TcpListener) -> TcpStream {
    let address = listener.local_addr().expect("it is bound").to_string();
    let request = Request::get("/").header("host", &address);
    let request = request.body(Full::new(Bytes::new())).expect("a request");
    let (reply, stream) = tokio::join!(pool.call(&address, request, TIMEOUT), answer(listener));
    reply.expect("the server answers");
    stream.expect("the connection is open")
}

/// Guards against a daemon without descriptors: the connections to each VM that lost power stayed open for good.
#[tokio::test(start_paused = true)]
async fn connections_that_no_call_uses_are_closed() {
    let calls = async {
        let gone = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let other = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let pool = HttpPool::new();
        let mut unused = call(&pool, &gone).await;
        time::sleep(LONGEST).await;
        let _used = call(&pool, &other).await;
        let end = time::timeout(LONGEST, unused.read(&mut [0; 16])).await;
        assert_eq!(end.expect("it is closed").expect("it is closed well"), 0);
    };
    LocalSet::new().run_until(calls).await;
}
