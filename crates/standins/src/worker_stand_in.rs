//! A stand-in for one worker.

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
    WorkerError,
    WorkerRequest,
    WorkerTask, //
    WorkerTransport,
};
use tokio::net::TcpListener;

use crate::{
    CallKind,
    FaultKind,
    FaultPlan,
    OutageState,
    RunLedger,
    ServerGuard,
    WorkerSettings,
    http_server::{
        self,
        CallHandler, //
    },
    run_ledger::AdvanceRuns,
    shared_worker::SharedWorker,
    wire_response::{
        CloseConnection,
        ResponseResult,
        body_response,
        fault_response,
        json_response,
        refused_response, //
    },
    worker_state::WorkerState, //
};

/// A stand-in for one worker. Copies share its state, so that one can be used in memory while another is served over
/// HTTP. As a [`jasminebend_ports::WorkerPort`], it handles calls to any address as calls to itself.
#[derive(Clone)]
pub struct WorkerStandIn {
    shared: Arc<SharedWorker>,
    faults: FaultPlan,
    token: Option<AccessToken>,
    /// The addresses of the callers that can't reach the worker.
    blocked: Arc<Mutex<IndexSet<IpAddr>>>,
}

impl WorkerStandIn {
    /// Creates a worker without runs that records its runs in `ledger` and measures its leases on `clock`. `seed`
    /// seeds the lag of its measurements and its random faults, and is its first incarnation.
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
        let state = WorkerState::new(
            name.into(),
            domain.into(),
            capacity,
            Arc::clone(&ledger),
            seed,
        );
        let shared = Arc::new(SharedWorker::new(state, clock));
        let runs: Weak<dyn AdvanceRuns> = Arc::downgrade(&shared) as Weak<dyn AdvanceRuns>;
        ledger.add_worker(runs);
        Self {
            shared,
            faults: FaultPlan::new(seed),
            token: None,
            blocked: Arc::default(),
        }
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

    /// Returns the name of the worker's VM.
    pub fn name(&self) -> VmName {
        self.shared.lock().name.clone()
    }

    /// Returns the worker's failure domain.
    pub fn domain(&self) -> DomainName {
        self.shared.lock().domain.clone()
    }

    /// Returns the worker's capacity.
    pub fn capacity(&self) -> ResourceAmount {
        self.shared.lock().capacity
    }

    /// Returns the runs in progress at the current time.
    pub fn running(&self) -> Vec<WorkerTask> {
        self.shared.advance_runs();
        self.shared.lock().running_tasks()
    }

    /// Changes the worker's settings. Runs up to now keep the progress that they made under the old settings.
    pub fn update_settings<Change>(&self, change: Change)
    where
        Change: FnOnce(&mut WorkerSettings),
    {
        self.shared.advance_runs();
        change(&mut self.shared.lock().settings);
    }

    /// Restarts the worker: its runs end, its state and lease are lost, and an outage of it ends.
    pub fn restart(&self) {
        let now = self.shared.now();
        self.shared.lock().restart(now);
        self.faults.set_outage(OutageState::Up);
    }

    /// Fails the worker's VM: its runs end, and it is unreachable until [`WorkerStandIn::restart`].
    pub fn fail(&self) {
        self.restart();
        self.faults
            .set_outage(OutageState::Down(FaultKind::Unreachable));
    }

    /// Makes the worker unreachable for callers at this address.
    pub fn block_caller(&self, caller: IpAddr) {
        self.lock_blocked().insert(caller);
    }

    /// Makes the worker reachable again for callers at this address.
    pub fn unblock_caller(&self, caller: IpAddr) {
        self.lock_blocked().swap_remove(&caller);
    }

    /// Serves the worker on an ephemeral port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns the error of a socket that can't be bound.
    pub async fn start_server(&self) -> Result<(SocketAddr, ServerGuard), io::Error> {
        http_server::start(Arc::new(self.clone())).await
    }

    /// Serves the worker on `listener` until the returned guard is dropped.
    pub fn serve(&self, listener: TcpListener) -> ServerGuard {
        http_server::serve(listener, Arc::new(self.clone()))
    }

    pub(crate) fn is_blocked(&self, caller: IpAddr) -> bool {
        self.lock_blocked().contains(&caller)
    }

    pub(crate) async fn handle_call(
        &self,
        request: WorkerRequest,
    ) -> Result<WorkerAnswer, WorkerError> {
        self.run_with_faults(request)
            .await
            .unwrap_or_else(|fault| Err(worker_error(fault)))
    }

    async fn run_with_faults(
        &self,
        request: WorkerRequest,
    ) -> Result<Result<WorkerAnswer, WorkerError>, FaultKind> {
        let call = call_kind(&request);
        let shared = Arc::clone(&self.shared);
        let now = self.shared.now();
        self.faults
            .run(call, now, move || shared.handle(&request))
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
impl WorkerTransport for WorkerStandIn {
    async fn call(
        &self,
        _worker: SocketAddr,
        request: WorkerRequest,
    ) -> Result<WorkerAnswer, WorkerError> {
        self.handle_call(request).await
    }
}

#[async_trait]
impl CallHandler for WorkerStandIn {
    fn token(&self) -> Option<&AccessToken> {
        self.token.as_ref()
    }

    async fn answer(&self, head: Parts, body: Bytes, caller: SocketAddr) -> ResponseResult {
        if self.is_blocked(caller.ip()) {
            return Err(CloseConnection);
        }
        if head.uri.path() != WorkerRequest::PATH {
            return refused_response(StatusCode::NOT_FOUND, "no such path");
        }
        if head.method != Method::POST {
            return refused_response(StatusCode::METHOD_NOT_ALLOWED, "the path takes POST");
        }
        let Ok(request) = serde_json::from_slice(&body) else {
            return refused_response(StatusCode::BAD_REQUEST, "the body is no worker request");
        };
        let format = AnswerFormat::from_accept_header(head.headers.get(ACCEPT));
        match self.run_with_faults(request).await {
            Ok(Ok(answer)) => encode_answer(format, &answer),
            Ok(Err(error)) => json_response(StatusCode::CONFLICT, &error),
            Err(kind) => fault_response(kind),
        }
    }
}

fn encode_answer(format: AnswerFormat, answer: &WorkerAnswer) -> ResponseResult {
    if format == AnswerFormat::Json {
        return json_response(StatusCode::OK, answer);
    }
    let body = postcard::to_stdvec(answer).map_err(|_| CloseConnection)?;
    let mut response = body_response(StatusCode::OK, body.into())?;
    let postcard = HeaderValue::from_static(AnswerFormat::POSTCARD_TYPE);
    response.headers_mut().insert(CONTENT_TYPE, postcard);
    Ok(response)
}
