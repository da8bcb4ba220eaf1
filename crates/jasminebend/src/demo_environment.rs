//! The environment of the demonstration's daemons: stand-ins of the platform, the endpoints and the workers, each
//! reached over HTTP on loopback.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use jasminebend_base::{
    DomainName,
    ResourceAmount,
    VmName,
    VmRecord,
    VmState, //
};
use jasminebend_ports::{
    ClockSource,
    HttpObjectStore,
    HttpTableService,
    HttpVmList,
    HttpWorkerTransport,
    SystemClock, //
};
use jasminebend_standins::{
    EndpointLedger,
    EndpointSettings,
    EndpointStandIn,
    FleetShape,
    ObjectStandIn,
    RunLedger,
    ServerGuard,
    ServiceTime,
    TableStandIn,
    VmListStandIn,
    WorkerFleet, //
};

use crate::{
    DaemonPorts,
    DemoError, //
};

/// The failure domains of the demonstration.
pub(crate) const DOMAINS: [&str; 3] = ["north", "middle", "south"];
/// The service that the demonstration's endpoints serve.
pub(crate) const SERVICE_NAME: &str = "storefront";

const ENDPOINT_COUNT: usize = 6;
const WORKER_COUNT: usize = 6;
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(10);
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// The environment of the demonstration's daemons.
pub(crate) struct DemoEnvironment {
    pub(crate) clock: Arc<dyn ClockSource>,
    pub(crate) table: TableStandIn,
    pub(crate) requests: Arc<EndpointLedger>,
    pub(crate) runs: Arc<RunLedger>,
    vm_list: VmListStandIn,
    endpoint_domains: Vec<(VmName, DomainName)>,
    addresses: PlatformAddresses,
    /// Keep the stand-ins' servers running.
    guards: Vec<ServerGuard>,
}

struct PlatformAddresses {
    table: SocketAddr,
    objects: SocketAddr,
    vm_list: SocketAddr,
}

impl DemoEnvironment {
    /// Starts the platform, the endpoints and the workers.
    pub(crate) async fn start(seed: u64) -> Result<Self, DemoError> {
        let clock: Arc<dyn ClockSource> = Arc::new(SystemClock::new());
        let table = TableStandIn::new().with_clock(Arc::clone(&clock));
        let objects = ObjectStandIn::new().with_clock(Arc::clone(&clock));
        let vm_list = VmListStandIn::new(Vec::new()).with_clock(Arc::clone(&clock));
        let (table_address, table_guard) = table.start().await?;
        let (object_address, object_guard) = objects.start().await?;
        let (list_address, list_guard) = vm_list.start().await?;
        let mut environment = Self {
            clock,
            table,
            requests: Arc::new(EndpointLedger::new()),
            runs: Arc::new(RunLedger::new()),
            vm_list,
            endpoint_domains: Vec::new(),
            addresses: PlatformAddresses {
                table: table_address,
                objects: object_address,
                vm_list: list_address,
            },
            guards: vec![table_guard, object_guard, list_guard],
        };
        environment.start_endpoints(seed).await?;
        environment.start_workers(seed).await?;
        Ok(environment)
    }

    /// Returns a daemon's ports: adapters that reach this environment over HTTP.
    pub(crate) fn ports(&self, seed: u64) -> DaemonPorts {
        let addresses = &self.addresses;
        DaemonPorts {
            table: Arc::new(HttpTableService::new(addresses.table).with_timeout(PLATFORM_TIMEOUT)),
            objects: Arc::new(
                HttpObjectStore::new(addresses.objects).with_timeout(PLATFORM_TIMEOUT),
            ),
            vm_list: Arc::new(HttpVmList::new(addresses.vm_list).with_timeout(PLATFORM_TIMEOUT)),
            workers: Arc::new(HttpWorkerTransport::new().with_timeout(PLATFORM_TIMEOUT)),
            clock: Arc::clone(&self.clock),
            seed,
        }
    }

    /// Adds an entry VM to the VM list.
    pub(crate) fn add_entry(&self, name: &VmName, domain: &DomainName) {
        self.vm_list.add(VmRecord {
            name: name.clone(),
            incarnation: 1,
            domain: domain.clone(),
            state: VmState::Live,
            executor: None,
            worker: None,
        });
    }

    /// Removes an entry VM from the VM list.
    pub(crate) fn remove_entry(&self, name: &VmName) {
        self.vm_list.remove(name.clone());
    }

    /// Returns the number of requests that arrived at the endpoints of a failure domain.
    pub(crate) fn arrivals_in(&self, domain: &DomainName) -> u64 {
        self.endpoint_domains
            .iter()
            .filter(|(_, endpoint_domain)| endpoint_domain == domain)
            .map(|(name, _)| self.requests.counts(name).arrivals)
            .sum()
    }

    async fn start_endpoints(&mut self, seed: u64) -> Result<(), DemoError> {
        for index in 0..ENDPOINT_COUNT {
            let domain = DomainName::from(DOMAINS[index % DOMAINS.len()]);
            let name = VmName::from(format!("endpoint-{index}"));
            let settings = EndpointSettings {
                service_time: ServiceTime::Exponential(MEAN_SERVICE_TIME),
                ..EndpointSettings::default()
            };
            // CAST: `index` is below `ENDPOINT_COUNT`.
            let seed = seed.wrapping_add(index as u64);
            let endpoint = EndpointStandIn::new(name.clone(), Arc::clone(&self.requests), seed)
                .with_clock(Arc::clone(&self.clock))
                .with_settings(settings);
            let (address, guard) = endpoint.start().await?;
            self.vm_list
                .add(endpoint.record(domain.clone(), SERVICE_NAME, address));
            self.endpoint_domains.push((name, domain));
            self.guards.push(guard);
        }
        Ok(())
    }

    async fn start_workers(&mut self, seed: u64) -> Result<(), DemoError> {
        let shape = FleetShape {
            workers: WORKER_COUNT,
            domains: DOMAINS.map(DomainName::from).to_vec(),
            rack_size: 2,
            capacity: ResourceAmount::new(8_000, 16_384),
        };
        let mut fleet = WorkerFleet::new(&shape, &self.clock, &self.runs, seed);
        self.guards.extend(fleet.start_servers().await?);
        fleet
            .records()
            .into_iter()
            .for_each(|record| self.vm_list.add(record));
        Ok(())
    }
}
