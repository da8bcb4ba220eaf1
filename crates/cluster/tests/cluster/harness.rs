//! Runs several daemons in one process, with a network in memory, a simulated table service and a paused
//! clock.

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
    ClusterHandle,
    ClusterPorts,
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

use crate::memory_network::MemoryNetwork;

/// The number of resources: 30 slot shares and 4 shards.
pub(crate) const RESOURCE_COUNT: usize = 34;

/// The key with which the daemons of a test sign frames.
pub(crate) const PEER_KEY: [u8; 32] = [7; 32];

/// A VM list whose content a test sets.
#[derive(Default)]
pub(crate) struct SettableVmList(pub(crate) Mutex<VmSnapshot>);

#[async_trait]
impl VmList for SettableVmList {
    async fn read(&self) -> Result<VmSnapshot, VmListError> {
        Ok(self.0.lock().unwrap().clone())
    }
}

/// One daemon's access to the table, which a test can interrupt.
pub(crate) struct InterruptibleTable {
    table: TableStandIn,
    /// Whether calls fail immediately as unreachable.
    unreachable: AtomicBool,
    /// Whether calls never get a response.
    silent: AtomicBool,
}

impl InterruptibleTable {
    fn new(table: TableStandIn) -> Self {
        Self {
            table,
            unreachable: AtomicBool::new(false),
            silent: AtomicBool::new(false),
        }
    }

    /// Sets whether calls fail immediately as unreachable.
    pub(crate) fn set_unreachable(&self, unreachable: bool) {
        self.unreachable.store(unreachable, Ordering::SeqCst);
    }

    /// Sets whether calls that begin from now on never get a response.
    pub(crate) fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    /// Fails or blocks forever if the test has interrupted the access.
    async fn check(&self) -> Result<(), TableError> {
        if self.silent.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        match self.unreachable.load(Ordering::SeqCst) {
            true => Err(TableError::Unreachable),
            false => Ok(()),
        }
    }
}

#[async_trait]
impl TableService for InterruptibleTable {
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

/// The environment that the daemons of a test share.
#[derive(Clone)]
pub(crate) struct TestCluster {
    pub(crate) network: MemoryNetwork,
    pub(crate) table: TableStandIn,
    pub(crate) vms: Arc<SettableVmList>,
    pub(crate) seats: u8,
    /// The seed of the daemon started last.
    pub(crate) seed: u64,
}

impl TestCluster {
    pub(crate) fn new(seats: u8) -> Self {
        Self {
            network: MemoryNetwork::default(),
            table: TableStandIn::new(),
            vms: Arc::default(),
            seats,
            seed: 1,
        }
    }

    /// Sets the numbers of the daemons whose VMs the VM list contains.
    pub(crate) fn set_listed_vms(&self, numbers: &[u16]) {
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

    /// Returns the peer address of the daemon with this number.
    pub(crate) fn address(number: u16) -> SocketAddr {
        SocketAddr::from(([10, 0, 0, 1], number))
    }

    /// Returns the settings of the daemon with this number.
    pub(crate) fn settings(&self, number: u16) -> ClusterSettings {
        let key = PeerKey::new(PEER_KEY);
        ClusterSettings::new(Self::address(number), "east".into(), key)
            .with_seats(self.seats)
            .with_slot_shares(30)
            .with_shards(4)
            .with_longest_request(Duration::from_secs(5))
            .with_vm(format!("entry-{number}").into())
    }

    /// Starts a daemon whose access to the shared table can be interrupted.
    pub(crate) async fn start_with_interruptible_table(
        &mut self,
        number: u16,
    ) -> (ClusterHandle, Arc<InterruptibleTable>) {
        let table = Arc::new(InterruptibleTable::new(self.table.clone()));
        let settings = self.settings(number);
        let handle = self.start_with(number, settings, table.clone()).await;
        (handle, table)
    }

    /// Starts a daemon with the default settings.
    pub(crate) async fn start(&mut self, number: u16) -> ClusterHandle {
        let table: Arc<dyn TableService> = Arc::new(self.table.clone());
        self.start_with(number, self.settings(number), table).await
    }

    /// Starts a daemon with these settings and this access to the table.
    pub(crate) async fn start_with(
        &mut self,
        number: u16,
        settings: ClusterSettings,
        table: Arc<dyn TableService>,
    ) -> ClusterHandle {
        self.seed += 1;
        let ports = ClusterPorts {
            table,
            vm_list: self.vms.clone(),
            clock: Arc::new(SystemClock::new()),
            seed: self.seed,
        };
        let link = self.network.link(Self::address(number));
        ClusterHandle::start_with_link(settings, ports, link)
            .await
            .unwrap()
    }

    /// Starts daemons with the numbers from 1, and waits until resources are balanced.
    pub(crate) async fn start_all(&mut self, count: u16) -> Vec<ClusterHandle> {
        self.start_with_others(count, Vec::new()).await
    }

    /// Starts daemons with the numbers from 1, and waits until resources are balanced between them and
    /// the others. Returns all of them, the others last.
    pub(crate) async fn start_with_others(
        &mut self,
        count: u16,
        others: Vec<ClusterHandle>,
    ) -> Vec<ClusterHandle> {
        let mut handles = Vec::new();
        for number in 1..=count {
            handles.push(self.start(number).await);
        }
        handles.extend(others);
        wait_until_balanced(&handles).await;
        handles
    }
}

/// Returns a configuration with three failure domains.
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

/// Returns the change that replaces the configuration.
pub(crate) fn replace_configuration(
    configuration: Configuration,
    expected: Option<ConfigurationVersion>,
) -> ConfigurationChange {
    ConfigurationChange::Replace {
        configuration,
        expected,
    }
}

/// Returns the change that sets the state of a failure domain.
pub(crate) fn set_domain_state(name: &str, state: DomainState, force: bool) -> ConfigurationChange {
    ConfigurationChange::SetDomainState {
        name: name.into(),
        state,
        force,
    }
}

/// Returns the configuration version by which a daemon acts.
pub(crate) fn configuration_version(handle: &ClusterHandle) -> u64 {
    handle.configuration().borrow().version.0
}

/// Checks for some time that no resource is held by two daemons, and returns the lowest number of
/// resources that were held at one time.
pub(crate) async fn check_exclusive_holders(handles: &[ClusterHandle], millis: u64) -> usize {
    let mut least = usize::MAX;
    for _ in 0..millis / 50 {
        sleep_ms(50).await;
        let mut seen = IndexSet::new();
        for (resource, _) in handles
            .iter()
            .flat_map(|handle| handle.ownership().owned_resources())
        {
            assert!(seen.insert(resource), "{resource} is held twice");
        }
        least = least.min(seen.len());
    }
    least
}

/// Waits until all resources are held, all daemons are ready, and the numbers of resources that they hold
/// differ by at most two.
pub(crate) async fn wait_until_balanced(handles: &[ClusterHandle]) {
    for _ in 0..600 {
        sleep_ms(100).await;
        let held: Vec<usize> = handles
            .iter()
            .map(|h| h.ownership().owned_resources().len())
            .collect();
        let least = held.iter().min().unwrap();
        let most = held.iter().max().unwrap();
        let all = held.iter().sum::<usize>() == RESOURCE_COUNT;
        if all && handles.iter().all(ClusterHandle::is_ready) && most - least <= 2 {
            return;
        }
    }
    for handle in handles {
        eprintln!("{:#?}", handle.status());
    }
    panic!("the resources were not balanced within 60 seconds");
}

pub(crate) async fn sleep_ms(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}
