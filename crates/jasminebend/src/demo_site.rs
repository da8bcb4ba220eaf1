//! What stands around the demonstration's daemons: the platform, the endpoints and the workers, each
//! reached over real HTTP on loopback.

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
    HttpObjects,
    HttpTable,
    HttpVmList,
    HttpWorkers,
    SystemClock, //
};
use jasminebend_standins::{
    EndpointKnobs,
    EndpointLedger,
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
    DaemonEdges,
    DemoError, //
};

/// The failure domains of the demonstration.
pub(crate) const DOMAINS: [&str; 3] = ["north", "middle", "south"];
/// The service that its endpoints serve.
pub(crate) const SERVICE: &str = "storefront";

const ENDPOINTS: usize = 6;
const WORKERS: usize = 6;
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(10);
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// What stands around the demonstration's daemons.
pub(crate) struct DemoSite {
    pub(crate) clock: Arc<dyn ClockSource>,
    pub(crate) table: TableStandIn,
    pub(crate) requests: Arc<EndpointLedger>,
    pub(crate) runs: Arc<RunLedger>,
    vm_list: VmListStandIn,
    endpoint_domains: Vec<(VmName, DomainName)>,
    addresses: PlatformAddresses,
    guards: Vec<ServerGuard>,
}

struct PlatformAddresses {
    table: SocketAddr,
    objects: SocketAddr,
    vm_list: SocketAddr,
}

impl DemoSite {
    pub(crate) async fn start(seed: u64) -> Result<Self, DemoError> {
        let clock: Arc<dyn ClockSource> = Arc::new(SystemClock::new());
        let table = TableStandIn::new().with_clock(Arc::clone(&clock));
        let objects = ObjectStandIn::new().with_clock(Arc::clone(&clock));
        let vm_list = VmListStandIn::new(Vec::new()).with_clock(Arc::clone(&clock));
        let (table_address, table_guard) = table.start().await?;
        let (object_address, object_guard) = objects.start().await?;
        let (list_address, list_guard) = vm_list.start().await?;
        let mut site = Self {
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
        site.start_endpoints(seed).await?;
        site.start_workers(seed).await?;
        Ok(site)
    }

    /// Returns a daemon's edges: the adapters that reach this site over HTTP.
    pub(crate) fn edges(&self, seed: u64) -> DaemonEdges {
        let addresses = &self.addresses;
        DaemonEdges {
            table: Arc::new(HttpTable::new(addresses.table).with_timeout(PLATFORM_TIMEOUT)),
            objects: Arc::new(HttpObjects::new(addresses.objects).with_timeout(PLATFORM_TIMEOUT)),
            vm_list: Arc::new(HttpVmList::new(addresses.vm_list).with_timeout(PLATFORM_TIMEOUT)),
            workers: Arc::new(HttpWorkers::new().with_timeout(PLATFORM_TIMEOUT)),
            clock: Arc::clone(&self.clock),
            seed,
        }
    }

    /// Lists an entry VM.
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

    /// Lists an entry VM no more.
    pub(crate) fn remove_entry(&self, name: &VmName) {
        self.vm_list.remove(name.clone());
    }

    /// Returns how many requests arrived at the endpoints of a failure domain.
    pub(crate) fn arrivals_in(&self, domain: &DomainName) -> u64 {
        self.endpoint_domains
            .iter()
            .filter(|(_, home)| home == domain)
            .map(|(name, _)| self.requests.counts(name).arrivals)
            .sum()
    }

    async fn start_endpoints(&mut self, seed: u64) -> Result<(), DemoError> {
        for place in 0..ENDPOINTS {
            let domain = DomainName::from(DOMAINS[place % DOMAINS.len()]);
            let name = VmName::from(format!("endpoint-{place}"));
            let knobs = EndpointKnobs {
                service_time: ServiceTime::Exponential(MEAN_SERVICE_TIME),
                ..EndpointKnobs::default()
            };
            // CAST: `place` is below `ENDPOINTS`.
            let seed = seed.wrapping_add(place as u64);
            let endpoint = EndpointStandIn::new(name.clone(), Arc::clone(&self.requests), seed)
                .with_clock(Arc::clone(&self.clock))
                .with_knobs(knobs);
            let (address, guard) = endpoint.start().await?;
            self.vm_list
                .add(endpoint.record(domain.clone(), SERVICE, address));
            self.endpoint_domains.push((name, domain));
            self.guards.push(guard);
        }
        Ok(())
    }

    async fn start_workers(&mut self, seed: u64) -> Result<(), DemoError> {
        let shape = FleetShape {
            workers: WORKERS,
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
