//! Listens for operators, the balancer and the scraper.

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

const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Listens for operators, the balancer and the scraper.
pub(crate) struct AdminServer {
    service: Arc<AdminService>,
    keys: Option<Arc<AccessKeys>>,
    limits: LimitSettings,
}

impl AdminServer {
    /// Serves the whole API, over TLS if there is a certificate.
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

    /// Serves health, readiness and metrics only, in plain HTTP.
    pub(crate) fn health_only(service: Arc<AdminService>, limits: LimitSettings) -> Self {
        Self {
            service,
            keys: None,
            limits,
        }
    }

    /// Serves until the sender of `stop` is dropped; requests in progress are finished.
    pub(crate) async fn serve(self, listener: TcpListener, stop: watch::Receiver<()>) {
        let server = Arc::new(self);
        let places = Arc::new(Semaphore::new(server.limits.administration_connections));
        let mut connections = JoinSet::new();
        let mut stopped = stop.clone();
        loop {
            // A full house leaves the next connection in the backlog.
            let place = Arc::clone(&places).acquire_owned();
            let accepted = tokio::select! {
                biased;
                _ = stopped.changed() => break,
                Some(_) = connections.join_next() => continue,
                accepted = async { (place.await, listener.accept().await) } => accepted,
            };
            let (Ok(place), Ok((stream, peer))) = accepted else {
                warn!("[administration] A connection could not be accepted.");
                sleep(ACCEPT_PAUSE).await;
                continue;
            };
            debug!("[administration] {peer} connected.");
            let server = Arc::clone(&server);
            let stop = stop.clone();
            connections.spawn(async move {
                server.connect(stream, peer.ip(), stop).await;
                drop(place);
            });
        }
        drop(listener);
        while connections.join_next().await.is_some() {}
    }

    async fn connect(&self, stream: TcpStream, peer: IpAddr, stop: watch::Receiver<()>) {
        let Some(tls) = self.keys.as_ref().and_then(|keys| keys.tls()) else {
            return self.converse(stream, peer, stop).await;
        };
        let handshake = TlsAcceptor::from(tls).accept(stream);
        match timeout(HANDSHAKE_TIMEOUT, handshake).await {
            Ok(Ok(stream)) => self.converse(stream, peer, stop).await,
            Ok(Err(error)) => debug!("[administration] A TLS handshake failed: {error}."),
            Err(_) => debug!("[administration] A TLS handshake took too long."),
        }
    }

    async fn converse<Stream>(&self, stream: Stream, peer: IpAddr, mut stop: watch::Receiver<()>)
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
            .header_read_timeout(HEAD_TIMEOUT.min(self.limits.administration_timeout))
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
