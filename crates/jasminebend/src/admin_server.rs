//! The HTTP server of the administration API.

use std::{
    convert::Infallible,
    net::IpAddr,
    sync::Arc,
    time::Duration, //
};

use http::Request;
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use jasminebend_ingress::{
    Connection,
    ConnectionLimits,
    ConnectionTable, //
};
use spdlog::{
    debug,
    warn, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite, //
    },
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
    }, //
};
use tokio_io_timeout::TimeoutStream;
use tokio_rustls::TlsAcceptor;

use crate::{
    AccessKeys,
    LimitSettings,
    admin_service::AdminService, //
};

const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);
const REFUSALS_METRIC: &str = "jasminebend_administration_ingress_refusals_total";
/// The interval between two reports of what was refused.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The delay after a failed accept, so that a lasting error does not use a whole core.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The HTTP server of the administration API, for operators, the balancer and the metrics scraper.
pub(crate) struct AdminServer {
    service: Arc<AdminService>,
    /// `None` serves only health, readiness and metrics, in plain HTTP.
    keys: Option<Arc<AccessKeys>>,
    limits: LimitSettings,
}

impl AdminServer {
    /// Creates a server of the whole API, over TLS if a certificate is set.
    pub(crate) fn new(
        service: Arc<AdminService>,
        keys: Arc<AccessKeys>,
        limits: LimitSettings,
    ) -> Self {
        Self {
            service,
            keys: Some(keys),
            limits,
        }
    }

    /// Creates a plain HTTP server of health, readiness and metrics only.
    pub(crate) fn health_only(service: Arc<AdminService>, limits: LimitSettings) -> Self {
        Self {
            service,
            keys: None,
            limits,
        }
    }

    /// Serves until the sender of `stop` is dropped, then finishes the requests in progress.
    pub(crate) async fn serve(self, listener: TcpListener, stop: watch::Receiver<()>) {
        let server = Arc::new(self);
        let table = server.connection_table();
        let mut report_due = interval(REPORT_INTERVAL);
        let mut connections = JoinSet::new();
        let mut stopped = stop.clone();
        loop {
            let accepted = tokio::select! {
                biased;
                _ = stopped.changed() => break,
                Some(_) = connections.join_next() => continue,
                _ = report_due.tick() => {
                    report_refusals(&table);
                    continue;
                }
                accepted = listener.accept() => accepted,
            };
            let (stream, peer) = match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    warn!("[administration] A connection could not be accepted.");
                    table.handle_accept_error(&error);
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            // While every connection has a request in progress, further connections wait in the listen backlog.
            let connection = tokio::select! {
                biased;
                _ = stopped.changed() => break,
                connection = table.open_when_free() => connection,
            };
            debug!("[administration] {peer} connected.");
            let server = Arc::clone(&server);
            let stop = stop.clone();
            connections.spawn(async move {
                let connection = Arc::new(connection);
                tokio::select! {
                    biased;
                    () = connection.evicted() => {}
                    () = server.handle_connection(stream, peer.ip(), stop, Arc::clone(&connection)) => {}
                }
            });
        }
        drop(listener);
        while connections.join_next().await.is_some() {}
    }

    fn connection_table(&self) -> ConnectionTable {
        ConnectionTable::new(ConnectionLimits {
            connections: self.limits.administration_connections,
            request_bytes: self.limits.administration_memory,
            head_bytes: self.limits.headers,
        })
    }

    /// Performs the TLS handshake if a certificate is set, and serves the connection.
    async fn handle_connection(
        &self,
        stream: TcpStream,
        peer: IpAddr,
        stop: watch::Receiver<()>,
        connection: Arc<Connection>,
    ) {
        let Some(tls) = self.keys.as_ref().and_then(|keys| keys.tls()) else {
            return self.serve_http(stream, peer, stop, connection).await;
        };
        let handshake = TlsAcceptor::from(tls).accept(stream);
        match timeout(HANDSHAKE_TIMEOUT, handshake).await {
            Ok(Ok(stream)) => self.serve_http(stream, peer, stop, connection).await,
            Ok(Err(error)) => debug!("[administration] A TLS handshake failed: {error}."),
            Err(_) => debug!("[administration] A TLS handshake timed out."),
        }
    }

    /// Serves HTTP requests on a connection until it closes or `stop` fires.
    async fn serve_http<Stream>(
        &self,
        stream: Stream,
        peer: IpAddr,
        mut stop: watch::Receiver<()>,
        client: Arc<Connection>,
    ) where
        Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let health_only = self.keys.is_none();
        let service = service_fn(|request: Request<Incoming>| {
            let client = Arc::clone(&client);
            async move {
                client.begin_request();
                let answer = self.service.answer(request, &client, peer, health_only);
                let answer = answer.await;
                client.end_request();
                Ok::<_, Infallible>(answer)
            }
        });
        let mut stream = TimeoutStream::new(stream);
        stream.set_write_timeout(Some(self.limits.administration_timeout));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(REQUEST_HEAD_TIMEOUT.min(self.limits.administration_timeout))
            .max_buf_size(self.limits.headers)
            .serve_connection(TokioIo::new(Box::pin(stream)), service);
        let mut connection = std::pin::pin!(connection);
        let outcome = tokio::select! {
            outcome = connection.as_mut() => outcome,
            _ = stop.changed() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = outcome {
            debug!("[administration] A connection ended early: {error}.");
        }
    }
}

/// Logs and counts the connections and requests that were closed or refused since the last call.
fn report_refusals(table: &ConnectionTable) {
    let refusals = table.take_refusals();
    if refusals.is_empty() {
        return;
    }
    for (reason, count) in refusals.by_reason() {
        metrics::counter!(REFUSALS_METRIC, "reason" => reason).increment(count);
    }
    warn!(
        "[administration] Connections or requests were closed or refused at the limits: {refusals}."
    );
}
