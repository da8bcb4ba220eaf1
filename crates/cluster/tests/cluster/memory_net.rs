//! The network between the daemons of a test.

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
    KEY,
    TestCluster, //
};

/// The network in memory: who listens, and which pairs are cut.
#[derive(Clone, Default)]
pub(crate) struct MemoryNet {
    inner: Arc<Mutex<NetState>>,
}

#[derive(Default)]
struct NetState {
    queues: IndexMap<SocketAddr, mpsc::Sender<Bytes>>,
    cut: IndexSet<(SocketAddr, SocketAddr)>,
    /// Connections, by sender and receiver, that carry nothing until they are replaced.
    silent: IndexSet<(SocketAddr, SocketAddr)>,
    later: IndexSet<SocketAddr>,
    refusing: IndexSet<SocketAddr>,
    recorded: Option<(SocketAddr, Arc<Mutex<Vec<Bytes>>>)>,
}

impl MemoryNet {
    pub(crate) fn link(&self, address: SocketAddr) -> Arc<MemoryLink> {
        let (sender, frames) = mpsc::channel(512);
        self.inner.lock().unwrap().queues.insert(address, sender);
        Arc::new(MemoryLink {
            address,
            net: self.clone(),
            frames: tokio::sync::Mutex::new(frames),
        })
    }

    pub(crate) fn cut(&self, one: SocketAddr, other: SocketAddr) {
        let mut state = self.inner.lock().unwrap();
        state.cut.insert((one, other));
        state.cut.insert((other, one));
    }

    /// Cuts every pair with one daemon on either side.
    pub(crate) fn split(&self, one_side: &[u16], other_side: &[u16]) {
        for one in one_side {
            for other in other_side {
                self.cut(TestCluster::address(*one), TestCluster::address(*other));
            }
        }
    }

    /// Silences the connection on which one daemon sends to another, until the sender replaces it.
    pub(crate) fn silence(&self, from: SocketAddr, to: SocketAddr) {
        self.inner.lock().unwrap().silent.insert((from, to));
    }

    pub(crate) fn mend(&self) {
        self.inner.lock().unwrap().cut.clear();
    }

    /// Puts a frame into a daemon's queue as if it came from the network.
    pub(crate) fn inject(&self, to: SocketAddr, frame: Bytes) {
        let state = self.inner.lock().unwrap();
        let _ = state.queues[&to].try_send(frame);
    }

    /// Lets something on the way refuse connections to a daemon that lives.
    pub(crate) fn refuse(&self, address: SocketAddr) {
        self.inner.lock().unwrap().refusing.insert(address);
    }

    /// Lets a daemon speak as a later release may: with a higher minor version and a field more.
    pub(crate) fn upgrade(&self, address: SocketAddr) {
        self.inner.lock().unwrap().later.insert(address);
    }

    /// Records from now on what is sent to a daemon.
    pub(crate) fn record(&self, to: SocketAddr) -> Arc<Mutex<Vec<Bytes>>> {
        let recorded = Arc::default();
        self.inner.lock().unwrap().recorded = Some((to, Arc::clone(&recorded)));
        recorded
    }
}

pub(crate) struct MemoryLink {
    address: SocketAddr,
    net: MemoryNet,
    frames: tokio::sync::Mutex<mpsc::Receiver<Bytes>>,
}

fn as_later_release(frame: &Bytes) -> Bytes {
    let mut later = frame[..frame.len() - blake3::OUT_LEN].to_vec();
    later[1] += 1;
    later.extend_from_slice(b"a new field");
    let hash = blake3::keyed_hash(&KEY, &later);
    later.extend_from_slice(hash.as_bytes());
    Bytes::from(later)
}

#[async_trait]
impl PeerLink for MemoryLink {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn send(&self, to: SocketAddr, frame: Bytes) {
        let state = self.net.inner.lock().unwrap();
        if let Some((_, recorded)) = state.recorded.as_ref().filter(|(of, _)| *of == to) {
            recorded.lock().unwrap().push(frame.clone());
        }
        let frame = match state.later.contains(&self.address) {
            true => as_later_release(&frame),
            false => frame,
        };
        let way = (self.address, to);
        if state.cut.contains(&way) || state.silent.contains(&way) {
            return;
        }
        if let Some(queue) = state.queues.get(&to) {
            let _ = queue.try_send(frame);
        }
    }

    fn reset(&self, to: SocketAddr) {
        let mut state = self.net.inner.lock().unwrap();
        state.silent.swap_remove(&(self.address, to));
    }

    async fn receive(&self, limit: usize) -> Vec<Bytes> {
        let mut frames = Vec::new();
        self.frames.lock().await.recv_many(&mut frames, limit).await;
        frames
    }

    async fn probe(&self, address: SocketAddr) -> ProbeOutcome {
        let state = self.net.inner.lock().unwrap();
        if state.refusing.contains(&address) {
            return ProbeOutcome::Refused;
        }
        if state.cut.contains(&(self.address, address)) {
            return ProbeOutcome::Silent;
        }
        match state.queues.contains_key(&address) {
            true => ProbeOutcome::Listens,
            false => ProbeOutcome::Refused,
        }
    }

    fn close(&self) {
        let mut state = self.net.inner.lock().unwrap();
        state.queues.swap_remove(&self.address);
    }
}
