//! A network in memory between the daemons of a test.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
};

use async_trait::async_trait;
use bytes::Bytes;
use indexmap::{
    IndexMap,
    IndexSet, //
};
use jasminebend_cluster::{
    PeerLink,
    ProbeOutcome, //
};
use tokio::sync::mpsc;

use crate::harness::{
    PEER_KEY,
    TestCluster, //
};

/// A network in memory in which a test can partition daemons, silence connections, and record and inject
/// frames.
#[derive(Clone, Default)]
pub(crate) struct MemoryNetwork {
    state: Arc<Mutex<NetworkState>>,
}

/// The state that all links of a network share.
#[derive(Default)]
struct NetworkState {
    /// The queues of received frames of the listening daemons, by address.
    queues: IndexMap<SocketAddr, mpsc::Sender<Bytes>>,
    /// The pairs of sender and receiver between which nothing passes.
    disconnected: IndexSet<(SocketAddr, SocketAddr)>,
    /// The connections, by sender and receiver, that carry nothing until they are replaced.
    silent: IndexSet<(SocketAddr, SocketAddr)>,
    /// The daemons whose frames are changed into those of a later release.
    later_release: IndexSet<SocketAddr>,
    /// The daemons whose addresses refuse connections although they run.
    refusing: IndexSet<SocketAddr>,
    /// The daemon whose incoming frames are recorded, and these frames.
    recorded: Option<(SocketAddr, Arc<Mutex<Vec<Bytes>>>)>,
}

impl MemoryNetwork {
    /// Creates a link that listens at an address.
    pub(crate) fn link(&self, address: SocketAddr) -> Arc<MemoryLink> {
        let (sender, frames) = mpsc::channel(512);
        self.state.lock().unwrap().queues.insert(address, sender);
        Arc::new(MemoryLink {
            address,
            network: self.clone(),
            frames: tokio::sync::Mutex::new(frames),
        })
    }

    /// Disconnects two daemons in both directions.
    pub(crate) fn disconnect(&self, one: SocketAddr, other: SocketAddr) {
        let mut state = self.state.lock().unwrap();
        state.disconnected.insert((one, other));
        state.disconnected.insert((other, one));
    }

    /// Disconnects each daemon on one side from each daemon on the other side.
    pub(crate) fn partition(&self, one_side: &[u16], other_side: &[u16]) {
        for one in one_side {
            for other in other_side {
                self.disconnect(TestCluster::address(*one), TestCluster::address(*other));
            }
        }
    }

    /// Makes the connection on which one daemon sends to another carry nothing, until the sender replaces
    /// it.
    pub(crate) fn silence_connection(&self, from: SocketAddr, to: SocketAddr) {
        self.state.lock().unwrap().silent.insert((from, to));
    }

    /// Reconnects all daemons.
    pub(crate) fn reconnect_all(&self) {
        self.state.lock().unwrap().disconnected.clear();
    }

    /// Adds a frame to a daemon's queue as if it were received from the network.
    pub(crate) fn inject(&self, to: SocketAddr, frame: Bytes) {
        let state = self.state.lock().unwrap();
        let _ = state.queues[&to].try_send(frame);
    }

    /// Makes the address of a running daemon refuse connections.
    pub(crate) fn refuse_connections(&self, address: SocketAddr) {
        self.state.lock().unwrap().refusing.insert(address);
    }

    /// Changes the frames of a daemon into those of a later release: with a higher minor version and an
    /// additional field.
    pub(crate) fn send_as_later_release(&self, address: SocketAddr) {
        self.state.lock().unwrap().later_release.insert(address);
    }

    /// Records the frames that are sent to a daemon from now on.
    pub(crate) fn record(&self, to: SocketAddr) -> Arc<Mutex<Vec<Bytes>>> {
        let recorded = Arc::default();
        self.state.lock().unwrap().recorded = Some((to, Arc::clone(&recorded)));
        recorded
    }
}

/// The link of one daemon to a network in memory.
pub(crate) struct MemoryLink {
    address: SocketAddr,
    network: MemoryNetwork,
    frames: tokio::sync::Mutex<mpsc::Receiver<Bytes>>,
}

/// Returns the frame as a later release would send it, with a new signature.
fn as_later_release(frame: &Bytes) -> Bytes {
    let mut later = frame[..frame.len() - blake3::OUT_LEN].to_vec();
    later[1] += 1;
    later.extend_from_slice(b"a new field");
    let hash = blake3::keyed_hash(&PEER_KEY, &later);
    later.extend_from_slice(hash.as_bytes());
    Bytes::from(later)
}

#[async_trait]
impl PeerLink for MemoryLink {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn send(&self, to: SocketAddr, frame: Bytes) {
        let state = self.network.state.lock().unwrap();
        if let Some((_, recorded)) = state.recorded.as_ref().filter(|(of, _)| *of == to) {
            recorded.lock().unwrap().push(frame.clone());
        }
        let frame = match state.later_release.contains(&self.address) {
            true => as_later_release(&frame),
            false => frame,
        };
        let connection = (self.address, to);
        if state.disconnected.contains(&connection) || state.silent.contains(&connection) {
            return;
        }
        if let Some(queue) = state.queues.get(&to) {
            let _ = queue.try_send(frame);
        }
    }

    fn reset(&self, to: SocketAddr) {
        let mut state = self.network.state.lock().unwrap();
        state.silent.swap_remove(&(self.address, to));
    }

    async fn receive(&self, limit: usize) -> Vec<Bytes> {
        let mut frames = Vec::new();
        self.frames.lock().await.recv_many(&mut frames, limit).await;
        frames
    }

    async fn probe(&self, address: SocketAddr) -> ProbeOutcome {
        let state = self.network.state.lock().unwrap();
        if state.refusing.contains(&address) {
            return ProbeOutcome::Refused;
        }
        if state.disconnected.contains(&(self.address, address)) {
            return ProbeOutcome::NoAnswer;
        }
        match state.queues.contains_key(&address) {
            true => ProbeOutcome::Listens,
            false => ProbeOutcome::Refused,
        }
    }

    fn close(&self) {
        let mut state = self.network.state.lock().unwrap();
        state.queues.swap_remove(&self.address);
    }
}
