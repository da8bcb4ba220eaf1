//! The HTTP server under the stand-ins.

use std::{
    io,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    sync::Arc, //
};

use async_trait::async_trait;
use bytes::Bytes;
use http::{
    Request,
    StatusCode,
    header::AUTHORIZATION,
    request::Parts, //
};
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use jasminebend_ports::AccessToken;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch, //
};

use crate::{
    ServerGuard,
    tap_set::TapSet,
    tapped_stream::TappedStream,
    wire_answer::{
        WireResult,
        refuse, //
    }, //
};

/// The most bytes that a call's body may have.
pub(crate) const MAX_CALL_BYTES: usize = 16 << 20;

/// What answers the calls of a server.
#[async_trait]
pub(crate) trait CallHandler: Send + Sync + 'static {
    /// The token that a caller must show.
    fn token(&self) -> Option<&AccessToken>;

    /// Answers a call that was read whole.
    async fn answer(&self, head: Parts, body: Bytes, caller: SocketAddr) -> WireResult;
}

/// Binds an ephemeral port of the loopback interface and serves it.
pub(crate) async fn start<Handler>(
    handler: Arc<Handler>,
) -> Result<(SocketAddr, ServerGuard), io::Error>
where
    Handler: CallHandler,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    Ok((address, serve(listener, handler)))
}

/// Serves a listener until the guard is dropped.
pub(crate) fn serve<Handler>(listener: TcpListener, handler: Arc<Handler>) -> ServerGuard
where
    Handler: CallHandler,
{
    let taps = TapSet::default();
    let (guard, closed) = ServerGuard::new(taps.clone());
    tokio::spawn(accept_all(listener, handler, taps, closed));
    guard
}

async fn accept_all<Handler>(
    listener: TcpListener,
    handler: Arc<Handler>,
    taps: TapSet,
    mut closed: watch::Receiver<()>,
) where
    Handler: CallHandler,
{
    loop {
        tokio::select! {
            _ = closed.changed() => return,
            accepted = listener.accept() => {
                let Ok((stream, caller)) = accepted else { continue };
                let connection = serve_connection(stream, caller, Arc::clone(&handler), taps.clone());
                tokio::spawn(until_closed(connection, closed.clone()));
            }
        }
    }
}

async fn until_closed<Connection>(connection: Connection, mut closed: watch::Receiver<()>)
where
    Connection: Future<Output = ()>,
{
    tokio::select! {
        _ = closed.changed() => {}
        () = connection => {}
    }
}

async fn serve_connection<Handler>(
    stream: TcpStream,
    caller: SocketAddr,
    handler: Arc<Handler>,
    taps: TapSet,
) where
    Handler: CallHandler,
{
    // A connection that doesn't take the option works all the same, only slower.
    let _ = stream.set_nodelay(true);
    let tap = taps.add();
    let stream = TappedStream::new(stream, tap.clone());
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { answer(handler.as_ref(), request, caller).await }
    });
    // How a connection ended is its caller's matter.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    taps.remove(&tap);
}

async fn answer<Handler>(
    handler: &Handler,
    request: Request<Incoming>,
    caller: SocketAddr,
) -> WireResult
where
    Handler: CallHandler,
{
    let (head, body) = request.into_parts();
    if !is_allowed(handler.token(), &head) {
        return refuse(StatusCode::UNAUTHORIZED, "the token is missing or wrong");
    }
    match Limited::new(body, MAX_CALL_BYTES).collect().await {
        Ok(body) => handler.answer(head, body.to_bytes(), caller).await,
        Err(_) => refuse(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
    }
}

fn is_allowed(token: Option<&AccessToken>, head: &Parts) -> bool {
    let Some(token) = token else {
        return true;
    };
    head.headers
        .get(AUTHORIZATION)
        .is_some_and(|value| value.as_bytes() == token.header().as_bytes())
}
