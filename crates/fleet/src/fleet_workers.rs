//! The ports of the workers, the advice service and the VMs.

use std::{
    sync::Arc,
    time::Duration, //
};

use async_trait::async_trait;
use jasminebend_dispatch::{
    LeaseRenewal,
    OrderOutcome,
    RenewalReport,
    RunNumber,
    StartOrder,
    StepKey,
    TaskKey, //
};

/// The address of a worker, with the identity and token that calls to it carry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerAddress {
    /// The worker's identity.
    pub id: Arc<str>,
    /// The host and port.
    pub address: String,
    /// The fencing token of calls to the worker's present incarnation, one of the owner's.
    pub token: u64,
    /// When the incarnation began that the call is meant for, since 1970; `None` if the worker's answers do not tell. Any
    /// incarnation may answer a renewal that is [read-only](LeaseRenewal::is_read_only).
    pub incarnation: Option<Duration>,
}

/// A worker's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderReply {
    /// The outcome of the order.
    pub outcome: OrderOutcome,
    /// The reading of the worker's clock, if it answered with one. Each incarnation has another one.
    pub clock: Option<Duration>,
}

impl From<OrderOutcome> for OrderReply {
    fn from(outcome: OrderOutcome) -> Self {
        Self {
            outcome,
            clock: None,
        }
    }
}

/// The port of the workers. A call that meets another incarnation than the intended one is not sent, but refused as
/// [`Restarted`](jasminebend_dispatch::OrderRefusal::Restarted).
#[async_trait(?Send)]
pub trait FleetWorkers {
    /// Renews a worker's lease, and returns its report of the runs that are active or have ended.
    ///
    /// # Errors
    ///
    /// The [`OrderOutcome`] if there is no report: the worker refused the call or did not answer.
    async fn renew_lease(
        &self,
        worker: &WorkerAddress,
        order: LeaseRenewal,
    ) -> Result<RenewalReport, OrderOutcome>;

    /// Starts a run. `deadline` is the end of the lease by the worker's clock.
    async fn start(
        &self,
        worker: &WorkerAddress,
        order: &StartOrder,
        deadline: Duration,
    ) -> OrderReply;

    /// Stops a run; a start order for it that arrives later is rejected.
    async fn stop(&self, worker: &WorkerAddress, task: TaskKey, run: RunNumber) -> OrderReply;

    /// Throttles a run to `percent` of its full speed.
    async fn throttle(
        &self,
        worker: &WorkerAddress,
        task: TaskKey,
        run: RunNumber,
        percent: u32,
    ) -> OrderReply;

    /// Closes the idle connections to an address.
    fn close_idle_connections(&self, address: &str);
}

/// The advice service's answer: the workers that may run a step, each with a ticket.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdviceTickets {
    /// The identity and the ticket of each worker.
    pub tickets: Vec<(Arc<str>, Arc<str>)>,
    /// How long the tickets are valid.
    pub validity: Duration,
}

/// The port of the advice service.
#[async_trait(?Send)]
pub trait FleetAdvice {
    /// Asks which of these workers may run a step; returns `None` if there is no answer.
    async fn advise(&self, step: StepKey, workers: &[Arc<str>]) -> Option<AdviceTickets>;
}

/// An entry of the platform's list of VMs.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedVm {
    /// The VM's name.
    pub vm: Arc<str>,
    /// Whether the VM is up.
    pub up: bool,
    /// The identity of the VM's worker, if it has one.
    pub worker: Option<Arc<str>>,
}

/// The outcome of a call that sends a VM into maintenance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MaintenanceOutcome {
    /// The VM goes down for maintenance, or has already been maintained in this wave.
    Begun,
    /// The VM is already down or leaving.
    Busy,
    /// The platform has received a call with a newer fencing token.
    Fenced,
    /// The VM can never be maintained.
    Never,
    /// The platform refused the call for now.
    Refused,
    /// No answer came.
    Unknown,
}

/// The port of the platform's VMs.
#[async_trait(?Send)]
pub trait FleetVms {
    /// Lists all VMs; returns `None` if the list can't be read.
    async fn list(&self) -> Option<Vec<ListedVm>>;

    /// Sends a VM into maintenance for a wave, as the lease holder `holder` with the fencing token `token`.
    async fn start_maintenance(
        &self,
        vm: &str,
        wave: u64,
        holder: &str,
        token: u64,
    ) -> MaintenanceOutcome;
}
