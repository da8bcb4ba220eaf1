//! The control port of a daemon.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use async_trait::async_trait;
use jasminebend_base::{
    ClassKind,
    Configuration,
    ConfigurationVersion,
    DomainName,
    DomainState,
    ResourceId, //
};
use jasminebend_cluster::{
    ClusterHandle,
    ConfigurationChange,
    ProposalError,
    RefusalReason, //
};
use jasminebend_placement::JobId;
use jasminebend_planner::{
    JobError,
    JobStatus,
    PlannerHandle,
    SubmitError, //
};
use jasminebend_ports::ClockSource;
use serde::Serialize;
use tokio::{
    sync::watch,
    time::sleep, //
};

use crate::{
    ControlError,
    ControlPort,
    DaemonStatus,
    SlotReadiness, //
};

/// The time between two checks of the held slots.
const SLOT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
const PENDING_VERSION_ADVICE: &str = "may still come into force: the status shows which version is accepted, and \
                        to ask for the same again is safe";

/// Implements the control port of a daemon by its cluster part and its planner.
pub(crate) struct EntryControl {
    domain: DomainName,
    region: String,
    cluster: ClusterHandle,
    planner: PlannerHandle,
    clock: Arc<dyn ClockSource>,
    /// Whether slots have been held for long enough that the gateway uses them.
    slots_ready: AtomicBool,
    stopping: AtomicBool,
}

impl EntryControl {
    pub(crate) fn new(
        domain: DomainName,
        region: String,
        cluster: ClusterHandle,
        planner: PlannerHandle,
        clock: Arc<dyn ClockSource>,
    ) -> Self {
        Self {
            domain,
            region,
            cluster,
            planner,
            clock,
            slots_ready: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
        }
    }

    /// Makes the daemon report itself as not ready and stopping.
    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns whether the VM list is known or no service needs it.
    ///
    /// A daemon that started while the VM list was unreachable knows no endpoints and would refuse every caller, while
    /// the other daemons still know the list that they read before.
    fn has_vm_list(&self) -> bool {
        let configuration = self.configuration();
        let mut classes = configuration.classes.iter();
        let has_services = classes.any(|class| class.kind == ClassKind::Service);
        !has_services || !self.cluster.vm_list().borrow().vms.is_empty()
    }

    /// Checks the held slots periodically, until the sender of `stop` is dropped.
    ///
    /// A readiness request returns the result of these checks, also if it is the first request.
    pub(crate) async fn watch_slots(self: Arc<Self>, mut stop: watch::Receiver<()>) {
        let mut readiness = SlotReadiness::new();
        loop {
            let ready = readiness.observe(self.clock.monotonic(), self.holds_slots());
            self.slots_ready.store(ready, Ordering::Relaxed);
            tokio::select! {
                _ = stop.changed() => return,
                () = sleep(SLOT_CHECK_INTERVAL) => {}
            }
        }
    }

    /// Returns whether the daemon holds slots that it may use now.
    fn holds_slots(&self) -> bool {
        let ownership = self.cluster.ownership();
        let usable = |resource: ResourceId| {
            matches!(resource, ResourceId::Slots(_))
                && ownership.remaining_takeover_delay(resource).is_zero()
        };
        let held = ownership.owned_resources();
        held.iter().any(|(resource, _)| usable(*resource))
    }

    async fn propose(
        &self,
        change: ConfigurationChange,
    ) -> Result<ConfigurationVersion, ControlError> {
        self.cluster.propose(change).await.map_err(proposal_error)
    }
}

#[async_trait]
impl ControlPort for EntryControl {
    fn status(&self) -> DaemonStatus {
        DaemonStatus {
            program: env!("CARGO_PKG_VERSION"),
            failure_domain: self.domain.clone(),
            region: self.region.clone(),
            ready: self.ready(),
            stopping: self.is_stopping(),
            configuration: self.configuration().version,
            cluster: to_json(&self.cluster.status()),
        }
    }

    /// Returns whether the balancer may send callers to this daemon.
    ///
    /// A daemon that has a seat but no slots, such as one that has just started, could only keep callers waiting, so it
    /// is not ready until it holds some.
    fn ready(&self) -> bool {
        !self.is_stopping()
            && self.cluster.is_ready()
            && self.has_vm_list()
            && self.slots_ready.load(Ordering::Relaxed)
    }

    fn configuration(&self) -> Arc<Configuration> {
        self.cluster.configuration().borrow().clone()
    }

    async fn replace(
        &self,
        configuration: Configuration,
        expected: ConfigurationVersion,
    ) -> Result<ConfigurationVersion, ControlError> {
        let change = ConfigurationChange::Replace {
            configuration,
            expected: Some(expected),
        };
        self.propose(change).await
    }

    async fn set_domain(
        &self,
        name: DomainName,
        state: DomainState,
        force: bool,
    ) -> Result<ConfigurationVersion, ControlError> {
        let change = ConfigurationChange::SetDomainState { name, state, force };
        self.propose(change).await
    }

    async fn submit(&self, job: &[u8]) -> Result<String, ControlError> {
        let spec = serde_json::from_slice(job).map_err(|error| ControlError::Malformed {
            reason: error.to_string(),
        })?;
        let submitted = self.planner.submit(spec).await;
        submitted
            .map(|job| job.to_string())
            .map_err(submission_error)
    }

    async fn cancel(&self, job: &str) -> Result<(), ControlError> {
        let cancelled = self.planner.cancel(parse_job(job)?).await;
        cancelled.map_err(cancellation_error)
    }

    async fn job(&self, job: &str) -> Result<serde_json::Value, ControlError> {
        let status = self.planner.job_status(parse_job(job)?).await;
        status
            .map(|status| job_status_json(&status))
            .map_err(job_error)
    }

    async fn jobs(&self) -> Result<Vec<serde_json::Value>, ControlError> {
        let statuses = self.planner.job_statuses().await;
        let statuses = statuses.map_err(job_error)?;
        Ok(statuses.iter().map(job_status_json).collect())
    }
}

fn proposal_error(error: ProposalError) -> ControlError {
    let reason = match &error {
        ProposalError::NotAccepted(reason) => reason,
        ProposalError::Unknown { version } => {
            return ControlError::Unknown {
                find_out: format!("version {version} {PENDING_VERSION_ADVICE}"),
            };
        }
    };
    let text = reason.to_string();
    match reason {
        RefusalReason::Superseded { current, .. } => ControlError::Stale { found: *current },
        RefusalReason::UnknownDomain { domain } => ControlError::NotFound {
            kind: "failure domain",
            name: domain.to_string(),
        },
        RefusalReason::Invalid(_) | RefusalReason::TooLarge { .. } => {
            ControlError::Refused { reason: text }
        }
        _ => ControlError::Unavailable { reason: text },
    }
}

fn submission_error(error: SubmitError) -> ControlError {
    let text = error.to_string();
    match error {
        SubmitError::Unknown { .. } => ControlError::Unknown { find_out: text },
        SubmitError::TableUnavailable => ControlError::Unavailable { reason: text },
        _ => ControlError::Refused { reason: text },
    }
}

/// Converts the error of a cancellation. If the table's answer was lost, the cancellation may have been written;
/// repeating it is safe.
fn cancellation_error(error: JobError) -> ControlError {
    match error {
        JobError::Table(cause) if !cause.certainly_had_no_effect() => ControlError::Unknown {
            find_out: error.to_string(),
        },
        other => job_error(other),
    }
}

fn job_error(error: JobError) -> ControlError {
    match error {
        JobError::UnknownJob { job } => ControlError::NotFound {
            kind: "job",
            name: job.to_string(),
        },
        other => ControlError::Unavailable {
            reason: other.to_string(),
        },
    }
}

/// Converts a job's status to JSON. The job's identifier has sixteen hexadecimal digits, as a submission returns it.
///
/// Many JSON parsers lose the last digits of so large a number.
fn job_status_json(status: &JobStatus) -> serde_json::Value {
    let mut value = to_json(status);
    value["job"] = status.job.to_string().into();
    value
}

fn parse_job(text: &str) -> Result<JobId, ControlError> {
    text.parse().map_err(|_| ControlError::NotFound {
        kind: "job",
        name: text.to_owned(),
    })
}

fn to_json<Content>(content: &Content) -> serde_json::Value
where
    Content: Serialize,
{
    serde_json::to_value(content).unwrap_or_default()
}
