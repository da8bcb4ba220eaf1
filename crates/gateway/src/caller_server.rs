//! Accepts and serves the connections of callers.

use std::{
    convert::Infallible,
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::Duration, //
};

use hyper::{
    server::conn::http1::Builder,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use metrics::gauge;
use spdlog::warn;
use tokio::{
    io::AsyncWriteExt,
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        OwnedSemaphorePermit,
        Semaphore,
        watch, //
    },
    task::JoinSet,
    time::{
        sleep,
        timeout, //
    },
};

use crate::{
    caller_stream::CallerStream,
    class_metrics::CALLERS_METRIC,
    gateway_state::GatewayState,
    request_handler::{
        CallerInfo,
        handle_request, //
    },
};

/// The smallest buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// How long to wait after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long writing the response to a caller beyond the limit may take.
const REFUSAL_WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// The response to a caller beyond the limit of connections.
const TOO_MANY_CALLERS_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    content-length: 0\r\n\
    connection: close\r\n\
    retry-after: 1\r\n\
    jasminebend-executed: no\r\n\
    jasminebend-reason: too_many_callers\r\n\r\n";

/// Serves callers until `stop` is true and every request in progress is answered.
pub(crate) async fn serve_callers(
    shared: Arc<GatewayState>,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    let connection_permits = Arc::new(Semaphore::new(shared.settings.max_callers));
    let mut callers = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
            Some(_) = callers.join_next() => continue,
        };
        let Ok((stream, address)) = accepted else {
            // The likely cause is the limit of open files; retrying at once would be a busy loop.
            warn!("[gateway] Cannot accept callers for now.");
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        match Arc::clone(&connection_permits).try_acquire_owned() {
            Ok(permit) => {
                let shared = Arc::clone(&shared);
                let stop = stop.clone();
                callers.spawn(serve_caller(shared, stream, address, stop, permit));
            }
            Err(_) => {
                tokio::spawn(refuse_caller(stream));
            }
        }
    }
    drop(listener);
    while callers.join_next().await.is_some() {}
}

async fn serve_caller(
    shared: Arc<GatewayState>,
    stream: TcpStream,
    address: SocketAddr,
    mut stop: watch::Receiver<bool>,
    _permit: OwnedSemaphorePermit,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    gauge!(CALLERS_METRIC).increment(1.0);
    let settings = Arc::clone(&shared.settings);
    let stream = CallerStream::new(stream, &settings);
    let ambiguous_length = stream.ambiguous_length();
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        let caller = CallerInfo {
            address: address.ip(),
            ambiguous_length: ambiguous_length.load(Ordering::Relaxed),
        };
        // Boxed, because hyper reserves memory for the future in every connection, and an idle
        // connection needs none.
        Box::pin(async move { Ok::<_, Infallible>(handle_request(shared, request, caller).await) })
    });
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.caller_idle_timeout)
        .max_buf_size(settings.max_head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let stopped = tokio::select! {
        // An error on this connection concerns only its caller.
        _ = connection.as_mut() => false,
        _ = stop.wait_for(|stop| *stop) => true,
    };
    if stopped {
        connection.as_mut().graceful_shutdown();
        connection.await.ok();
    }
    gauge!(CALLERS_METRIC).decrement(1.0);
}

async fn refuse_caller(mut stream: TcpStream) {
    // The response is best effort: the connection is closed in any case.
    timeout(REFUSAL_WRITE_TIMEOUT, async {
        stream.write_all(TOO_MANY_CALLERS_RESPONSE).await?;
        stream.shutdown().await
    })
    .await
    .ok();
}
