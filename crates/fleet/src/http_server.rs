//! An HTTP/1.1 server.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use async_trait::async_trait;
use bytes::Bytes;
use http::{
    Request,
    Response, //
};
use http_body_util::Full;
use hyper::{
    body::{
        Body,
        Incoming, //
    },
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use jasminebend_ingress::{
    BodyError,
    Connection,
    ConnectionTable,
    listen, //
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

/// The pause in accepting connections while descriptors are scarce.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(50);
/// The timeout for a request's head to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The timeout for a request's whole body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The timeout after which a connection ends whose client sends no byte of a request, or reads no byte of an answer.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The body of a request, with the connection that it arrives on.
pub struct RequestBody {
    incoming: Incoming,
    connection: Rc<Connection>,
}

impl RequestBody {
    /// Reads a body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Any [`BodyError`].
    pub async fn read(&mut self, limit: usize) -> Result<Bytes, BodyError> {
        let incoming = &mut self.incoming;
        self.connection
            .read_body(incoming, limit, BODY_TIMEOUT)
            .await
    }

    /// Reads and drops a body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Any [`BodyError`] but [`BodyError::NoMemory`].
    pub async fn skip(&mut self, limit: usize) -> Result<(), BodyError> {
        let incoming = &mut self.incoming;
        self.connection
            .skip_body(incoming, limit, BODY_TIMEOUT)
            .await
    }

    /// Counts further memory of the request until it is answered.
    ///
    /// # Errors
    ///
    /// [`BodyError::NoMemory`] if there is none.
    pub fn reserve(&self, bytes: usize) -> Result<(), BodyError> {
        self.connection.reserve(bytes)
    }
}

/// Answers HTTP requests.
#[async_trait(?Send)]
pub trait HttpHandler {
    /// Answers a request.
    async fn handle(&self, request: Request<RequestBody>) -> Response<Full<Bytes>>;
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
    table: ConnectionTable,
) -> io::Result<()>
where
    Handler: HttpHandler + 'static,
{
    let listener = listen(address)
        .map_err(|error| io::Error::new(error.kind(), format!("{address}: {error}")))?;
    serve_on(listener, handler, stop, table);
    Ok(())
}

/// Serves requests on a listener as [`serve`] does.
pub fn serve_on<Handler>(
    listener: TcpListener,
    handler: Rc<Handler>,
    stop: watch::Receiver<bool>,
    table: ConnectionTable,
) where
    Handler: HttpHandler + 'static,
{
    task::spawn_local(accept_connections(listener, handler, stop, table));
}

async fn accept_connections<Handler>(
    listener: TcpListener,
    handler: Rc<Handler>,
    stop: watch::Receiver<bool>,
    table: ConnectionTable,
) where
    Handler: HttpHandler + 'static,
{
    loop {
        let accepted = tokio::select! {
            biased;
            () = table.yield_on_shortage() => {
                time::sleep(SHORTAGE_PAUSE).await;
                continue;
            }
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Some(connection) = table.open().await {
                    let head_bytes = table.limits().head_bytes;
                    let handler = Rc::clone(&handler);
                    let serving =
                        serve_connection(stream, handler, stop.clone(), connection, head_bytes);
                    task::spawn_local(serving);
                }
            }
            Err(error) => {
                table.handle_accept_error(&error);
                time::sleep(SHORTAGE_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<Handler>(
    stream: TcpStream,
    handler: Rc<Handler>,
    mut stop: watch::Receiver<bool>,
    connection: Connection,
    head_bytes: usize,
) where
    Handler: HttpHandler + 'static,
{
    // With Nagle's algorithm a small answer could wait for the acknowledgement of the previous one.
    drop(stream.set_nodelay(true));
    let mut stream = TimeoutStream::new(stream);
    stream.set_read_timeout(Some(STALL_TIMEOUT));
    stream.set_write_timeout(Some(STALL_TIMEOUT));
    let connection = Rc::new(connection);
    let service = service_fn(|request| {
        let (handler, connection) = (Rc::clone(&handler), Rc::clone(&connection));
        async move { Ok::<_, Infallible>(answer(&*handler, request, connection).await) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(head_bytes)
        .serve_connection(TokioIo::new(Box::pin(stream)), service);
    let mut serving = pin!(serving);
    let mut is_stopping = false;
    loop {
        tokio::select! {
            biased;
            () = connection.evicted() => break,
            // The client sees an error on its connection; there is no one else to report it to.
            _ = serving.as_mut() => break,
            () = until_stopped(&mut stop), if !is_stopping => {
                is_stopping = true;
                serving.as_mut().graceful_shutdown();
            }
        }
    }
}

async fn answer<Handler>(
    handler: &Handler,
    request: Request<Incoming>,
    connection: Rc<Connection>,
) -> Response<Full<Bytes>>
where
    Handler: HttpHandler,
{
    connection.begin_request();
    if request.body().is_end_stream() && connection.complete_request().is_err() {
        // The connection closes before the answer is due.
        std::future::pending::<()>().await;
    }
    let request = request.map(|incoming| RequestBody {
        incoming,
        connection: Rc::clone(&connection),
    });
    let response = handler.handle(request).await;
    connection.end_request();
    response
}

/// Waits until `stop` is true, forever if the sender is dropped before.
pub(crate) async fn until_stopped(stop: &mut watch::Receiver<bool>) {
    if stop.wait_for(|stop| *stop).await.is_err() {
        std::future::pending::<()>().await;
    }
}
