//! Many stand-in workers in one process.

use std::{
    io,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    sync::Arc, //
};

use async_trait::async_trait;
use indexmap::IndexMap;
use jasminebend_base::{
    DomainName,
    ResourceAmount,
    VmRecord,
    VmState,
    WorkerRecord, //
};
use jasminebend_ports::{
    ClockSource,
    WorkerAnswer,
    WorkerCalls,
    WorkerError,
    WorkerRequest, //
};

use crate::{
    RunLedger,
    ServerGuard,
    WorkerStandIn, //
};

/// The port of the addresses that workers have while they are not served over HTTP.
const MEMORY_PORT: u16 = 7000;

/// The shape of a fleet.
#[derive(Clone, Debug)]
pub struct FleetShape {
    /// The number of workers.
    pub workers: usize,
    /// The failure domains, in which the racks lie in turn.
    pub domains: Vec<DomainName>,
    /// The workers of a rack.
    pub rack_size: usize,
    /// What each worker can hold.
    pub capacity: ResourceAmount,
}

#[derive(Clone)]
struct FleetWorker {
    stand_in: WorkerStandIn,
    rack: String,
}

/// Many stand-in workers in one process, each at its own address. As a [`jasminebend_ports::WorkerPort`] it reaches
/// them in memory, from one caller's address.
#[derive(Clone)]
pub struct WorkerFleet {
    caller: IpAddr,
    workers: IndexMap<SocketAddr, FleetWorker>,
}

impl WorkerFleet {
    /// Creates the workers; they are reached in memory until they are served.
    pub fn new(
        shape: &FleetShape,
        clock: &Arc<dyn ClockSource>,
        ledger: &Arc<RunLedger>,
        seed: u64,
    ) -> Self {
        let workers = (0..shape.workers).map(|place| {
            let rack = place / shape.rack_size.max(1);
            let domain = &shape.domains[rack % shape.domains.len()];
            let stand_in = WorkerStandIn::new(
                format!("worker-{place}"),
                domain.clone(),
                shape.capacity,
                Arc::clone(clock),
                Arc::clone(ledger),
                // CAST: `usize` has at most 64 bits on the machines that Rust's library supports.
                seed.wrapping_add((place as u64) << 16),
            );
            let rack = format!("rack-{rack}");
            (memory_address(place), FleetWorker { stand_in, rack })
        });
        Self {
            caller: IpAddr::V4(Ipv4Addr::LOCALHOST),
            workers: workers.collect(),
        }
    }

    /// Returns the same fleet, as a caller at another address reaches it in memory.
    pub fn with_caller(&self, caller: IpAddr) -> Self {
        Self {
            caller,
            workers: self.workers.clone(),
        }
    }

    /// Serves every worker over HTTP on an ephemeral port of its own, and gives it that address.
    ///
    /// # Errors
    ///
    /// The error of a socket.
    pub async fn start_servers(&mut self) -> Result<Vec<ServerGuard>, io::Error> {
        let mut served = IndexMap::new();
        let mut guards = Vec::new();
        for worker in self.workers.values() {
            let (address, guard) = worker.stand_in.start_server().await?;
            served.insert(address, worker.clone());
            guards.push(guard);
        }
        self.workers = served;
        Ok(guards)
    }

    /// Returns the workers with their addresses.
    pub fn workers(&self) -> impl Iterator<Item = (SocketAddr, &WorkerStandIn)> {
        self.workers
            .iter()
            .map(|(address, worker)| (*address, &worker.stand_in))
    }

    /// Returns the worker at this address.
    pub fn worker(&self, address: SocketAddr) -> Option<&WorkerStandIn> {
        self.workers.get(&address).map(|worker| &worker.stand_in)
    }

    /// Returns the workers as a VM list shows them.
    pub fn records(&self) -> Vec<VmRecord> {
        self.workers
            .iter()
            .map(|(address, worker)| record(*address, worker))
            .collect()
    }
}

fn memory_address(place: usize) -> SocketAddr {
    // CAST: each part is below 256.
    let [high, low] = [(place / 250) as u8, (place % 250 + 1) as u8];
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), MEMORY_PORT))
}

fn record(address: SocketAddr, worker: &FleetWorker) -> VmRecord {
    VmRecord {
        name: worker.stand_in.name(),
        incarnation: 1,
        domain: worker.stand_in.domain(),
        state: VmState::Live,
        executor: None,
        worker: Some(WorkerRecord {
            address,
            rack: worker.rack.clone(),
            capacity: worker.stand_in.capacity(),
        }),
    }
}

#[async_trait]
impl WorkerCalls for WorkerFleet {
    async fn call(
        &self,
        worker: SocketAddr,
        request: WorkerRequest,
    ) -> Result<WorkerAnswer, WorkerError> {
        let worker = self.worker(worker).ok_or(WorkerError::Unreachable)?;
        if worker.blocks(self.caller) {
            return Err(WorkerError::Unreachable);
        }
        worker.order(request).await
    }
}
