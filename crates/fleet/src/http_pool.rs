//! A pool of HTTP client connections.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    io,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use derive_more::Display;
use http::{
    Request,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    body::Incoming,
    client::conn::http1::{
        self,
        SendRequest, //
    }, //
};
use hyper_util::rt::TokioIo;
use jasminebend_ingress::DescriptorShortage;
use tokio::{
    net::TcpStream,
    sync::{
        OwnedSemaphorePermit,
        Semaphore, //
    },
    task::JoinHandle,
    time, //
};

use crate::{
    CheckedReply,
    IncarnationCheck,
    IncarnationReader,
    PeerIncarnation,
    answer_deadline::AnswerDeadline, //
};

/// The connect timeout. Connecting to the farthest VM takes a fraction of it; a VM that lost power never answers.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// The pause before a connection is opened again that lacked a descriptor.
const DESCRIPTOR_RETRY_PAUSE: Duration = Duration::from_millis(10);
/// The most idle connections that are kept to one address.
const MAX_IDLE_PER_ADDRESS: usize = 6;
/// How long a connection may stay idle: one to a VM that lost power would otherwise stay open forever.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The interval at which idle connections that timed out are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);
/// The largest accepted answer, in bytes; a page of rows has 1 MB.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Why a call failed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum HttpError {
    /// The connection was refused: nothing listens at the address.
    #[display("the connection was refused")]
    ConnectionRefused,
    /// No byte of the request was sent.
    #[display("no connection")]
    NotSent,
    /// The request may have been sent, but the connection broke or the call timed out.
    #[display("no answer")]
    Unanswered,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// The HTTP status.
    pub status: StatusCode,
    /// The whole body.
    pub body: Bytes,
}

/// A pool of HTTP client connections. A call that times out closes all idle connections to its address: where one
/// connection went silent, the others of its age most likely did too.
#[derive(Debug, Default)]
pub struct HttpPool {
    idle: RefCell<HashMap<String, Vec<IdleConnection>>>,
    /// The most concurrent calls to one address; further calls wait. `None` means no limit.
    limit_per_address: Option<usize>,
    /// The semaphores that enforce the limit, by address.
    permits: RefCell<HashMap<String, Arc<Semaphore>>>,
    /// When a part of an answer last arrived, by address.
    data_arrivals: RefCell<HashMap<String, time::Instant>>,
    sweep_due: Cell<Option<time::Instant>>,
    /// Where a lack of descriptors is reported, if clients of the process can make room.
    shortage: Option<DescriptorShortage>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: PooledConnection,
    since: time::Instant,
}

#[derive(Debug)]
struct PooledConnection {
    /// The incarnation that answered on the connection, if it is known. The connection ends with it.
    incarnation: Option<PeerIncarnation>,
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl HttpPool {
    /// Creates a pool without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a pool with at most `limit_per_address` concurrent calls, and so connections, to one address.
    pub fn with_limit_per_address(limit_per_address: usize) -> Self {
        Self {
            limit_per_address: Some(limit_per_address),
            ..Self::default()
        }
    }

    /// Sets where a lack of descriptors is reported. A connection that lacks one is tried again until it times out.
    pub fn with_shortage(mut self, shortage: &DescriptorShortage) -> Self {
        self.shortage = Some(shortage.clone());
        self
    }

    /// Sends a request once and reads the whole answer, within `timeout`. A call that waits for the limit until its
    /// timeout is not sent.
    ///
    /// # Errors
    ///
    /// Any [`HttpError`], which shows whether a byte of the request may have been sent.
    pub async fn call(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<HttpReply, HttpError> {
        let deadline = AnswerDeadline::after(timeout);
        self.call_until(address, request, &deadline, None).await
    }

    /// Sends a request once, to any incarnation, and reads the whole answer within `timeout`. What the answer tells of the
    /// incarnation is kept with the connection.
    ///
    /// # Errors
    ///
    /// Any [`HttpError`], which shows whether a byte of the request may have been sent.
    pub async fn call_any_incarnation(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
        reader: IncarnationReader,
        timeout: Duration,
    ) -> Result<HttpReply, HttpError> {
        let deadline = AnswerDeadline::after(timeout);
        self.call_until(address, request, &deadline, Some(reader))
            .await
    }

    /// Sends a request once to the intended incarnation, and reads the whole answer, within `timeout`. It is sent only over a
    /// connection on which that incarnation has answered; a new connection is checked first, within as long a timeout.
    ///
    /// # Errors
    ///
    /// Any [`HttpError`], which shows whether a byte of the request may have been sent.
    pub async fn call_incarnation(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
        check: IncarnationCheck,
        timeout: Duration,
    ) -> Result<CheckedReply, HttpError> {
        let deadline = AnswerDeadline::after(timeout);
        let _permit = self.acquire_permit_until(address, &deadline).await?;
        let intended = check.intended;
        let mut request = request;
        while let Some(connection) = self.take_idle_to(address, intended) {
            match self.exchange(address, connection, request, &deadline).await {
                Ok((reply, connection)) => {
                    self.put_idle(address, connection);
                    return Ok(CheckedReply::Answered(reply));
                }
                Err(ExchangeError::NotSent(unsent)) => request = *unsent,
                Err(ExchangeError::Lost) => return Err(HttpError::Unanswered),
            }
        }
        let connection = self.connect_until(address, &deadline).await?;
        // The call itself has not been sent, whatever became of the check.
        let (reply, mut connection) = self
            .exchange(address, connection, check.request, &deadline)
            .await
            .map_err(|_| HttpError::NotSent)?;
        connection.incarnation = (check.reader)(&reply);
        if connection.incarnation != Some(intended) {
            let is_refused = connection.incarnation.is_none();
            self.put_idle(address, connection);
            return Ok(match is_refused {
                true => CheckedReply::CheckRefused(reply),
                false => CheckedReply::OtherIncarnation,
            });
        }
        // A worker that is slow to answer the check is as slow to answer the call.
        let deadline = AnswerDeadline::after(timeout);
        let (reply, connection) = self
            .exchange(address, connection, request, &deadline)
            .await?;
        self.put_idle(address, connection);
        Ok(CheckedReply::Answered(reply))
    }

    /// Sends a request once and reads an answer that may be large. It is given up once no part of it has arrived for
    /// `timeout`: on a narrow link an answer takes long, and giving it up makes the next one no faster.
    ///
    /// # Errors
    ///
    /// Any [`HttpError`], which shows whether a byte of the request may have been sent.
    pub async fn download(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<HttpReply, HttpError> {
        let deadline = AnswerDeadline::after_stall(timeout);
        self.call_until(address, request, &deadline, None).await
    }

    /// Returns how long ago a part of an answer from the address arrived; `None` if none ever did.
    pub fn data_age(&self, address: &str) -> Option<Duration> {
        let arrivals = self.data_arrivals.borrow();
        arrivals.get(address).map(time::Instant::elapsed)
    }

    async fn call_until(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
        deadline: &AnswerDeadline,
        reader: Option<IncarnationReader>,
    ) -> Result<HttpReply, HttpError> {
        let _permit = self.acquire_permit_until(address, deadline).await?;
        let mut request = request;
        while let Some(connection) = self.take_idle(address) {
            match self.exchange(address, connection, request, deadline).await {
                Ok(answered) => return Ok(self.finish_call(address, answered, reader)),
                Err(ExchangeError::NotSent(unsent)) => request = *unsent,
                Err(ExchangeError::Lost) => return Err(HttpError::Unanswered),
            }
        }
        let connection = self.connect_until(address, deadline).await?;
        let answered = self
            .exchange(address, connection, request, deadline)
            .await?;
        Ok(self.finish_call(address, answered, reader))
    }

    /// Keeps the connection of an answered call, with what the answer tells of the incarnation.
    fn finish_call(
        &self,
        address: &str,
        (reply, mut connection): (HttpReply, PooledConnection),
        reader: Option<IncarnationReader>,
    ) -> HttpReply {
        let told = reader.and_then(|read| read(&reply));
        connection.incarnation = told.or(connection.incarnation);
        self.put_idle(address, connection);
        reply
    }

    async fn connect_until(
        &self,
        address: &str,
        deadline: &AnswerDeadline,
    ) -> Result<PooledConnection, HttpError> {
        let due = deadline.within(CONNECT_TIMEOUT);
        let connection = time::timeout_at(due, self.connect(address)).await;
        connection.map_err(|_| HttpError::NotSent)?
    }

    async fn connect(&self, address: &str) -> Result<PooledConnection, HttpError> {
        loop {
            let error = match TcpStream::connect(address).await {
                Ok(stream) => return open(stream).await,
                Err(error) => error,
            };
            let shortage = self.shortage.as_ref();
            if !shortage.is_some_and(|shortage| shortage.report(&error)) {
                return Err(match error.kind() {
                    io::ErrorKind::ConnectionRefused => HttpError::ConnectionRefused,
                    _ => HttpError::NotSent,
                });
            }
            time::sleep(DESCRIPTOR_RETRY_PAUSE).await;
        }
    }

    /// Closes the idle connections to an address.
    pub fn close_idle_connections(&self, address: &str) {
        self.idle.borrow_mut().remove(address);
    }

    /// Waits for a permit to call the address until the deadline; returns `None` if the pool has no limit.
    async fn acquire_permit_until(
        &self,
        address: &str,
        deadline: &AnswerDeadline,
    ) -> Result<Option<OwnedSemaphorePermit>, HttpError> {
        self.sweep_if_due();
        tokio::select! {
            biased;
            permit = self.acquire_permit(address) => Ok(permit),
            () = deadline.passed() => Err(HttpError::NotSent),
        }
    }

    /// Waits for a permit to call the address; returns `None` if the pool has no limit.
    async fn acquire_permit(&self, address: &str) -> Option<OwnedSemaphorePermit> {
        let permits = {
            let mut permits = self.permits.borrow_mut();
            let limit_per_address = self.limit_per_address?;
            let entry = permits.entry(address.to_owned());
            Arc::clone(entry.or_insert_with(|| Arc::new(Semaphore::new(limit_per_address))))
        };
        // `acquire_owned` fails only on a closed semaphore, and these are never closed.
        permits.acquire_owned().await.ok()
    }

    fn take_idle(&self, address: &str) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(address)?;
        while let Some(idle) = connections.pop() {
            if !idle.connection.sender.is_closed() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Takes an idle connection on which this incarnation has answered, and closes those to others.
    fn take_idle_to(&self, address: &str, intended: PeerIncarnation) -> Option<PooledConnection> {
        if let Some(connections) = self.idle.borrow_mut().get_mut(address) {
            connections.retain(|idle| idle.connection.incarnation == Some(intended));
        }
        self.take_idle(address)
    }

    fn sweep_if_due(&self) {
        let now = time::Instant::now();
        if self.sweep_due.get().is_some_and(|due| now < due) {
            return;
        }
        self.sweep_due.set(Some(now + SWEEP_INTERVAL));
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| {
                now < idle.since + IDLE_TIMEOUT && !idle.connection.sender.is_closed()
            });
            !connections.is_empty()
        });
        self.permits
            .borrow_mut()
            .retain(|_, permits| Arc::strong_count(permits) > 1);
        self.data_arrivals
            .borrow_mut()
            .retain(|_, arrival| arrival.elapsed() < IDLE_TIMEOUT);
    }

    fn put_idle(&self, address: &str, connection: PooledConnection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address.to_owned()).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            let since = time::Instant::now();
            connections.push(IdleConnection { connection, since });
        }
    }

    async fn exchange(
        &self,
        address: &str,
        mut connection: PooledConnection,
        request: Request<Full<Bytes>>,
        deadline: &AnswerDeadline,
    ) -> Result<(HttpReply, PooledConnection), ExchangeError> {
        let record_data = || {
            deadline.extend();
            self.record_data(address);
        };
        let answer = tokio::select! {
            biased;
            answer = send(&mut connection, request, record_data) => answer,
            () = deadline.passed() => {
                self.close_idle_connections(address);
                return Err(ExchangeError::Lost);
            }
        };
        Ok((answer?, connection))
    }

    fn record_data(&self, address: &str) {
        let now = time::Instant::now();
        let mut arrivals = self.data_arrivals.borrow_mut();
        match arrivals.get_mut(address) {
            Some(arrival) => *arrival = now,
            None => drop(arrivals.insert(address.to_owned(), now)),
        }
    }
}

enum ExchangeError {
    NotSent(Box<Request<Full<Bytes>>>),
    Lost,
}

impl From<ExchangeError> for HttpError {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::NotSent(_) => Self::NotSent,
            ExchangeError::Lost => Self::Unanswered,
        }
    }
}

async fn open(stream: TcpStream) -> Result<PooledConnection, HttpError> {
    // With Nagle's algorithm a small request could wait for the acknowledgement of the previous one.
    drop(stream.set_nodelay(true));
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| HttpError::NotSent)?;
    let task = tokio::task::spawn_local(async move {
        // The calls on the connection report its errors.
        drop(connection.await);
    });
    Ok(PooledConnection {
        incarnation: None,
        sender,
        task,
    })
}

async fn send(
    connection: &mut PooledConnection,
    request: Request<Full<Bytes>>,
    record_data: impl Fn(),
) -> Result<HttpReply, ExchangeError> {
    if let Err(_closed) = connection.sender.ready().await {
        return Err(ExchangeError::NotSent(Box::new(request)));
    }
    let response = match connection.sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            return Err(match error.take_message() {
                Some(request) => ExchangeError::NotSent(Box::new(request)),
                None => ExchangeError::Lost,
            });
        }
    };
    let status = response.status();
    let body = collect_answer(response.into_body(), record_data).await?;
    Ok(HttpReply { status, body })
}

/// Copies the parts of an answer as they arrive: each is a slice that keeps the whole buffer it was read into.
async fn collect_answer(
    mut body: Incoming,
    record_data: impl Fn(),
) -> Result<Bytes, ExchangeError> {
    let mut collected = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ExchangeError::Lost)?;
        record_data();
        let Ok(part) = frame.into_data() else {
            continue;
        };
        if collected.len() + part.len() > MAX_ANSWER_BYTES {
            return Err(ExchangeError::Lost);
        }
        collected.extend_from_slice(&part);
    }
    Ok(Bytes::from(collected))
}
