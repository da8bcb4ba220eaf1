//! Carries out what operators ask for through the daemon's parts.

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
    SlotSettling, //
};

/// How often the slots are looked at.
const LOOK: Duration = Duration::from_millis(50);
const MAY_COME: &str = "may still come into force: the status shows which version is accepted, and \
                        to ask for the same again is safe";

/// Carries out what operators ask for through the daemon's parts.
pub(crate) struct EntryControl {
    domain: DomainName,
    region: String,
    cluster: ClusterHandle,
    planner: PlannerHandle,
    clock: Arc<dyn ClockSource>,
    settled: AtomicBool,
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
            settled: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
        }
    }

    /// Tells the balancer from now on that no caller should be sent here.
    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Tells whether the endpoints of the services are known. A daemon that started while the VM list
    /// was out of reach would refuse every caller, while the others know the list of before.
    fn knows_vms(&self) -> bool {
        let configuration = self.configuration();
        let mut classes = configuration.classes.iter();
        let serves = classes.any(|class| class.kind == ClassKind::Service);
        !serves || !self.cluster.vm_list().borrow().vms.is_empty()
    }

    /// Looks at the slots from time to time, until the sender of `stop` is dropped. Whoever asks
    /// for the readiness, be it for the first time, is then told of what was seen before.
    pub(crate) async fn watch_slots(self: Arc<Self>, mut stop: watch::Receiver<()>) {
        let mut settling = SlotSettling::new();
        loop {
            let settled = settling.observe(self.clock.monotonic(), self.holds_slots());
            self.settled.store(settled, Ordering::Relaxed);
            tokio::select! {
                _ = stop.changed() => return,
                () = sleep(LOOK) => {}
            }
        }
    }

    /// Tells whether slots are held that may be used now.
    fn holds_slots(&self) -> bool {
        let ownership = self.cluster.ownership();
        let usable = |resource: ResourceId| {
            matches!(resource, ResourceId::Slots(_)) && ownership.idle_for(resource).is_zero()
        };
        let held = ownership.held();
        held.iter().any(|(resource, _)| usable(*resource))
    }

    async fn propose(
        &self,
        change: ConfigurationChange,
    ) -> Result<ConfigurationVersion, ControlError> {
        self.cluster.propose(change).await.map_err(explain_proposal)
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
            stopping: self.stopping(),
            configuration: self.configuration().version,
            cluster: to_json(&self.cluster.status()),
        }
    }

    /// A daemon with a seat but no slots, as after its start, could only keep callers waiting: the
    /// balancer is told to wait until some slots are its own.
    fn ready(&self) -> bool {
        !self.stopping()
            && self.cluster.is_ready()
            && self.knows_vms()
            && self.settled.load(Ordering::Relaxed)
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
            .map_err(explain_submission)
    }

    async fn cancel(&self, job: &str) -> Result<(), ControlError> {
        let cancelled = self.planner.cancel(parse_job(job)?).await;
        cancelled.map_err(explain_cancellation)
    }

    async fn job(&self, job: &str) -> Result<serde_json::Value, ControlError> {
        let status = self.planner.job(parse_job(job)?).await;
        status.map(|status| present(&status)).map_err(explain_job)
    }

    async fn jobs(&self) -> Result<Vec<serde_json::Value>, ControlError> {
        let statuses = self.planner.jobs().await;
        let statuses = statuses.map_err(explain_job)?;
        Ok(statuses.iter().map(present).collect())
    }
}

fn explain_proposal(error: ProposalError) -> ControlError {
    let reason = match &error {
        ProposalError::NotAccepted(reason) => reason,
        ProposalError::Unknown { version } => {
            return ControlError::Unknown {
                find_out: format!("version {version} {MAY_COME}"),
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

fn explain_submission(error: SubmitError) -> ControlError {
    let text = error.to_string();
    match error {
        SubmitError::Unknown { .. } => ControlError::Unknown { find_out: text },
        SubmitError::TableUnavailable => ControlError::Unavailable { reason: text },
        _ => ControlError::Refused { reason: text },
    }
}

/// A cancellation whose answer is lost may have been written; to send it again is safe.
fn explain_cancellation(error: JobError) -> ControlError {
    match error {
        JobError::Table(cause) if !cause.surely_not_run() => ControlError::Unknown {
            find_out: error.to_string(),
        },
        other => explain_job(other),
    }
}

fn explain_job(error: JobError) -> ControlError {
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

/// Names the job as its submission did, by sixteen hexadecimal digits: many readers of JSON lose
/// the last digits of so large a number.
fn present(status: &JobStatus) -> serde_json::Value {
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
