//! The stand-in of an endpoint.

use std::{
    future,
    io,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    }, //
};

use jasminebend_base::{
    DomainName,
    ExecutorRecord,
    ServiceName,
    VmName,
    VmRecord,
    VmState, //
};
use jasminebend_ports::{
    ClockSource,
    SystemClock, //
};
use tokio::{
    net::TcpListener,
    sync::Semaphore, //
};

use crate::{
    EndpointFault,
    EndpointKnobs,
    EndpointLedger,
    ServerGuard,
    endpoint_plan::EndpointPlan,
    endpoint_server,
    tap_set::TapSet,
    tapped_stream::StreamTap, //
};

const DEFAULT_SLOTS: u16 = 8;
const DEFAULT_CONNECTIONS: u16 = 64;

pub(crate) struct EndpointCell {
    pub(crate) name: VmName,
    pub(crate) connections: u16,
    pub(crate) slots: Arc<Semaphore>,
    pub(crate) ledger: Arc<EndpointLedger>,
    pub(crate) clock: Arc<dyn ClockSource>,
    plan: Mutex<EndpointPlan>,
    pub(crate) taps: TapSet,
}

impl EndpointCell {
    pub(crate) fn plan(&self) -> MutexGuard<'_, EndpointPlan> {
        self.plan.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets one connection go silent; it counts as open no longer, since its other end may have
    /// closed it unheard.
    pub(crate) fn silence(&self, tap: &StreamTap) {
        if !tap.is_silent() {
            tap.silence();
            self.ledger.close(&self.name);
        }
    }
}

/// The stand-in of an endpoint: an HTTP/1.1 server that works on as many requests at once as it has
/// slots. A request that its caller gave up is worked on to its end.
#[derive(Clone)]
pub struct EndpointStandIn {
    cell: Arc<EndpointCell>,
    slots: u16,
}

impl EndpointStandIn {
    /// Creates an endpoint with 8 slots and 64 connections, that writes to `ledger`. `seed` is that
    /// of its service times and of its random faults.
    pub fn new<Name>(name: Name, ledger: Arc<EndpointLedger>, seed: u64) -> Self
    where
        Name: Into<VmName>,
    {
        Self {
            cell: Arc::new(EndpointCell {
                name: name.into(),
                connections: DEFAULT_CONNECTIONS,
                slots: Arc::new(Semaphore::new(usize::from(DEFAULT_SLOTS))),
                ledger,
                clock: Arc::new(SystemClock::new()),
                plan: Mutex::new(EndpointPlan::new(seed)),
                taps: TapSet::default(),
            }),
            slots: DEFAULT_SLOTS,
        }
    }

    /// Sets the numbers of slots and connections. The endpoint must not be in use yet.
    pub fn with_limits(self, slots: u16, connections: u16) -> Self {
        let clock = Arc::clone(&self.cell.clock);
        self.rebuild(slots, connections, clock)
    }

    /// Sets the clock of the ledger's times. The endpoint must not be in use yet.
    pub fn with_clock(self, clock: Arc<dyn ClockSource>) -> Self {
        let (slots, connections) = (self.slots, self.cell.connections);
        self.rebuild(slots, connections, clock)
    }

    /// Sets how it behaves from the start.
    pub fn with_knobs(self, knobs: EndpointKnobs) -> Self {
        self.cell.plan().knobs = knobs;
        self
    }

    /// Returns the VM's name.
    pub fn name(&self) -> &VmName {
        &self.cell.name
    }

    /// Returns the ledger that it writes to.
    pub fn ledger(&self) -> &Arc<EndpointLedger> {
        &self.cell.ledger
    }

    /// Changes how it behaves.
    pub fn set_knobs<Change>(&self, change: Change)
    where
        Change: FnOnce(&mut EndpointKnobs),
    {
        change(&mut self.cell.plan().knobs);
    }

    /// Lets the next request meet the fault; several wait in their order.
    pub fn once(&self, fault: EndpointFault) {
        self.cell.plan().push(fault);
    }

    /// Lets every open connection go silent, as when something between the two ends loses track of
    /// them; new ones work.
    pub fn silence_connections(&self) {
        for tap in self.cell.taps.taps() {
            self.cell.silence(&tap);
        }
    }

    /// Returns the endpoint as a VM list shows it.
    pub fn record<Domain, Service>(
        &self,
        domain: Domain,
        service: Service,
        address: SocketAddr,
    ) -> VmRecord
    where
        Domain: Into<DomainName>,
        Service: Into<ServiceName>,
    {
        VmRecord {
            name: self.cell.name.clone(),
            incarnation: 1,
            domain: domain.into(),
            state: VmState::Live,
            executor: Some(ExecutorRecord {
                service: service.into(),
                address,
                slots: self.slots,
                connections: self.cell.connections,
            }),
            worker: None,
        }
    }

    /// Serves the endpoint on an ephemeral port of the loopback interface.
    ///
    /// # Errors
    ///
    /// The error of the socket.
    pub async fn start(&self) -> Result<(SocketAddr, ServerGuard), io::Error> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        Ok((address, self.serve(listener)))
    }

    fn rebuild(self, slots: u16, connections: u16, clock: Arc<dyn ClockSource>) -> Self {
        let cell = EndpointCell {
            name: self.cell.name.clone(),
            connections,
            slots: Arc::new(Semaphore::new(usize::from(slots))),
            ledger: Arc::clone(&self.cell.ledger),
            clock,
            plan: Mutex::new(self.cell.plan().clone()),
            taps: TapSet::default(),
        };
        Self {
            cell: Arc::new(cell),
            slots,
        }
    }

    /// Serves the endpoint until the guard is dropped.
    pub fn serve(&self, listener: TcpListener) -> ServerGuard {
        let (guard, closed) = ServerGuard::new(self.cell.taps.clone());
        tokio::spawn(endpoint_server::accept_all(
            listener,
            Arc::clone(&self.cell),
            closed,
        ));
        guard
    }
}

/// Waits for ever: what a silent connection does.
pub(crate) async fn stay_silent<Answer>() -> Answer {
    future::pending().await
}
