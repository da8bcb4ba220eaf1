//! The network between daemons over TCP: each sends on connections of its own and receives on those of its peers.

use std::{
    io::{
        self,
        ErrorKind, //
    },
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
use tokio::{
    net::TcpStream,
    sync::mpsc,
    task::AbortHandle,
    time::timeout, //
};

use crate::{
    ClusterError,
    PeerLink,
    ProbeOutcome,
    frame_receiver::FrameReceiver,
    frame_sender::send_frames, //
};

/// How many received frames wait for the daemon; more are dropped, and heartbeats repeat.
const RECEIVE_QUEUE: usize = 512;
/// How many frames wait for a connection to a peer; more are dropped.
const SEND_QUEUE: usize = 32;
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// The network between daemons over TCP.
#[derive(Debug)]
pub struct TcpLink {
    address: SocketAddr,
    receiver: AbortHandle,
    peers: Mutex<IndexMap<SocketAddr, PeerSender>>,
    frames: tokio::sync::Mutex<mpsc::Receiver<Bytes>>,
}

/// Frames on their way to one peer.
#[derive(Debug)]
struct PeerSender {
    frames: mpsc::Sender<Bytes>,
    task: AbortHandle,
}

impl Drop for PeerSender {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl PeerSender {
    fn new(to: SocketAddr) -> Self {
        let (sender, frames) = mpsc::channel(SEND_QUEUE);
        Self {
            frames: sender,
            task: tokio::spawn(send_frames(to, frames)).abort_handle(),
        }
    }

    /// Tells whether nothing was sent to the peer for so long that its connection was closed.
    fn has_ended(&self) -> bool {
        self.frames.is_closed()
    }
}

impl TcpLink {
    /// Starts to listen, within a runtime. Port zero takes a free one.
    ///
    /// # Errors
    ///
    /// Returns [`ClusterError::Listen`] if the address cannot be used.
    pub fn new(listen: SocketAddr) -> Result<Self, ClusterError> {
        let failed = |cause| ClusterError::Listen {
            address: listen,
            cause,
        };
        let listener = bind(listen).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let (sender, frames) = mpsc::channel(RECEIVE_QUEUE);
        let receiver = FrameReceiver::new(listener, sender);
        Ok(Self {
            address,
            receiver: tokio::spawn(receiver.run()).abort_handle(),
            peers: Mutex::new(IndexMap::new()),
            frames: tokio::sync::Mutex::new(frames),
        })
    }
}

fn bind(listen: SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let listener = std::net::TcpListener::bind(listen)?;
    listener.set_nonblocking(true)?;
    tokio::net::TcpListener::from_std(listener)
}

#[async_trait]
impl PeerLink for TcpLink {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn send(&self, to: SocketAddr, frame: Bytes) {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if peers.get(&to).is_none_or(PeerSender::has_ended) {
            peers.retain(|_, peer| !peer.has_ended());
            peers.insert(to, PeerSender::new(to));
        }
        let Some(peer) = peers.get(&to) else {
            return;
        };
        if frame.len() > MAX_FRAME_BYTES || peer.frames.try_send(frame).is_err() {
            metrics::counter!("jasminebend_peer_sends_dropped_total").increment(1);
        }
    }

    fn reset(&self, to: SocketAddr) {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.swap_remove(&to);
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
        self.receiver.abort();
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.clear();
    }
}

impl Drop for TcpLink {
    fn drop(&mut self) {
        self.close();
    }
}
