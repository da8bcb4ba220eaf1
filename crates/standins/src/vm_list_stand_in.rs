//! A stand-in for the platform's VM list.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use async_trait::async_trait;
use bytes::Bytes;
use http::{
    Method,
    StatusCode,
    header::{
        ETAG,
        IF_NONE_MATCH, //
    },
    request::Parts, //
};
use jasminebend_base::{
    VmName,
    VmRecord,
    VmSnapshot, //
};
use jasminebend_ports::{
    AccessToken,
    ClockSource,
    HttpVmList,
    SystemClock,
    VmList,
    VmListError, //
};
use tokio::net::TcpListener;

use crate::{
    CallKind,
    FaultKind,
    FaultPlan,
    ServerGuard,
    fault_plan::run_with_fault,
    http_server::{
        self,
        CallHandler, //
    },
    vm_list_history::VmListHistory,
    wire_response::{
        CloseConnection,
        ResponseResult,
        body_response,
        entity_tag,
        fault_response,
        refused_response, //
    }, //
};

/// A stand-in for the platform's VM list. Copies share the list, so that one can be used in memory while another is
/// served over HTTP.
#[derive(Clone)]
pub struct VmListStandIn {
    history: Arc<Mutex<VmListHistory>>,
    lag: Duration,
    faults: FaultPlan,
    clock: Arc<dyn ClockSource>,
    token: Option<AccessToken>,
}

impl VmListStandIn {
    /// Creates a list that shows changes without a lag.
    pub fn new(vms: Vec<VmRecord>) -> Self {
        Self {
            history: Arc::new(Mutex::new(VmListHistory::new(vms))),
            lag: Duration::ZERO,
            faults: FaultPlan::default(),
            clock: Arc::new(SystemClock::new()),
            token: None,
        }
    }

    /// Sets the time after which readers see a change.
    pub fn with_lag(mut self, lag: Duration) -> Self {
        self.lag = lag;
        self
    }

    /// Sets the clock that measures the lag.
    pub fn with_clock(mut self, clock: Arc<dyn ClockSource>) -> Self {
        self.clock = clock;
        self
    }

    /// Sets the fault plan.
    pub fn with_faults(mut self, faults: FaultPlan) -> Self {
        self.faults = faults;
        self
    }

    /// Sets the access token that HTTP callers must send.
    pub fn with_token(mut self, token: AccessToken) -> Self {
        self.token = Some(token);
        self
    }

    /// Returns the fault plan, which also holds the call counts.
    pub fn faults(&self) -> &FaultPlan {
        &self.faults
    }

    /// Replaces the whole list.
    pub fn set(&self, vms: Vec<VmRecord>) {
        self.change(|listed| *listed = vms);
    }

    /// Adds a VM, or replaces the one with the same name.
    pub fn add(&self, record: VmRecord) {
        self.change(|vms| {
            vms.retain(|vm| vm.name != record.name);
            vms.push(record);
        });
    }

    /// Marks a VM as leaving.
    pub fn leave<Name>(&self, name: Name)
    where
        Name: Into<VmName>,
    {
        self.lock().leave(self.clock.monotonic(), &name.into());
    }

    /// Removes a VM from the list.
    pub fn remove<Name>(&self, name: Name)
    where
        Name: Into<VmName>,
    {
        let name = name.into();
        self.change(|vms| vms.retain(|vm| vm.name != name));
    }

    /// Serves the list on an ephemeral port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns the error of a socket that can't be bound.
    pub async fn start(&self) -> Result<(SocketAddr, ServerGuard), io::Error> {
        http_server::start(Arc::new(self.clone())).await
    }

    /// Serves the list on `listener` until the returned guard is dropped.
    pub fn serve(&self, listener: TcpListener) -> ServerGuard {
        http_server::serve(listener, Arc::new(self.clone()))
    }

    async fn run_read(&self) -> Result<VmSnapshot, FaultKind> {
        let fault = self
            .faults
            .next_fault(CallKind::Read, self.clock.monotonic());
        let stale = fault == Some(FaultKind::Stale);
        let list = self.clone();
        let snapshot = run_with_fault(fault, move || {
            let now = list.clock.monotonic();
            list.lock().read(now, list.lag, stale)
        })
        .await?;
        self.faults.count_rows(snapshot.vms.len(), 0);
        Ok(snapshot)
    }

    fn list_response(&self, head: &Parts, snapshot: &VmSnapshot) -> ResponseResult {
        let body = Bytes::from(serde_json::to_vec(snapshot).map_err(|_| CloseConnection)?);
        let tag = entity_tag(&body);
        let mut response = if head.headers.get(IF_NONE_MATCH) == Some(&tag) {
            body_response(StatusCode::NOT_MODIFIED, Bytes::new())?
        } else {
            self.faults.count_rows(0, body.len());
            body_response(StatusCode::OK, body)?
        };
        response.headers_mut().insert(ETAG, tag);
        Ok(response)
    }

    fn change<Change>(&self, change: Change)
    where
        Change: FnOnce(&mut Vec<VmRecord>),
    {
        self.lock().change(self.clock.monotonic(), change);
    }

    fn lock(&self) -> MutexGuard<'_, VmListHistory> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl VmList for VmListStandIn {
    async fn read(&self) -> Result<VmSnapshot, VmListError> {
        self.run_read().await.map_err(|fault| match fault {
            FaultKind::Malformed => VmListError::Malformed,
            _ => VmListError::Unavailable,
        })
    }
}

#[async_trait]
impl CallHandler for VmListStandIn {
    fn token(&self) -> Option<&AccessToken> {
        self.token.as_ref()
    }

    async fn answer(&self, head: Parts, _body: Bytes, _caller: SocketAddr) -> ResponseResult {
        if head.uri.path() != HttpVmList::PATH {
            return refused_response(StatusCode::NOT_FOUND, "no such path");
        }
        if head.method != Method::GET {
            return refused_response(StatusCode::METHOD_NOT_ALLOWED, "the path takes GET");
        }
        match self.run_read().await {
            Ok(snapshot) => self.list_response(&head, &snapshot),
            Err(kind) => fault_response(kind),
        }
    }
}
