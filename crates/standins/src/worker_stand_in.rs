//! The stand-in of one worker.

use std::{
    io,
    net::{
        IpAddr,
        SocketAddr, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        Weak, //
    }, //
};

use async_trait::async_trait;
use bytes::Bytes;
use http::{
    HeaderValue,
    Method,
    StatusCode,
    header::{
        ACCEPT,
        CONTENT_TYPE, //
    },
    request::Parts, //
};
use indexmap::IndexSet;
use jasminebend_base::{
    DomainName,
    ResourceAmount,
    VmName, //
};
use jasminebend_ports::{
    AccessToken,
    AnswerFormat,
    ClockSource,
    WorkerAnswer,
    WorkerCalls,
    WorkerError,
    WorkerRequest,
    WorkerTask, //
};
use tokio::net::TcpListener;

use crate::{
    CallKind,
    FaultKind,
    FaultPlan,
    OutageState,
    RunLedger,
    ServerGuard,
    WorkerKnobs,
    http_server::{
        self,
        CallHandler, //
    },
    run_ledger::SettleRuns,
    wire_answer::{
        CutConnection,
        WireResult,
        fault,
        json,
        refuse,
        reply, //
    },
    worker_cell::WorkerCell,
    worker_core::WorkerCore, //
};

/// The stand-in of one worker. Copies share its state, so that one can be used in memory while
/// another is served over HTTP. As a [`jasminebend_ports::WorkerPort`], it takes every address for its own.
#[derive(Clone)]
pub struct WorkerStandIn {
    cell: Arc<WorkerCell>,
    faults: FaultPlan,
    token: Option<AccessToken>,
    blocked: Arc<Mutex<IndexSet<IpAddr>>>,
}

impl WorkerStandIn {
    /// Creates a worker without runs, that writes to `ledger` and counts its leases on `clock`.
    /// `seed` is that of its measurements' lag and of its first incarnation.
    pub fn new<Name, Domain>(
        name: Name,
        domain: Domain,
        capacity: ResourceAmount,
        clock: Arc<dyn ClockSource>,
        ledger: Arc<RunLedger>,
        seed: u64,
    ) -> Self
    where
        Name: Into<VmName>,
        Domain: Into<DomainName>,
    {
        let core = WorkerCore::new(
            name.into(),
            domain.into(),
            capacity,
            Arc::clone(&ledger),
            seed,
        );
        let cell = Arc::new(WorkerCell::new(core, clock));
        let settle: Weak<dyn SettleRuns> = Arc::downgrade(&cell) as Weak<dyn SettleRuns>;
        ledger.attach(settle);
        Self {
            cell,
            faults: FaultPlan::new(seed),
            token: None,
            blocked: Arc::default(),
        }
    }

    /// Sets the faults.
    pub fn with_faults(mut self, faults: FaultPlan) -> Self {
        self.faults = faults;
        self
    }

    /// Sets the token that owners over HTTP must show.
    pub fn with_token(mut self, token: AccessToken) -> Self {
        self.token = Some(token);
        self
    }

    /// Returns the faults and the counts.
    pub fn faults(&self) -> &FaultPlan {
        &self.faults
    }

    /// Returns the VM's name.
    pub fn name(&self) -> VmName {
        self.cell.lock().name.clone()
    }

    /// Returns the failure domain.
    pub fn domain(&self) -> DomainName {
        self.cell.lock().domain.clone()
    }

    /// Returns what the worker can hold.
    pub fn capacity(&self) -> ResourceAmount {
        self.cell.lock().capacity
    }

    /// Returns the runs in progress.
    pub fn running(&self) -> Vec<WorkerTask> {
        self.cell.settle();
        self.cell.lock().running_tasks()
    }

    /// Changes how the worker behaves.
    pub fn set_knobs<Change>(&self, change: Change)
    where
        Change: FnOnce(&mut WorkerKnobs),
    {
        self.cell.settle();
        change(&mut self.cell.lock().knobs);
    }

    /// Restarts the worker: its runs end, it forgets everything, and it is reached again.
    pub fn restart(&self) {
        let now = self.cell.now();
        self.cell.lock().restart(now);
        self.faults.set_outage(OutageState::Up);
    }

    /// Fails the worker's VM: its runs end, and it is not reached until it restarts.
    pub fn fail(&self) {
        self.restart();
        self.faults
            .set_outage(OutageState::Down(FaultKind::Unreachable));
    }

    /// Cuts the worker off from the callers at this address.
    pub fn block_caller(&self, caller: IpAddr) {
        self.lock_blocked().insert(caller);
    }

    /// Lets the callers at this address through again.
    pub fn unblock_caller(&self, caller: IpAddr) {
        self.lock_blocked().swap_remove(&caller);
    }

    /// Serves the worker on an ephemeral port of the loopback interface.
    ///
    /// # Errors
    ///
    /// The error of the socket.
    pub async fn start_server(&self) -> Result<(SocketAddr, ServerGuard), io::Error> {
        http_server::start(Arc::new(self.clone())).await
    }

    /// Serves the worker until the guard is dropped.
    pub fn serve(&self, listener: TcpListener) -> ServerGuard {
        http_server::serve(listener, Arc::new(self.clone()))
    }

    pub(crate) fn blocks(&self, caller: IpAddr) -> bool {
        self.lock_blocked().contains(&caller)
    }

    pub(crate) async fn order(&self, request: WorkerRequest) -> Result<WorkerAnswer, WorkerError> {
        self.carry_out(request)
            .await
            .unwrap_or_else(|fault| Err(worker_error(fault)))
    }

    async fn carry_out(
        &self,
        request: WorkerRequest,
    ) -> Result<Result<WorkerAnswer, WorkerError>, FaultKind> {
        let call = call_kind(&request);
        let cell = Arc::clone(&self.cell);
        let now = self.cell.now();
        self.faults
            .run(call, now, move || cell.carry_out(&request))
            .await
    }

    fn lock_blocked(&self) -> MutexGuard<'_, IndexSet<IpAddr>> {
        self.blocked.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn call_kind(request: &WorkerRequest) -> CallKind {
    match request {
        WorkerRequest::Adopt(_) => CallKind::Adopt,
        WorkerRequest::Renew(_) => CallKind::Renew,
        WorkerRequest::Start { .. } => CallKind::Start,
        WorkerRequest::Throttle { .. } => CallKind::Throttle,
        WorkerRequest::Checkpoint { .. } => CallKind::Checkpoint,
        WorkerRequest::Stop { .. } => CallKind::Stop,
    }
}

fn worker_error(fault: FaultKind) -> WorkerError {
    match fault {
        FaultKind::Unreachable | FaultKind::Refuse => WorkerError::Unreachable,
        _ => WorkerError::Unknown,
    }
}

#[async_trait]
impl WorkerCalls for WorkerStandIn {
    async fn call(
        &self,
        _worker: SocketAddr,
        request: WorkerRequest,
    ) -> Result<WorkerAnswer, WorkerError> {
        self.order(request).await
    }
}

#[async_trait]
impl CallHandler for WorkerStandIn {
    fn token(&self) -> Option<&AccessToken> {
        self.token.as_ref()
    }

    async fn answer(&self, head: Parts, body: Bytes, caller: SocketAddr) -> WireResult {
        if self.blocks(caller.ip()) {
            return Err(CutConnection);
        }
        if head.uri.path() != WorkerRequest::PATH {
            return refuse(StatusCode::NOT_FOUND, "no such path");
        }
        if head.method != Method::POST {
            return refuse(StatusCode::METHOD_NOT_ALLOWED, "the path takes POST");
        }
        let Ok(request) = serde_json::from_slice(&body) else {
            return refuse(StatusCode::BAD_REQUEST, "the body is no worker request");
        };
        let format = AnswerFormat::from_accept(head.headers.get(ACCEPT));
        match self.carry_out(request).await {
            Ok(Ok(answer)) => write_answer(format, &answer),
            Ok(Err(error)) => json(StatusCode::CONFLICT, &error),
            Err(kind) => fault(kind),
        }
    }
}

fn write_answer(format: AnswerFormat, answer: &WorkerAnswer) -> WireResult {
    if format == AnswerFormat::Json {
        return json(StatusCode::OK, answer);
    }
    let body = postcard::to_stdvec(answer).map_err(|_| CutConnection)?;
    let mut response = reply(StatusCode::OK, body.into())?;
    let postcard = HeaderValue::from_static(AnswerFormat::POSTCARD_TYPE);
    response.headers_mut().insert(CONTENT_TYPE, postcard);
    Ok(response)
}
