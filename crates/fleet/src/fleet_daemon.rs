//! The daemon: starts its servers and tasks, and stops them.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    io,
    rc::Rc,
    time::Duration, //
};

use async_trait::async_trait;
use bytes::Bytes;
use http::{
    Request,
    Response,
    StatusCode, //
};
use http_body_util::Full;
use indexmap::IndexMap;
use jasminebend_ingress::{
    ConnectionTable,
    DescriptorShortage, //
};
use jasminebend_ports::ClockSource;
use serde::Serialize;
use tokio::{
    sync::watch,
    task,
    time, //
};

use crate::{
    CommitOutcome,
    FleetAdvice,
    FleetLog,
    FleetSettings,
    FleetStore,
    FleetVms,
    FleetWorkers,
    HttpHandler,
    HttpPool,
    JobApi,
    LogEvent,
    OwnerRecord,
    PeerClient,
    RequestBody,
    RowCommit,
    StoreRow,
    StoreTable,
    Succession,
    fleet_log::FLUSH_INTERVAL,
    http_server::serve,
    ingress_report::report_ingress,
    member_watch::{
        run_succession,
        watch_members, //
    },
    monitored_store::MonitoredStore,
    operator_watch::watch_operator,
    peer_api::PeerApi,
    shared_state::{
        OWNER_KEY,
        OperatorState,
        SHARD_PART,
        SharedState, //
    },
    store_probe::probe_store, //
};

/// How long the load balancer may send new connections after the readiness check begins to fail: two checks, a second
/// apart, and the network delay.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(2200);
/// The part of the time to stop that is reserved for delivering the last answers.
const LAST_ANSWERS_RESERVE: Duration = Duration::from_millis(700);
/// The interval between checks whether all connections are closed.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The ports by which a daemon reaches the platform.
pub struct FleetPorts {
    /// The clock.
    pub clock: Rc<dyn ClockSource>,
    /// The platform's store.
    pub store: Rc<dyn FleetStore>,
    /// The workers.
    pub workers: Rc<dyn FleetWorkers>,
    /// The advice service, if one is configured.
    pub advice: Option<Rc<dyn FleetAdvice>>,
    /// The platform's VMs, if the daemon may send them into maintenance.
    pub vms: Option<Rc<dyn FleetVms>>,
    /// The connection pool for calls to other daemons, which the adapters of the other ports may share.
    pub pool: Rc<HttpPool>,
    /// Where the pools report that the daemon's own calls lack descriptors.
    pub shortage: DescriptorShortage,
    /// The log.
    pub log: FleetLog,
}

/// A daemon that accepts jobs and, while it is the owner, dispatches them.
pub struct FleetDaemon {
    shared: Rc<SharedState>,
    job_api: Rc<JobApi>,
    /// The open connections of callers.
    connections: ConnectionTable,
    shortage: DescriptorShortage,
    /// Becomes true when the daemon is to stop.
    stop: watch::Receiver<bool>,
    /// Becomes true when the daemon's servers are to close their connections.
    finish: watch::Sender<bool>,
}

/// The daemon started, is stopping or has stopped.
#[derive(Serialize)]
struct DaemonLine<'a> {
    change: &'static str,
    incarnation: u64,
    domain: &'a str,
    version: &'static str,
    /// The parts of the dispatch policy that are switched off.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    without: Vec<String>,
}

impl FleetDaemon {
    /// Creates a daemon that runs until `stop` is true.
    pub fn new(settings: FleetSettings, ports: FleetPorts, stop: watch::Receiver<bool>) -> Self {
        let incarnation = new_incarnation(&*ports.clock);
        let succession = Succession::new(&settings.node);
        let store = MonitoredStore::new(ports.store, Rc::clone(&ports.clock), ports.log.clone());
        let connections =
            ConnectionTable::new(settings.ingress.callers).with_shortage(&ports.shortage);
        let shared = Rc::new(SharedState {
            settings,
            incarnation,
            clock: ports.clock,
            store,
            workers: ports.workers,
            advice: ports.advice,
            vms: ports.vms,
            peers: PeerClient::new(ports.pool),
            peer_order: RefCell::default(),
            log: ports.log,
            operator: RefCell::new(OperatorState::default()),
            succession: RefCell::new(succession),
            members: RefCell::new(IndexMap::new()),
            member_set: RefCell::default(),
            owner_version: Cell::new(0),
            highest_token: Cell::new(0),
            term: RefCell::new(None),
            stop: stop.clone(),
        });
        Self {
            job_api: Rc::new(JobApi::new(Rc::clone(&shared))),
            shared,
            connections,
            shortage: ports.shortage,
            stop,
            finish: watch::Sender::new(false),
        }
    }

    /// Returns the API for callers.
    pub fn job_api(&self) -> Rc<JobApi> {
        Rc::clone(&self.job_api)
    }

    /// Runs the daemon until it is stopped; `front` passes callers' requests to [`FleetDaemon::job_api`].
    ///
    /// # Errors
    ///
    /// Any error from binding one of the addresses.
    pub async fn run<Front, Metrics>(self, front: Rc<Front>, metrics: Rc<Metrics>) -> io::Result<()>
    where
        Front: HttpHandler + 'static,
        Metrics: HttpHandler + 'static,
    {
        let shared = &self.shared;
        let settings = &shared.settings;
        self.log_change("started");
        let finish = self.finish.subscribe();
        let ingress = settings.ingress;
        let [peer_table, readiness_table, metrics_table] =
            [ingress.peers, ingress.monitoring, ingress.monitoring]
                .map(|limits| ConnectionTable::new(limits).with_shortage(&self.shortage));
        let peers = Rc::new(PeerApi::new(Rc::clone(shared), self.job_api()));
        serve(
            settings.peer_address,
            peers,
            finish.clone(),
            peer_table.clone(),
        )
        .await?;
        let ready = Rc::new(ReadinessCheck {
            shared: Rc::clone(shared),
        });
        serve(
            settings.readiness_address,
            ready,
            finish.clone(),
            readiness_table.clone(),
        )
        .await?;
        serve(
            settings.metrics_address,
            metrics,
            finish.clone(),
            metrics_table.clone(),
        )
        .await?;
        serve(
            settings.caller_address,
            front,
            finish,
            self.connections.clone(),
        )
        .await?;
        let log = shared.log.clone();
        task::spawn_local(async move {
            loop {
                time::sleep(FLUSH_INTERVAL).await;
                log.flush();
            }
        });
        let tables = [
            ("callers", self.connections.clone()),
            ("peers", peer_table),
            ("readiness", readiness_table),
            ("metrics", metrics_table),
        ];
        task::spawn_local(report_ingress(tables, self.job_api(), shared.log.clone()));
        task::spawn_local(watch_operator(Rc::clone(shared)));
        task::spawn_local(watch_members(Rc::clone(shared)));
        task::spawn_local(run_succession(Rc::clone(shared)));
        task::spawn_local(probe_store(Rc::clone(shared)));
        let mut stop = self.stop.clone();
        crate::http_server::until_stopped(&mut stop).await;
        self.shut_down().await;
        Ok(())
    }

    /// Gives up the ownership, waits until the load balancer sends no more connections, and closes each connection
    /// after its current request.
    async fn shut_down(&self) {
        self.log_change("stopping");
        let started_at = self.shared.now();
        release_ownership(&self.shared).await;
        let spent = self.shared.now().saturating_sub(started_at);
        time::sleep(LOAD_BALANCER_DELAY.saturating_sub(spent)).await;
        self.finish.send_replace(true);
        let longest = self
            .shared
            .settings
            .stop_timeout
            .saturating_sub(LAST_ANSWERS_RESERVE);
        while self.connections.connection_count() > 0
            && self.shared.now().saturating_sub(started_at) < longest
        {
            time::sleep(CONNECTION_CHECK_INTERVAL).await;
        }
        self.log_change("stopped");
        self.shared.log.flush();
        time::sleep(CONNECTION_CHECK_INTERVAL).await;
    }

    fn log_change(&self, change: &'static str) {
        let switches = self.shared.settings.dispatch.switches;
        self.shared.log.line(
            LogEvent::Daemon,
            DaemonLine {
                change,
                incarnation: self.shared.incarnation,
                domain: self.shared.settings.domain.as_str(),
                version: env!("CARGO_PKG_VERSION"),
                without: switches
                    .switched_off()
                    .map(|part| part.to_string())
                    .collect(),
            },
        );
    }
}

/// Marks the owner's row as vacant if this daemon is the owner, so that another daemon takes over at once.
async fn release_ownership(shared: &SharedState) {
    let Some(term) = shared.term() else {
        return;
    };
    term.end();
    let record = OwnerRecord {
        vacant: true,
        ..term.record.clone()
    };
    let Ok(value) = postcard::to_stdvec(&record) else {
        return;
    };
    let commit = RowCommit {
        guards: vec![term.guard.clone()],
        writes: vec![StoreRow::new(
            StoreTable::Fleet,
            SHARD_PART,
            OWNER_KEY,
            value,
        )],
    };
    // If the store does not answer, the other daemons notice by probes that this one no longer acts.
    if let Ok(CommitOutcome::Conflict(rows)) = shared.store.commit(commit).await {
        crate::member_watch::apply_owner_row(shared, rows.first());
    }
}

/// Returns a number that differs after each start of the daemon: the wall-clock time in nanoseconds since 1970.
fn new_incarnation(clock: &dyn ClockSource) -> u64 {
    clock
        .wall()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(1, |since| {
            u64::try_from(since.as_nanos()).unwrap_or(u64::MAX)
        })
}

/// The readiness check for the load balancer.
struct ReadinessCheck {
    shared: Rc<SharedState>,
}

#[async_trait(?Send)]
impl HttpHandler for ReadinessCheck {
    async fn handle(&self, _request: Request<RequestBody>) -> Response<Full<Bytes>> {
        let ready = !self.shared.is_stopping() && self.shared.configuration().is_some();
        let mut response = Response::new(Full::new(Bytes::new()));
        if !ready {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }
}
