//! A few daemons in one process, over links in memory and the stand-in table, on a paused clock.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    time::Duration,
};

use async_trait::async_trait;
use indexmap::IndexSet;
use jasminebend_base::{
    Configuration,
    ConfigurationVersion,
    DomainState,
    FailureDomain,
    VmRecord,
    VmSnapshot,
    VmState, //
};
use jasminebend_cluster::{
    ClusterEdges,
    ClusterHandle,
    ClusterSettings,
    ConfigurationChange, //
};
use jasminebend_ports::{
    CommitOutcome,
    RowChange,
    RowKey,
    SystemClock,
    TableError,
    TableRow,
    TableService,
    VmList,
    VmListError,
    WriteId, //
};
use jasminebend_standins::TableStandIn;
use jasminebend_wire::PeerKey;

use crate::memory_net::MemoryNet;

/// How many shares and shards there are.
pub(crate) const RESOURCES: usize = 34;

/// The key between the daemons of a test.
pub(crate) const KEY: [u8; 32] = [7; 32];

/// A VM list that a test sets.
#[derive(Default)]
pub(crate) struct FixedVms(pub(crate) Mutex<VmSnapshot>);

#[async_trait]
impl VmList for FixedVms {
    async fn read(&self) -> Result<VmSnapshot, VmListError> {
        Ok(self.0.lock().unwrap().clone())
    }
}

/// One daemon's way to the table.
pub(crate) struct CutTable {
    table: TableStandIn,
    cut: AtomicBool,
    silent: AtomicBool,
}

impl CutTable {
    fn new(table: TableStandIn) -> Self {
        Self {
            table,
            cut: AtomicBool::new(false),
            silent: AtomicBool::new(false),
        }
    }

    pub(crate) fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }

    /// Leaves calls that begin from now on without an answer for good.
    pub(crate) fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    async fn check(&self) -> Result<(), TableError> {
        if self.silent.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        match self.cut.load(Ordering::SeqCst) {
            true => Err(TableError::Unreachable),
            false => Ok(()),
        }
    }
}

#[async_trait]
impl TableService for CutTable {
    async fn read(&self, key: &RowKey) -> Result<Option<TableRow>, TableError> {
        self.check().await?;
        self.table.read(key).await
    }

    async fn scan(
        &self,
        prefix: &RowKey,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Result<Vec<TableRow>, TableError> {
        self.check().await?;
        self.table.scan(prefix, after, limit).await
    }

    async fn commit(
        &self,
        write: WriteId,
        changes: Vec<RowChange>,
    ) -> Result<CommitOutcome, TableError> {
        self.check().await?;
        self.table.commit(write, changes).await
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

    /// Sets the entry VMs that the VM list shows.
    pub(crate) fn list_vms(&self, numbers: &[u16]) {
        let mut list = self.vms.0.lock().unwrap();
        list.revision += 1;
        list.vms = numbers
            .iter()
            .map(|number| VmRecord {
                name: format!("entry-{number}").into(),
                incarnation: 1,
                domain: "east".into(),
                state: VmState::Live,
                executor: None,
                worker: None,
            })
            .collect();
    }

    pub(crate) fn address(number: u16) -> SocketAddr {
        SocketAddr::from(([10, 0, 0, 1], number))
    }

    pub(crate) fn settings(&self, number: u16) -> ClusterSettings {
        let key = PeerKey::new(KEY);
        ClusterSettings::new(Self::address(number), "east".into(), key)
            .with_seats(self.seats)
            .with_slot_shares(30)
            .with_shards(4)
            .with_longest_request(Duration::from_secs(5))
            .with_vm(format!("entry-{number}").into())
    }

    /// Starts a daemon whose way to the table can be cut: its own view of the same rows.
    pub(crate) async fn start_cuttable(&mut self, number: u16) -> (ClusterHandle, Arc<CutTable>) {
        let table = Arc::new(CutTable::new(self.table.clone()));
        let settings = self.settings(number);
        let handle = self.start_with(number, settings, table.clone()).await;
        (handle, table)
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
        self.start_beside(count, Vec::new()).await
    }

    /// Starts daemons from number 1, and waits until they and the others have settled.
    pub(crate) async fn start_beside(
        &mut self,
        count: u16,
        others: Vec<ClusterHandle>,
    ) -> Vec<ClusterHandle> {
        let mut handles = Vec::new();
        for number in 1..=count {
            handles.push(self.start(number).await);
        }
        handles.extend(others);
        settle(&handles).await;
        handles
    }
}

/// A document with three failure domains.
pub(crate) fn three_domains() -> Configuration {
    let domain = |name: &str| FailureDomain {
        name: name.into(),
        region: "south".to_owned(),
        state: DomainState::In,
    };
    Configuration {
        domains: vec![domain("east"), domain("mid"), domain("west")],
        ..Configuration::default()
    }
}

pub(crate) fn replace(
    configuration: Configuration,
    expected: Option<ConfigurationVersion>,
) -> ConfigurationChange {
    ConfigurationChange::Replace {
        configuration,
        expected,
    }
}

pub(crate) fn set_domain(name: &str, state: DomainState, force: bool) -> ConfigurationChange {
    ConfigurationChange::Domain {
        name: name.into(),
        state,
        force,
    }
}

/// Returns the version that a daemon acts by.
pub(crate) fn version_of(handle: &ClusterHandle) -> u64 {
    handle.configuration().borrow().version.0
}

/// Watches for some time that nothing is held by two, and returns the least that was held at once.
pub(crate) async fn watch_holders(handles: &[ClusterHandle], millis: u64) -> usize {
    let mut least = usize::MAX;
    for _ in 0..millis / 50 {
        sleep_ms(50).await;
        let mut seen = IndexSet::new();
        for (resource, _) in handles.iter().flat_map(|handle| handle.ownership().held()) {
            assert!(seen.insert(resource), "{resource} is held twice");
        }
        least = least.min(seen.len());
    }
    least
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
    for handle in handles {
        eprintln!("{:#?}", handle.status());
    }
    panic!("the daemons did not settle");
}

pub(crate) async fn sleep_ms(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}
