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
use jasminebend_ingress::{
    Connection,
    ConnectionTable, //
};
use metrics::{
    counter,
    gauge, //
};
use spdlog::warn;
use tokio::{
    io::AsyncWriteExt,
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
    task::JoinSet,
    time::{
        interval,
        sleep,
        timeout, //
    },
};

use crate::{
    answer_body::AnswerBody,
    caller_stream::CallerStream,
    class_metrics::CALLERS_METRIC,
    gateway_state::GatewayState,
    request_handler::{
        CallerInfo,
        handle_request, //
    },
};

const REFUSALS_METRIC: &str = "jasminebend_gateway_ingress_refusals_total";
/// The interval between two reports of what was refused.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// How long to wait after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long writing the response to a caller beyond the limit may take.
const REFUSAL_WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// The response to a caller beyond the limit of connections. Its request is not read: it may be the
/// retry of one that was run.
const TOO_MANY_CALLERS_RESPONSE: &[u8] = b"HTTP/1.1 504 Gateway Timeout\r\n\
    content-length: 0\r\n\
    connection: close\r\n\
    retry-after: 1\r\n\
    jasminebend-executed: unknown\r\n\
    jasminebend-reason: too_many_callers\r\n\r\n";

/// Serves callers until `stop` is true and every request in progress is answered.
pub(crate) async fn serve_callers(
    shared: Arc<GatewayState>,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    let mut report_due = interval(REPORT_INTERVAL);
    let mut callers = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
            Some(_) = callers.join_next() => continue,
            _ = report_due.tick() => {
                report_refusals(&shared.callers);
                continue;
            }
        };
        let (stream, address) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                // The likely cause is the limit of open files; retrying at once would be a busy loop.
                warn!("[gateway] Cannot accept callers for now.");
                shared.callers.handle_accept_error(&error);
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        match shared.callers.open().await {
            Some(connection) => {
                let shared = Arc::clone(&shared);
                let stop = stop.clone();
                let connection = Arc::new(connection);
                callers.spawn(serve_caller(shared, stream, address, stop, connection));
            }
            None => {
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
    client: Arc<Connection>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    gauge!(CALLERS_METRIC).increment(1.0);
    let settings = Arc::clone(&shared.settings);
    let stream = CallerStream::new(stream, &settings);
    let ambiguous_length = stream.ambiguous_length();
    let head_bytes = shared.callers.limits().head_bytes;
    let service = service_fn(|request| {
        let shared = Arc::clone(&shared);
        let client = Arc::clone(&client);
        let caller = CallerInfo {
            address: address.ip(),
            ambiguous_length: ambiguous_length.load(Ordering::Relaxed),
            connection: Arc::clone(&client),
        };
        // Boxed, because hyper reserves memory for the future in every connection, and an idle
        // connection needs none.
        Box::pin(async move {
            client.begin_request();
            let response = handle_request(shared, request, caller).await;
            Ok::<_, Infallible>(response.map(|body| AnswerBody::new(body, client)))
        })
    });
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.caller_idle_timeout)
        .max_buf_size(head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut is_stopping = false;
    loop {
        tokio::select! {
            biased;
            () = client.evicted() => break,
            // An error on this connection concerns only its caller.
            _ = connection.as_mut() => break,
            _ = stop.wait_for(|stop| *stop), if !is_stopping => {
                is_stopping = true;
                connection.as_mut().graceful_shutdown();
            }
        }
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

/// Logs and counts the connections and requests that were closed or refused since the last call.
fn report_refusals(callers: &ConnectionTable) {
    let refusals = callers.take_refusals();
    if refusals.is_empty() {
        return;
    }
    for (reason, count) in refusals.by_reason() {
        counter!(REFUSALS_METRIC, "reason" => reason).increment(count);
    }
    warn!("[gateway] Callers or requests were closed or refused at the limits: {refusals}.");
}
