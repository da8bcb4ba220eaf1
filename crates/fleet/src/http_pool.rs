//! A pool of HTTP client connections.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
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
    Full,
    Limited, //
};
use hyper::client::conn::http1::{
    self,
    SendRequest, //
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    sync::{
        OwnedSemaphorePermit,
        Semaphore, //
    },
    task::JoinHandle,
    time, //
};

/// The connect timeout. Connecting to the farthest VM takes a fraction of it; a VM that lost power never answers.
const CONNECT: Duration = Duration::from_millis(700);
/// The most idle connections that are kept to one address.
const IDLE: usize = 6;
/// How long a connection may stay idle: one to a VM that lost power would otherwise stay open for ever.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The interval at which idle connections that timed out are closed.
const SWEEP_EVERY: Duration = Duration::from_secs(10);
/// The largest accepted answer, in bytes; a page of rows has 1 MB.
const LARGEST_ANSWER: usize = 16 << 20;

/// Why a call failed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum HttpFault {
    /// The connection was refused: nothing listens at the address.
    #[display("the connection was refused")]
    Closed,
    /// No byte of the request was sent.
    #[display("no connection")]
    Unsent,
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
    most: Option<usize>,
    /// The semaphores that enforce the limit, by address.
    turns: RefCell<HashMap<String, Arc<Semaphore>>>,
    sweep_due: Cell<Option<time::Instant>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: PooledConnection,
    since: time::Instant,
}

#[derive(Debug)]
struct PooledConnection {
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

    /// Creates a pool with at most `most` concurrent calls, and so connections, to one address.
    pub fn with_most(most: usize) -> Self {
        Self {
            most: Some(most),
            ..Self::default()
        }
    }

    /// Sends a request once and reads the whole answer, within `timeout`. A call that waits for the limit until its timeout
    /// is not sent.
    ///
    /// # Errors
    ///
    /// Any [`HttpFault`], which shows whether a byte of the request may have been sent.
    pub async fn call(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<HttpReply, HttpFault> {
        self.sweep_if_due();
        let started = time::Instant::now();
        let turn = time::timeout(timeout, self.turn(address)).await;
        let _turn = turn.map_err(|_| HttpFault::Unsent)?;
        let timeout = timeout.saturating_sub(started.elapsed());
        let mut request = request;
        while let Some(connection) = self.take(address) {
            match self.exchange(address, connection, request, timeout).await {
                Ok(reply) => return Ok(reply),
                Err(Failed::NotSent(unsent)) => request = *unsent,
                Err(Failed::Lost) => return Err(HttpFault::Unanswered),
            }
        }
        let connecting = time::Instant::now();
        let connection = time::timeout(timeout.min(CONNECT), connect(address)).await;
        let connection = connection.map_err(|_| HttpFault::Unsent)??;
        let left = timeout.saturating_sub(connecting.elapsed());
        match self.exchange(address, connection, request, left).await {
            Ok(reply) => Ok(reply),
            Err(Failed::NotSent(_)) => Err(HttpFault::Unsent),
            Err(Failed::Lost) => Err(HttpFault::Unanswered),
        }
    }

    /// Closes the idle connections to an address.
    pub fn forget(&self, address: &str) {
        self.idle.borrow_mut().remove(address);
    }

    /// Waits for a permit to call the address; returns `None` if the pool has no limit.
    async fn turn(&self, address: &str) -> Option<OwnedSemaphorePermit> {
        let turns = {
            let mut turns = self.turns.borrow_mut();
            let most = self.most?;
            let entry = turns.entry(address.to_owned());
            Arc::clone(entry.or_insert_with(|| Arc::new(Semaphore::new(most))))
        };
        // `acquire_owned` fails only on a closed semaphore, and these are never closed.
        turns.acquire_owned().await.ok()
    }

    fn take(&self, address: &str) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(address)?;
        while let Some(idle) = connections.pop() {
            if !idle.connection.sender.is_closed() {
                return Some(idle.connection);
            }
        }
        None
    }

    fn sweep_if_due(&self) {
        let now = time::Instant::now();
        if self.sweep_due.get().is_some_and(|due| now < due) {
            return;
        }
        self.sweep_due.set(Some(now + SWEEP_EVERY));
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| {
                now < idle.since + IDLE_TIMEOUT && !idle.connection.sender.is_closed()
            });
            !connections.is_empty()
        });
        self.turns
            .borrow_mut()
            .retain(|_, turns| Arc::strong_count(turns) > 1);
    }

    fn keep(&self, address: &str, connection: PooledConnection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address.to_owned()).or_default();
        if connections.len() < IDLE {
            let since = time::Instant::now();
            connections.push(IdleConnection { connection, since });
        }
    }

    async fn exchange(
        &self,
        address: &str,
        mut connection: PooledConnection,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<HttpReply, Failed> {
        match time::timeout(timeout, send(&mut connection, request)).await {
            Ok(Ok(reply)) => {
                self.keep(address, connection);
                Ok(reply)
            }
            Ok(Err(failed)) => Err(failed),
            Err(_) => {
                self.forget(address);
                Err(Failed::Lost)
            }
        }
    }
}

enum Failed {
    NotSent(Box<Request<Full<Bytes>>>),
    Lost,
}

async fn connect(address: &str) -> Result<PooledConnection, HttpFault> {
    let stream = TcpStream::connect(address).await.map_err(|error| {
        match error.kind() == std::io::ErrorKind::ConnectionRefused {
            true => HttpFault::Closed,
            false => HttpFault::Unsent,
        }
    })?;
    // With Nagle's algorithm a small request could wait for the acknowledgement of the previous one.
    drop(stream.set_nodelay(true));
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| HttpFault::Unsent)?;
    let task = tokio::task::spawn_local(async move {
        // The calls on the connection report its errors.
        drop(connection.await);
    });
    Ok(PooledConnection { sender, task })
}

async fn send(
    connection: &mut PooledConnection,
    request: Request<Full<Bytes>>,
) -> Result<HttpReply, Failed> {
    if let Err(_closed) = connection.sender.ready().await {
        return Err(Failed::NotSent(Box::new(request)));
    }
    let response = match connection.sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            return Err(match error.take_message() {
                Some(request) => Failed::NotSent(Box::new(request)),
                None => Failed::Lost,
            });
        }
    };
    let status = response.status();
    let body = Limited::new(response.into_body(), LARGEST_ANSWER)
        .collect()
        .await
        .map_err(|_| Failed::Lost)?;
    Ok(HttpReply {
        status,
        body: body.to_bytes(),
    })
}
