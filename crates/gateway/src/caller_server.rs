//! Serves callers' connections.

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
    class_metrics::CALLERS,
    gateway_shared::GatewayShared,
    request_handler::{
        CallerView,
        handle, //
    },
};

/// The least that hyper takes.
const LEAST_BUFFER_BYTES: usize = 8 * 1024;
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
const REFUSAL_PATIENCE: Duration = Duration::from_secs(1);
const TOO_MANY_CALLERS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    content-length: 0\r\n\
    connection: close\r\n\
    retry-after: 1\r\n\
    jasminebend-executed: no\r\n\
    jasminebend-reason: too_many_callers\r\n\r\n";

/// Serves callers until `stop` says so and every request in progress is answered.
pub(crate) async fn serve_callers(
    shared: Arc<GatewayShared>,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    let places = Arc::new(Semaphore::new(shared.settings.most_callers));
    let mut callers = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
            Some(_) = callers.join_next() => continue,
        };
        let Ok((stream, address)) = accepted else {
            // Too many open files, most likely: accepting again at once would only spin.
            warn!("[gateway] Cannot accept callers for now.");
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        match Arc::clone(&places).try_acquire_owned() {
            Ok(place) => {
                let shared = Arc::clone(&shared);
                let stop = stop.clone();
                callers.spawn(serve_caller(shared, stream, address, stop, place));
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
    shared: Arc<GatewayShared>,
    stream: TcpStream,
    address: SocketAddr,
    mut stop: watch::Receiver<bool>,
    _place: OwnedSemaphorePermit,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    gauge!(CALLERS).increment(1.0);
    let settings = Arc::clone(&shared.settings);
    let stream = CallerStream::new(stream, &settings);
    let two_lengths = stream.two_lengths();
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        let caller = CallerView {
            address: address.ip(),
            two_lengths: two_lengths.load(Ordering::Relaxed),
        };
        // Boxed, since hyper keeps room for it in every connection: idle ones need none.
        Box::pin(async move { Ok::<_, Infallible>(handle(shared, request, caller).await) })
    });
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.caller_idle)
        .max_buf_size(settings.most_head_bytes.max(LEAST_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let stopped = tokio::select! {
        // A caller's fault ends its connection and concerns nobody else.
        _ = connection.as_mut() => false,
        _ = stop.wait_for(|stop| *stop) => true,
    };
    if stopped {
        connection.as_mut().graceful_shutdown();
        connection.await.ok();
    }
    gauge!(CALLERS).decrement(1.0);
}

async fn refuse_caller(mut stream: TcpStream) {
    // A caller that takes no refusal gets none.
    timeout(REFUSAL_PATIENCE, async {
        stream.write_all(TOO_MANY_CALLERS).await?;
        stream.shutdown().await
    })
    .await
    .ok();
}
