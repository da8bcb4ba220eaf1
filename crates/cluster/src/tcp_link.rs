//! The network between daemons over TCP. A daemon sends frames on the connections that it opens, and
//! receives frames on the connections that its peers open.

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
use jasminebend_ingress::ConnectionLimits;
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

/// The maximum number of received frames that wait for [`PeerLink::receive`]. Further ones are dropped,
/// which is harmless, as members repeat their heartbeats.
const MAX_QUEUED_RECEIVED_FRAMES: usize = 512;
/// The maximum number of frames that wait to be sent to a peer; further ones are dropped.
const MAX_QUEUED_SENT_FRAMES: usize = 32;
/// The default limits on what peers may hold: connections, and bytes of incomplete frames. Frames have no head.
pub(crate) const DEFAULT_PEER_LIMITS: ConnectionLimits = ConnectionLimits {
    connections: 1024,
    request_bytes: 16 << 20,
    head_bytes: 0,
};
/// The time limit of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// The network between daemons over TCP. Closes when it is dropped.
#[derive(Debug)]
pub struct TcpLink {
    /// The address on which it listens, with the actual port.
    address: SocketAddr,
    /// The task that accepts connections and receives frames.
    receiver: AbortHandle,
    /// The senders to the peers, by address.
    peers: Mutex<IndexMap<SocketAddr, PeerSender>>,
    /// The received frames.
    frames: tokio::sync::Mutex<mpsc::Receiver<Bytes>>,
}

/// The queue of frames to one peer, and the task that sends them. The task ends when this is dropped.
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
        let (sender, frames) = mpsc::channel(MAX_QUEUED_SENT_FRAMES);
        Self {
            frames: sender,
            task: tokio::spawn(send_frames(to, frames)).abort_handle(),
        }
    }

    /// Returns whether the task has ended, because no frame was sent to the peer for a while.
    fn has_ended(&self) -> bool {
        self.frames.is_closed()
    }
}

impl TcpLink {
    /// Starts to listen; must be called within a Tokio runtime. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns [`ClusterError::Listen`] if the address cannot be bound.
    pub fn new(listen: SocketAddr) -> Result<Self, ClusterError> {
        Self::with_limits(listen, DEFAULT_PEER_LIMITS)
    }

    /// Starts to listen as [`TcpLink::new`] does, with these limits on what peers may hold.
    ///
    /// # Errors
    ///
    /// As [`TcpLink::new`].
    pub fn with_limits(listen: SocketAddr, limits: ConnectionLimits) -> Result<Self, ClusterError> {
        let listen_error = |cause| ClusterError::Listen {
            address: listen,
            cause,
        };
        let listener = jasminebend_ingress::listen(listen).map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        let (sender, frames) = mpsc::channel(MAX_QUEUED_RECEIVED_FRAMES);
        let receiver = FrameReceiver::new(listener, sender, limits);
        Ok(Self {
            address,
            receiver: tokio::spawn(receiver.run()).abort_handle(),
            peers: Mutex::new(IndexMap::new()),
            frames: tokio::sync::Mutex::new(frames),
        })
    }
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
            Ok(Err(_)) | Err(_) => ProbeOutcome::NoAnswer,
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
