//! The network between daemons over nng: one PULL socket to listen on, one PUSH socket a peer.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    sync::{
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use indexmap::IndexMap;
use jasminebend_wire::MAX_FRAME_BYTES;
use nng::{
    Aio, AioResult, Listener, ListenerBuilder, Message, Protocol, Socket,
    options::{
        LocalAddr,
        Options,
        ReconnectMaxTime,
        ReconnectMinTime,
        RecvBufferSize,
        RecvMaxSize,
        SendBufferSize, //
    },
};
use tokio::{
    net::TcpStream,
    sync::mpsc,
    time::timeout, //
};

use crate::{
    ClusterError,
    PeerLink,
    ProbeOutcome, //
};

/// How many received frames wait for the daemon; more are dropped, and heartbeats repeat.
const RECEIVE_QUEUE: usize = 512;

/// How many frames wait for a connection to a peer; more are dropped.
const SEND_QUEUE: i32 = 32;

const RECONNECT_MIN: Duration = Duration::from_millis(100);
const RECONNECT_MAX: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// The network between daemons over nng.
#[derive(Debug)]
pub struct NngLink {
    address: SocketAddr,
    listening: Mutex<Option<(Socket, Listener, Aio)>>,
    peers: Mutex<IndexMap<SocketAddr, Socket>>,
    frames: tokio::sync::Mutex<mpsc::Receiver<Bytes>>,
}

impl NngLink {
    /// Starts to listen. Port zero takes a free one.
    ///
    /// # Errors
    ///
    /// Returns [`ClusterError::Listen`] if the address cannot be used.
    pub fn new(listen: SocketAddr) -> Result<Self, ClusterError> {
        let failed = |cause| ClusterError::Listen {
            address: listen,
            cause,
        };
        let socket = Socket::new(Protocol::Pull0).map_err(failed)?;
        socket
            .set_opt::<RecvMaxSize>(MAX_FRAME_BYTES)
            .and_then(|()| socket.set_opt::<RecvBufferSize>(SEND_QUEUE))
            .map_err(failed)?;
        let (sender, frames) = mpsc::channel(RECEIVE_QUEUE);
        let listener = ListenerBuilder::new(&socket, &format!("tcp://{listen}"))
            .map_err(failed)?
            .start()
            .map_err(|(_, cause)| failed(cause))?;
        let address = bound_address(&listener, listen).ok_or(ClusterError::UnknownPort)?;
        let aio = receive_all(&socket, sender).map_err(failed)?;
        Ok(Self {
            address,
            listening: Mutex::new(Some((socket, listener, aio))),
            peers: Mutex::new(IndexMap::new()),
            frames: tokio::sync::Mutex::new(frames),
        })
    }

    fn connect(to: SocketAddr) -> Result<Socket, nng::Error> {
        let socket = Socket::new(Protocol::Push0)?;
        socket.set_opt::<SendBufferSize>(SEND_QUEUE)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
        socket.dial_async(&format!("tcp://{to}"))?;
        Ok(socket)
    }
}

/// Queues every frame that arrives; the callback runs on a thread of nng and must not block.
fn receive_all(socket: &Socket, sender: mpsc::Sender<Bytes>) -> Result<Aio, nng::Error> {
    let source = socket.clone();
    let aio = Aio::new(move |aio, result| {
        match result {
            AioResult::Recv(Ok(message)) => {
                let frame = Bytes::copy_from_slice(message.as_slice());
                if sender.try_send(frame).is_err() {
                    metrics::counter!("jasminebend_peer_frames_dropped_total").increment(1);
                }
            }
            AioResult::Recv(Err(nng::Error::Closed | nng::Error::Canceled)) => return,
            _ => (),
        }
        let _ = source.recv_async(&aio);
    })?;
    socket.recv_async(&aio)?;
    Ok(aio)
}

/// Returns the address that peers are told. A wrong one is worse than none: it refuses, and peers
/// take this daemon for gone while it lives.
fn bound_address(listener: &Listener, listen: SocketAddr) -> Option<SocketAddr> {
    if listen.port() != 0 {
        return Some(listen);
    }
    let port = match listener.get_opt::<LocalAddr>().ok()? {
        nng::SocketAddr::Inet(bound) => bound.port(),
        nng::SocketAddr::Inet6(bound) => bound.port(),
        _ => return None,
    };
    // The library passes the port on as the C side keeps it, in network byte order.
    Some(SocketAddr::new(listen.ip(), u16::from_be(port)))
}

#[async_trait]
impl PeerLink for NngLink {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn send(&self, to: SocketAddr, frame: Bytes) {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if !peers.contains_key(&to) {
            match Self::connect(to) {
                Ok(socket) => peers.insert(to, socket),
                Err(_) => return,
            };
        }
        let sent = peers
            .get(&to)
            .is_some_and(|socket| socket.try_send(Message::from(&frame[..])).is_ok());
        if !sent {
            metrics::counter!("jasminebend_peer_sends_dropped_total").increment(1);
        }
    }

    fn reset(&self, to: SocketAddr) {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(socket) = peers.swap_remove(&to) {
            socket.close();
        }
    }

    async fn receive(&self, limit: usize) -> Vec<Bytes> {
        let mut frames = Vec::new();
        self.frames.lock().await.recv_many(&mut frames, limit).await;
        frames
    }

    async fn probe(&self, address: SocketAddr) -> ProbeOutcome {
        match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(_)) => ProbeOutcome::Listens,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProbeOutcome::Refused,
            Ok(Err(_)) | Err(_) => ProbeOutcome::Silent,
        }
    }

    fn close(&self) {
        let listening = self
            .listening
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some((socket, listener, aio)) = listening {
            listener.close();
            socket.close();
            // Were this the last handle but that of a callback in progress, the callback would drop
            // the operation and wait for its own end, and receivers would never learn of the
            // close. The closed socket ends the callback, and no other follows.
            aio.wait();
        }
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        for (_, socket) in peers.drain(..) {
            socket.close();
        }
    }
}

impl Drop for NngLink {
    fn drop(&mut self) {
        self.close();
    }
}
