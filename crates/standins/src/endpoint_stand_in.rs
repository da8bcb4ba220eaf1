//! A stand-in for an endpoint.

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
    EndpointRecord,
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
    EndpointLedger,
    EndpointSettings,
    ServerGuard,
    controlled_stream::StreamControl,
    endpoint_plan::EndpointPlan,
    endpoint_server,
    stream_controls::StreamControls, //
};

const DEFAULT_SLOTS: u16 = 8;
const DEFAULT_CONNECTIONS: u16 = 64;

/// The state that the copies of a stand-in endpoint and its connections share.
pub(crate) struct EndpointState {
    pub(crate) name: VmName,
    pub(crate) connections: u16,
    pub(crate) slots: Arc<Semaphore>,
    pub(crate) ledger: Arc<EndpointLedger>,
    pub(crate) clock: Arc<dyn ClockSource>,
    plan: Mutex<EndpointPlan>,
    pub(crate) controls: StreamControls,
}

impl EndpointState {
    pub(crate) fn plan(&self) -> MutexGuard<'_, EndpointPlan> {
        self.plan.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes one connection silent. It no longer counts as open, because the endpoint can't notice that the caller
    /// closes it.
    pub(crate) fn silence(&self, control: &StreamControl) {
        if !control.is_silent() {
            control.silence();
            self.ledger.record_close(&self.name);
        }
    }
}

/// A stand-in for an endpoint: an HTTP/1.1 server that processes at most as many requests at once as it has slots. It
/// processes a request to its end even if the caller gives up. Copies share their state.
#[derive(Clone)]
pub struct EndpointStandIn {
    state: Arc<EndpointState>,
    slots: u16,
}

impl EndpointStandIn {
    /// Creates an endpoint with 8 slots and 64 connections that counts its requests in `ledger`. `seed` seeds its
    /// service times and its random faults.
    pub fn new<Name>(name: Name, ledger: Arc<EndpointLedger>, seed: u64) -> Self
    where
        Name: Into<VmName>,
    {
        Self {
            state: Arc::new(EndpointState {
                name: name.into(),
                connections: DEFAULT_CONNECTIONS,
                slots: Arc::new(Semaphore::new(usize::from(DEFAULT_SLOTS))),
                ledger,
                clock: Arc::new(SystemClock::new()),
                plan: Mutex::new(EndpointPlan::new(seed)),
                controls: StreamControls::default(),
            }),
            slots: DEFAULT_SLOTS,
        }
    }

    /// Sets the numbers of slots and connections. Must be called before the endpoint is served or copied.
    pub fn with_limits(self, slots: u16, connections: u16) -> Self {
        let clock = Arc::clone(&self.state.clock);
        self.rebuild(slots, connections, clock)
    }

    /// Sets the clock of the ledger's times. Must be called before the endpoint is served or copied.
    pub fn with_clock(self, clock: Arc<dyn ClockSource>) -> Self {
        let (slots, connections) = (self.slots, self.state.connections);
        self.rebuild(slots, connections, clock)
    }

    /// Sets the initial settings.
    pub fn with_settings(self, settings: EndpointSettings) -> Self {
        self.state.plan().settings = settings;
        self
    }

    /// Returns the name of the endpoint's VM.
    pub fn name(&self) -> &VmName {
        &self.state.name
    }

    /// Returns the ledger that counts the endpoint's requests.
    pub fn ledger(&self) -> &Arc<EndpointLedger> {
        &self.state.ledger
    }

    /// Changes the endpoint's settings.
    pub fn update_settings<Change>(&self, change: Change)
    where
        Change: FnOnce(&mut EndpointSettings),
    {
        change(&mut self.state.plan().settings);
    }

    /// Queues a fault for one request. Queued faults apply to the next requests in the order of the calls.
    pub fn queue_fault(&self, fault: EndpointFault) {
        self.state.plan().queue_fault(fault);
    }

    /// Makes every open connection silent, as a NAT or firewall does that loses its connection state. New connections
    /// work.
    pub fn silence_connections(&self) {
        for control in self.state.controls.all() {
            self.state.silence(&control);
        }
    }

    /// Returns the record of the endpoint's VM, for a VM list.
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
            name: self.state.name.clone(),
            incarnation: 1,
            domain: domain.into(),
            state: VmState::Live,
            executor: Some(EndpointRecord {
                service: service.into(),
                address,
                slots: self.slots,
                connections: self.state.connections,
            }),
            worker: None,
        }
    }

    /// Serves the endpoint on an ephemeral port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns the error of a socket that can't be bound.
    pub async fn start(&self) -> Result<(SocketAddr, ServerGuard), io::Error> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        Ok((address, self.serve(listener)))
    }

    fn rebuild(self, slots: u16, connections: u16, clock: Arc<dyn ClockSource>) -> Self {
        let state = EndpointState {
            name: self.state.name.clone(),
            connections,
            slots: Arc::new(Semaphore::new(usize::from(slots))),
            ledger: Arc::clone(&self.state.ledger),
            clock,
            plan: Mutex::new(self.state.plan().clone()),
            controls: StreamControls::default(),
        };
        Self {
            state: Arc::new(state),
            slots,
        }
    }

    /// Serves the endpoint on `listener` until the returned guard is dropped.
    pub fn serve(&self, listener: TcpListener) -> ServerGuard {
        let (guard, closed) = ServerGuard::new(self.state.controls.clone());
        tokio::spawn(endpoint_server::accept_all(
            listener,
            Arc::clone(&self.state),
            closed,
        ));
        guard
    }
}

/// Never returns, so that a silent connection gets no response.
pub(crate) async fn wait_forever<Answer>() -> Answer {
    future::pending().await
}
