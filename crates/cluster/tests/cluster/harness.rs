//! A few daemons in one process, over links in memory and the stand-in table, on a paused clock.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use indexmap::{
    IndexMap,
    IndexSet, //
};
use jasminebend_base::VmSnapshot;
use jasminebend_cluster::{
    ClusterEdges,
    ClusterHandle,
    ClusterSettings,
    PeerLink,
    ProbeOutcome, //
};
use jasminebend_ports::{
    SystemClock,
    TableService,
    VmList,
    VmListError, //
};
use jasminebend_standins::TableStandIn;
use jasminebend_wire::PeerKey;
use tokio::sync::mpsc;

/// How many shares and shards there are.
pub(crate) const RESOURCES: usize = 34;

/// The network in memory: who listens, and which pairs are cut.
#[derive(Clone, Default)]
pub(crate) struct MemoryNet {
    inner: Arc<Mutex<NetState>>,
}

#[derive(Default)]
struct NetState {
    queues: IndexMap<SocketAddr, mpsc::Sender<Bytes>>,
    cut: IndexSet<(SocketAddr, SocketAddr)>,
    sent: u64,
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

    pub(crate) fn mend(&self) {
        self.inner.lock().unwrap().cut.clear();
    }

    /// Puts a frame into a daemon's queue as if it came from the network.
    pub(crate) fn inject(&self, to: SocketAddr, frame: Bytes) {
        let state = self.inner.lock().unwrap();
        let _ = state.queues[&to].try_send(frame);
    }

    pub(crate) fn sent(&self) -> u64 {
        self.inner.lock().unwrap().sent
    }
}

pub(crate) struct MemoryLink {
    address: SocketAddr,
    net: MemoryNet,
    frames: tokio::sync::Mutex<mpsc::Receiver<Bytes>>,
}

#[async_trait]
impl PeerLink for MemoryLink {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn send(&self, to: SocketAddr, frame: Bytes) {
        let mut state = self.net.inner.lock().unwrap();
        state.sent += 1;
        if state.cut.contains(&(self.address, to)) {
            return;
        }
        if let Some(queue) = state.queues.get(&to) {
            let _ = queue.try_send(frame);
        }
    }

    fn reset(&self, _to: SocketAddr) {}

    async fn receive(&self, limit: usize) -> Vec<Bytes> {
        let mut frames = Vec::new();
        self.frames.lock().await.recv_many(&mut frames, limit).await;
        frames
    }

    async fn probe(&self, address: SocketAddr) -> ProbeOutcome {
        let state = self.net.inner.lock().unwrap();
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

/// A VM list that a test sets.
#[derive(Default)]
pub(crate) struct FixedVms(pub(crate) Mutex<VmSnapshot>);

#[async_trait]
impl VmList for FixedVms {
    async fn read(&self) -> Result<VmSnapshot, VmListError> {
        Ok(self.0.lock().unwrap().clone())
    }
}

/// What the daemons of a test share.
#[derive(Clone)]
pub(crate) struct TestCluster {
    pub(crate) net: MemoryNet,
    pub(crate) table: TableStandIn,
    pub(crate) vms: Arc<FixedVms>,
    pub(crate) seats: u8,
    pub(crate) seed: u64,
}

impl TestCluster {
    pub(crate) fn new(seats: u8) -> Self {
        Self {
            net: MemoryNet::default(),
            table: TableStandIn::new(),
            vms: Arc::default(),
            seats,
            seed: 1,
        }
    }

    pub(crate) fn address(number: u16) -> SocketAddr {
        SocketAddr::from(([10, 0, 0, 1], number))
    }

    pub(crate) fn settings(&self, number: u16) -> ClusterSettings {
        let key = PeerKey::from_secret("a secret of the tests").unwrap();
        ClusterSettings::new(Self::address(number), "east".into(), key)
            .with_seats(self.seats)
            .with_slot_shares(30)
            .with_shards(4)
            .with_longest_request(Duration::from_secs(5))
            .with_vm(format!("entry-{number}").into())
    }

    pub(crate) async fn start(&mut self, number: u16) -> ClusterHandle {
        let table: Arc<dyn TableService> = Arc::new(self.table.clone());
        self.start_with(number, self.settings(number), table).await
    }

    pub(crate) async fn start_with(
        &mut self,
        number: u16,
        settings: ClusterSettings,
        table: Arc<dyn TableService>,
    ) -> ClusterHandle {
        self.seed += 1;
        let edges = ClusterEdges {
            table,
            vm_list: self.vms.clone(),
            clock: Arc::new(SystemClock::new()),
            seed: self.seed,
        };
        let link = self.net.link(Self::address(number));
        ClusterHandle::start_with_link(settings, edges, link)
            .await
            .unwrap()
    }

    pub(crate) async fn start_all(&mut self, count: u16) -> Vec<ClusterHandle> {
        let mut handles = Vec::new();
        for number in 1..=count {
            handles.push(self.start(number).await);
        }
        settle(&handles).await;
        handles
    }
}

/// Waits until all are ready and hold about the same.
pub(crate) async fn settle(handles: &[ClusterHandle]) {
    for _ in 0..600 {
        sleep_ms(100).await;
        let held: Vec<usize> = handles.iter().map(|h| h.ownership().held().len()).collect();
        let least = held.iter().min().unwrap();
        let most = held.iter().max().unwrap();
        let all = held.iter().sum::<usize>() == RESOURCES;
        if all && handles.iter().all(ClusterHandle::ready) && most - least <= 2 {
            return;
        }
    }
    panic!("the daemons did not settle");
}

pub(crate) async fn sleep_ms(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}
