//! The HTTP server that the stand-ins of the platform's services and of workers share.

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
    controlled_stream::ControlledStream,
    stream_controls::StreamControls,
    wire_response::{
        ResponseResult,
        refused_response, //
    }, //
};

/// The maximum size of a request's body, in bytes.
pub(crate) const MAX_CALL_BYTES: usize = 16 << 20;

/// Handles the requests of a server.
#[async_trait]
pub(crate) trait CallHandler: Send + Sync + 'static {
    /// Returns the access token that a caller must send; `None` if callers need none.
    fn token(&self) -> Option<&AccessToken>;

    /// Handles a request whose body was read completely.
    async fn answer(&self, head: Parts, body: Bytes, caller: SocketAddr) -> ResponseResult;
}

/// Binds an ephemeral port of the loopback interface and serves it until the returned guard is dropped.
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

/// Serves a listener until the returned guard is dropped.
pub(crate) fn serve<Handler>(listener: TcpListener, handler: Arc<Handler>) -> ServerGuard
where
    Handler: CallHandler,
{
    let controls = StreamControls::default();
    let (guard, closed) = ServerGuard::new(controls.clone());
    tokio::spawn(accept_all(listener, handler, controls, closed));
    guard
}

async fn accept_all<Handler>(
    listener: TcpListener,
    handler: Arc<Handler>,
    controls: StreamControls,
    mut closed: watch::Receiver<()>,
) where
    Handler: CallHandler,
{
    loop {
        tokio::select! {
            _ = closed.changed() => return,
            accepted = listener.accept() => {
                let Ok((stream, caller)) = accepted else { continue };
                let connection = serve_connection(stream, caller, Arc::clone(&handler), controls.clone());
                tokio::spawn(run_until_closed(connection, closed.clone()));
            }
        }
    }
}

async fn run_until_closed<Connection>(connection: Connection, mut closed: watch::Receiver<()>)
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
    controls: StreamControls,
) where
    Handler: CallHandler,
{
    // A connection without this option still works, only slower.
    let _ = stream.set_nodelay(true);
    let control = controls.add();
    let stream = ControlledStream::new(stream, control.clone());
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { answer(handler.as_ref(), request, caller).await }
    });
    // Errors of a connection are ignored: the caller sees them on its side.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    controls.remove(&control);
}

async fn answer<Handler>(
    handler: &Handler,
    request: Request<Incoming>,
    caller: SocketAddr,
) -> ResponseResult
where
    Handler: CallHandler,
{
    let (head, body) = request.into_parts();
    if !has_valid_token(handler.token(), &head) {
        return refused_response(StatusCode::UNAUTHORIZED, "the token is missing or wrong");
    }
    match Limited::new(body, MAX_CALL_BYTES).collect().await {
        Ok(body) => handler.answer(head, body.to_bytes(), caller).await,
        Err(_) => refused_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
    }
}

fn has_valid_token(token: Option<&AccessToken>, head: &Parts) -> bool {
    let Some(token) = token else {
        return true;
    };
    head.headers
        .get(AUTHORIZATION)
        .is_some_and(|value| value.as_bytes() == token.authorization_header().as_bytes())
}
