//! A fleet of stand-in workers in one process.

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
    WorkerError,
    WorkerRequest, //
    WorkerTransport,
};

use crate::{
    RunLedger,
    ServerGuard,
    WorkerStandIn, //
};

/// The port in the address of a worker that is not served over HTTP. Nothing listens on it.
const IN_MEMORY_PORT: u16 = 7000;

/// The size and layout of a fleet.
#[derive(Clone, Debug)]
pub struct FleetShape {
    /// The number of workers.
    pub workers: usize,
    /// The failure domains, to which the racks are assigned round-robin.
    pub domains: Vec<DomainName>,
    /// The number of workers in each rack; 0 counts as 1.
    pub rack_size: usize,
    /// The capacity of each worker.
    pub capacity: ResourceAmount,
}

#[derive(Clone)]
struct FleetWorker {
    stand_in: WorkerStandIn,
    rack: String,
}

/// A fleet of stand-in workers in one process, each at its own address. As a [`jasminebend_ports::WorkerPort`] it calls
/// them in memory, with `caller` as the caller's address.
#[derive(Clone)]
pub struct WorkerFleet {
    caller: IpAddr,
    workers: IndexMap<SocketAddr, FleetWorker>,
}

impl WorkerFleet {
    /// Creates the workers. They are called in memory until [`WorkerFleet::start_servers`] is called.
    ///
    /// `seed` seeds the random parts of the workers, differently for each worker.
    pub fn new(
        shape: &FleetShape,
        clock: &Arc<dyn ClockSource>,
        ledger: &Arc<RunLedger>,
        seed: u64,
    ) -> Self {
        let workers = (0..shape.workers).map(|index| {
            let rack = index / shape.rack_size.max(1);
            let domain = &shape.domains[rack % shape.domains.len()];
            let stand_in = WorkerStandIn::new(
                format!("worker-{index}"),
                domain.clone(),
                shape.capacity,
                Arc::clone(clock),
                Arc::clone(ledger),
                // CAST: `usize` has at most 64 bits on the machines that Rust's library supports.
                seed.wrapping_add((index as u64) << 16),
            );
            let rack = format!("rack-{rack}");
            (in_memory_address(index), FleetWorker { stand_in, rack })
        });
        Self {
            caller: IpAddr::V4(Ipv4Addr::LOCALHOST),
            workers: workers.collect(),
        }
    }

    /// Returns a copy that calls the same workers in memory from another caller's address.
    pub fn with_caller(&self, caller: IpAddr) -> Self {
        Self {
            caller,
            workers: self.workers.clone(),
        }
    }

    /// Serves every worker over HTTP on its own ephemeral port, and replaces the workers' addresses by those ports.
    ///
    /// # Errors
    ///
    /// Returns the error of a socket that can't be bound.
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

    /// Returns the records of the workers' VMs, for a VM list.
    pub fn records(&self) -> Vec<VmRecord> {
        self.workers
            .iter()
            .map(|(address, worker)| vm_record(*address, worker))
            .collect()
    }
}

fn in_memory_address(index: usize) -> SocketAddr {
    // CAST: each part is below 256.
    let [high, low] = [(index / 250) as u8, (index % 250 + 1) as u8];
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), IN_MEMORY_PORT))
}

fn vm_record(address: SocketAddr, worker: &FleetWorker) -> VmRecord {
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
impl WorkerTransport for WorkerFleet {
    async fn call(
        &self,
        worker: SocketAddr,
        request: WorkerRequest,
    ) -> Result<WorkerAnswer, WorkerError> {
        let worker = self.worker(worker).ok_or(WorkerError::Unreachable)?;
        if worker.is_blocked(self.caller) {
            return Err(WorkerError::Unreachable);
        }
        worker.handle_call(request).await
    }
}
