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
    sync::{
        Semaphore,
        watch, //
    },
    task::JoinSet,
    time::{
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
        let connection_permits = Arc::new(Semaphore::new(server.limits.administration_connections));
        let mut connections = JoinSet::new();
        let mut stopped = stop.clone();
        loop {
            // At the connection limit, further connections wait in the listen backlog.
            let permit = Arc::clone(&connection_permits).acquire_owned();
            let accepted = tokio::select! {
                biased;
                _ = stopped.changed() => break,
                Some(_) = connections.join_next() => continue,
                accepted = async { (permit.await, listener.accept().await) } => accepted,
            };
            let (Ok(permit), Ok((stream, peer))) = accepted else {
                warn!("[administration] A connection could not be accepted.");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            debug!("[administration] {peer} connected.");
            let server = Arc::clone(&server);
            let stop = stop.clone();
            connections.spawn(async move {
                server.handle_connection(stream, peer.ip(), stop).await;
                drop(permit);
            });
        }
        drop(listener);
        while connections.join_next().await.is_some() {}
    }

    /// Performs the TLS handshake if a certificate is set, and serves the connection.
    async fn handle_connection(&self, stream: TcpStream, peer: IpAddr, stop: watch::Receiver<()>) {
        let Some(tls) = self.keys.as_ref().and_then(|keys| keys.tls()) else {
            return self.serve_http(stream, peer, stop).await;
        };
        let handshake = TlsAcceptor::from(tls).accept(stream);
        match timeout(HANDSHAKE_TIMEOUT, handshake).await {
            Ok(Ok(stream)) => self.serve_http(stream, peer, stop).await,
            Ok(Err(error)) => debug!("[administration] A TLS handshake failed: {error}."),
            Err(_) => debug!("[administration] A TLS handshake timed out."),
        }
    }

    /// Serves HTTP requests on a connection until it closes or `stop` fires.
    async fn serve_http<Stream>(&self, stream: Stream, peer: IpAddr, mut stop: watch::Receiver<()>)
    where
        Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let health_only = self.keys.is_none();
        let service = service_fn(|request: Request<Incoming>| async move {
            Ok::<_, Infallible>(self.service.answer(request, peer, health_only).await)
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
