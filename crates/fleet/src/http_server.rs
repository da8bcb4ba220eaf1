//! An HTTP/1.1 server.

use std::{
    cell::Cell,
    convert::Infallible,
    io,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::Display;
use http::{
    Request,
    Response, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
    task,
    time, //
};
use tokio_io_timeout::TimeoutStream;

/// The pause after a failed accept, which is most likely due to a lack of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The timeout for a request's head to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The timeout for a request's whole body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The timeout after which a connection ends whose client sends no byte of a request, or reads no byte of an answer.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Why reading a request's body failed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum BodyError {
    /// The body is larger than allowed, or the connection ended.
    #[display("the body is too large or ends early")]
    Broken,
    /// The body did not arrive in time.
    #[display("the body took too long")]
    Late,
}

/// Reads a request's body of at most `limit` bytes.
///
/// # Errors
///
/// Any [`BodyError`].
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    let collected = time::timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await;
    match collected {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(_)) => Err(BodyError::Broken),
        Err(_) => Err(BodyError::Late),
    }
}

/// Answers HTTP requests.
#[async_trait(?Send)]
pub trait HttpHandler {
    /// Answers a request.
    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>>;
}

/// The number of a server's open connections; clones share the count.
#[derive(Clone, Debug, Default)]
pub struct ConnectionCount {
    open: Rc<Cell<usize>>,
}

impl ConnectionCount {
    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }
}

/// Serves requests on an address until `stop` is true; each connection then ends after its current request.
///
/// # Errors
///
/// Any error from binding the address, with a text that names the address.
pub async fn serve<Handler>(
    address: SocketAddr,
    handler: Rc<Handler>,
    stop: watch::Receiver<bool>,
    count: ConnectionCount,
) -> io::Result<()>
where
    Handler: HttpHandler + 'static,
{
    let listener = TcpListener::bind(address)
        .await
        .map_err(|error| io::Error::new(error.kind(), format!("{address}: {error}")))?;
    serve_on(listener, handler, stop, count);
    Ok(())
}

/// Serves requests on a listener as [`serve`] does.
pub fn serve_on<Handler>(
    listener: TcpListener,
    handler: Rc<Handler>,
    stop: watch::Receiver<bool>,
    count: ConnectionCount,
) where
    Handler: HttpHandler + 'static,
{
    task::spawn_local(accept_connections(listener, handler, stop, count));
}

async fn accept_connections<Handler>(
    listener: TcpListener,
    handler: Rc<Handler>,
    stop: watch::Receiver<bool>,
    count: ConnectionCount,
) where
    Handler: HttpHandler + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let serving =
                    serve_connection(stream, Rc::clone(&handler), stop.clone(), count.clone());
                task::spawn_local(serving);
            }
            Err(_) => time::sleep(ACCEPT_RETRY_PAUSE).await,
        }
    }
}

async fn serve_connection<Handler>(
    stream: TcpStream,
    handler: Rc<Handler>,
    mut stop: watch::Receiver<bool>,
    count: ConnectionCount,
) where
    Handler: HttpHandler + 'static,
{
    // With Nagle's algorithm a small answer could wait for the acknowledgement of the previous one.
    drop(stream.set_nodelay(true));
    let mut stream = TimeoutStream::new(stream);
    stream.set_read_timeout(Some(STALL_TIMEOUT));
    stream.set_write_timeout(Some(STALL_TIMEOUT));
    count.open.set(count.open.get() + 1);
    let service = service_fn(|request| {
        let handler = Rc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(Box::pin(stream)), service);
    let mut serving = pin!(serving);
    tokio::select! {
        _ = serving.as_mut() => {}
        () = until_stopped(&mut stop) => {
            serving.as_mut().graceful_shutdown();
            // The client sees an error on its connection; there is no one else to report it to.
            drop(serving.await);
        }
    }
    count.open.set(count.open.get().saturating_sub(1));
}

/// Waits until `stop` is true, forever if the sender is dropped before.
pub(crate) async fn until_stopped(stop: &mut watch::Receiver<bool>) {
    if stop.wait_for(|stop| *stop).await.is_err() {
        std::future::pending::<()>().await;
    }
}
