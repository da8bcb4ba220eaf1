//! The test environment: stand-ins of the platform, a paused clock, and planners that use them.

use std::{
    net::IpAddr,
    sync::Arc,
    time::{
        Duration,
        SystemTime, //
    },
};

use jasminebend_base::{
    ClassKind,
    ClassTarget,
    Configuration,
    DomainName,
    DomainState,
    FailureDomain,
    OwnerEpoch,
    ResourceAmount,
    ResourceId,
    RouteRule,
    ServiceClass,
    TeamQuota,
    VmSnapshot, //
};
use jasminebend_planner::{
    JobId,
    JobPhase,
    JobSpec,
    JobStatus,
    PlannerHandle,
    PlannerPorts,
    PlannerSettings, //
};
use jasminebend_ports::{
    ClockSource,
    SystemClock,
    TableService,
    WorkerPort, //
};
use jasminebend_standins::{
    FixedOwnership,
    FleetShape,
    LedgerSummary,
    ObjectStandIn,
    RunLedger,
    TableStandIn,
    TaskPayload,
    WorkerFleet,
    WorkerStandIn, //
};
use tokio::{
    sync::watch,
    time::sleep, //
};

pub(crate) const PLANNED_SHARD: ResourceId = ResourceId::Shard(0);

#[derive(Clone, Copy)]
/// A clock whose wall-clock time starts at the Unix epoch, so that both times follow Tokio's paused
/// clock.
struct PausedClock(SystemClock);

impl ClockSource for PausedClock {
    fn monotonic(&self) -> Duration {
        self.0.monotonic()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.0.monotonic()
    }
}

/// A fleet of worker stand-ins, a table and an object store, shared by the planners of a test.
pub(crate) struct TestBed {
    pub(crate) clock: Arc<dyn ClockSource>,
    pub(crate) table: TableStandIn,
    pub(crate) objects: ObjectStandIn,
    pub(crate) ledger: Arc<RunLedger>,
    pub(crate) fleet: WorkerFleet,
    pub(crate) configuration: watch::Sender<Arc<Configuration>>,
    pub(crate) vms: watch::Sender<Arc<VmSnapshot>>,
    pub(crate) settings: PlannerSettings,
}

/// A planner and the ownership that it was started with.
pub(crate) struct TestPlanner {
    pub(crate) handle: PlannerHandle,
    pub(crate) ownership: Arc<FixedOwnership>,
}

impl TestBed {
    /// Creates workers with 8 cores and 32 GiB, two per rack, in three failure domains.
    pub(crate) fn new(workers: usize) -> Self {
        let clock: Arc<dyn ClockSource> = Arc::new(PausedClock(SystemClock::new()));
        let ledger = Arc::new(RunLedger::new());
        let shape = FleetShape {
            workers,
            domains: ["a", "b", "c"].map(DomainName::from).to_vec(),
            rack_size: 2,
            capacity: ResourceAmount::new(8_000, 32_768),
        };
        let fleet = WorkerFleet::new(&shape, &clock, &ledger, 1);
        let vms = VmSnapshot {
            revision: 1,
            vms: fleet.records(),
        };
        Self {
            table: TableStandIn::new().with_clock(Arc::clone(&clock)),
            objects: ObjectStandIn::new(),
            clock,
            ledger,
            fleet,
            configuration: watch::channel(Arc::new(configuration())).0,
            vms: watch::channel(Arc::new(vms)).0,
            settings: PlannerSettings::new(1),
        }
    }

    pub(crate) fn with_settings(mut self, settings: PlannerSettings) -> Self {
        self.settings = settings;
        self
    }

    /// Starts a planner that owns shard 0.
    pub(crate) async fn start_planner(&self, epoch: u64) -> TestPlanner {
        let caller = IpAddr::from([10, 9, 0, u8::try_from(epoch).unwrap()]);
        let workers = Arc::new(self.fleet.with_caller(caller));
        let table = Arc::new(self.table.clone());
        self.start_planner_with(epoch, table, workers).await
    }

    /// Starts a planner that owns shard 0 and uses the given table and workers.
    pub(crate) async fn start_planner_with(
        &self,
        epoch: u64,
        table: Arc<dyn TableService>,
        workers: Arc<dyn WorkerPort>,
    ) -> TestPlanner {
        let ownership =
            Arc::new(FixedOwnership::new().with_owned(PLANNED_SHARD, OwnerEpoch(epoch)));
        let ports = PlannerPorts {
            ownership: Arc::clone(&ownership) as _,
            configuration: self.configuration.subscribe(),
            vms: self.vms.subscribe(),
            table,
            objects: Arc::new(self.objects.clone()),
            workers,
            clock: Arc::clone(&self.clock),
            seed: epoch,
        };
        let handle = PlannerHandle::start(self.settings, ports).await;
        TestPlanner { handle, ownership }
    }

    /// Sets the state of a failure domain in the configuration.
    pub(crate) fn set_domain(&self, name: &str, state: DomainState) {
        self.configuration.send_modify(|configuration| {
            let mut changed = Configuration::clone(configuration);
            let domains = changed.domains.iter_mut();
            domains
                .filter(|domain| domain.name.as_str() == name)
                .for_each(|domain| domain.state = state);
            *configuration = Arc::new(changed);
        });
    }

    pub(crate) fn worker(&self, place: usize) -> &WorkerStandIn {
        self.fleet.workers().nth(place).unwrap().1
    }

    pub(crate) fn each_worker<Act>(&self, act: Act)
    where
        Act: Fn(&WorkerStandIn),
    {
        self.fleet.workers().for_each(|(_, worker)| act(worker));
    }

    pub(crate) fn now(&self) -> Duration {
        self.clock.monotonic()
    }

    /// Fails if a run overlapped another run of its task, a worker was over capacity, or a task
    /// finished more than once.
    pub(crate) fn check(&self) -> LedgerSummary {
        let summary = self.check_single_runs();
        assert_eq!(summary.repeated_finishes, 0, "{summary:?}");
        summary
    }

    /// Fails if a run overlapped another run of its task or a worker was over capacity. Allows
    /// repeated finishes: a task may finish without a report, on a worker that then forgets it or
    /// is partitioned for longer than its lease, and run again.
    pub(crate) fn check_single_runs(&self) -> LedgerSummary {
        let summary = self.ledger.summary();
        assert_eq!(summary.overlaps, 0, "{:?}", self.ledger.overlaps());
        assert_eq!(summary.over_capacity, 0, "{summary:?}");
        for (worker, peak) in self.ledger.peaks() {
            assert!(peak.reserved.fits_in(peak.capacity), "{worker}: {peak:?}");
        }
        summary
    }
}

impl TestPlanner {
    pub(crate) async fn status(&self, job: JobId) -> JobStatus {
        self.handle.job_status(job).await.unwrap()
    }

    /// Waits until a job has ended and returns its status; fails if that takes longer than
    /// `within`.
    pub(crate) async fn wait_until_ended(&self, job: JobId, within: Duration) -> JobStatus {
        let mut left = within;
        loop {
            let status = self.status(job).await;
            if matches!(status.phase, JobPhase::Finished | JobPhase::Cancelled) {
                return status;
            }
            assert!(!left.is_zero(), "not ended in time: {status:?}");
            let step = Duration::from_millis(500).min(left);
            left -= step;
            sleep(step).await;
        }
    }
}

/// Returns a batch job of `tasks` tasks, each of one core and 1 GiB, that run for `work`.
pub(crate) fn batch_job(tasks: u32, work: Duration) -> JobSpec {
    JobSpec {
        team: "repairs".into(),
        class: "reconciliation".into(),
        tasks,
        size: ResourceAmount::new(1_000, 1_024),
        payload: TaskPayload::new(work).to_text(),
        run_time: Some(work),
        key: None,
    }
}

/// Returns a service of `tasks` tasks, each of two cores and 2 GiB.
pub(crate) fn service_job(tasks: u32) -> JobSpec {
    JobSpec {
        class: "quotes".into(),
        size: ResourceAmount::new(2_000, 2_048),
        ..batch_job(tasks, Duration::from_secs(1_000_000))
    }
}

pub(crate) fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn configuration() -> Configuration {
    let domain = |name: &str| FailureDomain {
        name: name.into(),
        region: "coast".to_owned(),
        state: DomainState::In,
    };
    let team = |name: &str| TeamQuota {
        name: name.into(),
        limit: ResourceAmount::new(1_000_000, 10_000_000).with_accelerators(9),
    };
    Configuration {
        domains: ["a", "b", "c"].map(domain).to_vec(),
        classes: vec![
            class(
                "quotes",
                ClassTarget::AnswerWithin(Duration::from_millis(50)),
            ),
            class("reconciliation", ClassTarget::FinishWithin(seconds(3600))),
            class("sync", ClassTarget::FinishWithin(seconds(3600))),
        ],
        teams: ["repairs", "straps"].map(team).to_vec(),
        ..Configuration::default()
    }
}

fn class(name: &str, target: ClassTarget) -> ServiceClass {
    let is_service = matches!(target, ClassTarget::AnswerWithin(_));
    let route = RouteRule {
        host: None,
        path_prefix: "/".to_owned(),
    };
    ServiceClass {
        name: name.into(),
        kind: match is_service {
            true => ClassKind::Service,
            false => ClassKind::Batch,
        },
        target,
        service: is_service.then(|| name.into()),
        route: is_service.then_some(route),
        idempotency: Default::default(),
    }
}
