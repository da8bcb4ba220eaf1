//! One daemon: its parts, composed.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use jasminebend_cluster::{
    ClusterHandle,
    ClusterPorts,
    ClusterSettings, //
};
use jasminebend_gateway::{
    Gateway,
    GatewayPorts,
    GatewaySettings, //
};
use jasminebend_planner::{
    PlannerEdges,
    PlannerHandle,
    PlannerSettings, //
};
use spdlog::{
    info,
    warn, //
};
use tokio::{
    net::TcpListener,
    sync::watch,
    task::JoinSet,
    time::{
        sleep,
        timeout, //
    }, //
};

use crate::{
    AdminFront,
    AdminGuard,
    DaemonEdges,
    DaemonError,
    DaemonSettings,
    MetricsHub,
    PeerKeySource,
    admin_front::{
        bind,
        local_address, //
    },
    entry_control::EntryControl,
    gauge_keeper::GaugeKeeper,
    peer_keys::PeerKeys,
    secret_watch::SecretWatch, //
};

const LONGEST_PROPOSAL: Duration = Duration::from_secs(10);
/// A request's body up to this size is taken in whole before a slot is taken for it; in bytes.
const BUFFERED_BODY: u64 = 64 << 10;
/// Seeds of the parts differ, so that no two parts draw the same numbers.
const PLANNER_SEED: u64 = 0x9E37_79B9_7F4A_7C15;
const GATEWAY_SEED: u64 = 0xD1B5_4A32_D192_ED03;

/// One daemon: its parts, composed. Dropping it ends its tasks at once, as a process that dies
/// does; [`EntryDaemon::stop`] ends it gracefully.
pub struct EntryDaemon {
    control: Arc<EntryControl>,
    cluster: ClusterHandle,
    gateway: Arc<Gateway>,
    admin: AdminGuard,
    callers: SocketAddr,
    balancer_lag: Duration,
    leave_timeout: Duration,
    tasks: JoinSet<()>,
    background: watch::Sender<()>,
}

impl EntryDaemon {
    /// Starts a daemon; it takes callers once [`EntryDaemon::ready`].
    ///
    /// # Errors
    ///
    /// Any [`DaemonError`].
    pub async fn start(settings: DaemonSettings, edges: DaemonEdges) -> Result<Self, DaemonError> {
        let metrics = MetricsHub::install();
        let front = AdminFront::bind(&settings).await?;
        let listener = bind("listen.callers", settings.listen.callers).await?;
        let callers = local_address("listen.callers", &listener)?;
        let watch = key_watch(&settings.peer_key);
        let keys = PeerKeys::read(&settings.peer_key)?;
        let cluster = start_cluster(&settings, keys, front.address()?, &edges).await?;
        let gateway = start_gateway(&settings, callers, &cluster, &edges);
        let planner = start_planner(&settings, &cluster, &edges).await;
        cluster.add_resource_user(gateway.clone());
        cluster.add_resource_user(Arc::new(planner.clone()));
        let domain = settings.domain.clone();
        let region = settings.region.clone();
        let control = EntryControl::new(
            domain,
            region,
            cluster.clone(),
            planner,
            Arc::clone(&edges.clock),
        );
        let control = Arc::new(control);
        let admin = front.serve(control.clone(), metrics.clone(), Arc::clone(&edges.clock))?;
        let (background, ended) = watch::channel(());
        let mut tasks = JoinSet::new();
        let gauges = GaugeKeeper::new(control.clone(), metrics, &settings.domain);
        tasks.spawn(gauges.run(ended.clone()));
        tasks.spawn(control.clone().watch_slots(ended.clone()));
        spawn_key_watch(&mut tasks, watch, &cluster, ended);
        spawn_callers(&mut tasks, &gateway, listener);
        info!("[daemon] Callers are served on {callers}.");
        info!("[daemon] Operators are served on {}.", admin.address());
        Ok(Self {
            control,
            cluster,
            gateway,
            admin,
            callers,
            balancer_lag: settings.balancer_lag,
            leave_timeout: settings.leave_timeout,
            tasks,
            background,
        })
    }

    /// Returns where callers' requests arrive.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers
    }

    /// Returns where the administration API listens.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Tells whether the balancer may send callers here.
    pub fn ready(&self) -> bool {
        crate::ControlPort::ready(self.control.as_ref())
    }

    /// Stops gracefully: no request in progress is cut off.
    ///
    /// First the balancer is told, and its lag waited out, during which all goes on as before. Then
    /// the gateway answers what it took in, with its slots still its own, so that no request in its
    /// queues is refused. Only then is all that is held given back, shards first.
    pub async fn stop(self) {
        info!("[daemon] Stopping: the balancer is told.");
        self.control.begin_stop();
        sleep(self.balancer_lag).await;
        self.gateway.drain().await;
        // While the table is out of reach nothing can be given back. Whoever waited for it would
        // never end; what is held is then taken over once this process is known to be gone.
        if timeout(self.leave_timeout, self.cluster.leave())
            .await
            .is_err()
        {
            warn!("[daemon] The table service takes nothing back; the others will take it over.");
            self.cluster.stop();
        }
        self.admin.stop().await;
        drop(self.background);
        let mut tasks = self.tasks;
        while tasks.join_next().await.is_some() {}
        info!("[daemon] Stopped.");
    }

    /// Ends at once, as a process that dies does: nothing is given back, nothing is finished.
    pub fn kill(self) {
        self.cluster.stop();
    }
}

async fn start_cluster(
    settings: &DaemonSettings,
    keys: PeerKeys,
    admin: SocketAddr,
    edges: &DaemonEdges,
) -> Result<ClusterHandle, DaemonError> {
    let peers = settings.listen.peers;
    let mut cluster = ClusterSettings::new(peers, settings.domain.clone(), keys.current)
        .with_seats(settings.seats)
        .with_slot_shares(settings.slot_shares)
        .with_shards(settings.shards)
        .with_longest_request(settings.limits.longest_request)
        .with_proposal_timeout(proposal_timeout(settings.limits.administration_timeout))
        .with_admin_address(admin);
    if let Some(next) = keys.next {
        cluster = cluster.with_next_key(next);
    }
    if let Some(vm) = &settings.vm {
        cluster = cluster.with_vm(vm.clone());
    }
    let edges = ClusterPorts {
        table: Arc::clone(&edges.table),
        vm_list: Arc::clone(&edges.vm_list),
        clock: Arc::clone(&edges.clock),
        seed: edges.seed,
    };
    Ok(ClusterHandle::start(cluster, edges).await?)
}

/// The cluster part gives up a proposal before the administration API gives up the cluster part, so
/// that the operator is told which version may still come.
fn proposal_timeout(administration: Duration) -> Duration {
    LONGEST_PROPOSAL.min(administration * 4 / 5)
}

/// Returns where other daemons reach this one's gateway: a listener on every address is reached at
/// the address for peers, which is this VM's own.
fn forward_address(settings: &DaemonSettings, callers: SocketAddr) -> SocketAddr {
    if callers.ip().is_unspecified() {
        return SocketAddr::new(settings.listen.peers.ip(), callers.port());
    }
    callers
}

fn start_gateway(
    settings: &DaemonSettings,
    callers: SocketAddr,
    cluster: &ClusterHandle,
    edges: &DaemonEdges,
) -> Arc<Gateway> {
    let limits = &settings.limits;
    let defaults = GatewaySettings::new(settings.domain.clone(), settings.slot_shares);
    let gateway = defaults
        .with_peer_address(forward_address(settings, callers))
        .with_longest_request(limits.longest_request)
        .with_caller_and_queue_limits(limits.caller_connections, limits.waiting_requests)
        .with_size_limits(limits.headers, limits.request_body, BUFFERED_BODY)
        .with_traces(settings.traces.is_some());
    let edges = GatewayPorts {
        ownership: cluster.ownership(),
        configuration: cluster.configuration(),
        vms: cluster.vm_list(),
        table: Arc::clone(&edges.table),
        clock: Arc::clone(&edges.clock),
        seed: edges.seed ^ GATEWAY_SEED,
    };
    Gateway::new(gateway, edges)
}

async fn start_planner(
    settings: &DaemonSettings,
    cluster: &ClusterHandle,
    edges: &DaemonEdges,
) -> PlannerHandle {
    let edges = PlannerEdges {
        ownership: cluster.ownership(),
        configuration: cluster.configuration(),
        vms: cluster.vm_list(),
        table: Arc::clone(&edges.table),
        objects: Arc::clone(&edges.objects),
        workers: Arc::clone(&edges.workers),
        clock: Arc::clone(&edges.clock),
        seed: edges.seed ^ PLANNER_SEED,
    };
    PlannerHandle::start(PlannerSettings::new(settings.shards), edges).await
}

fn spawn_callers(tasks: &mut JoinSet<()>, gateway: &Arc<Gateway>, listener: TcpListener) {
    tasks.spawn(Arc::clone(gateway).serve(listener));
}

fn key_watch(source: &PeerKeySource) -> Option<SecretWatch> {
    match source {
        PeerKeySource::File(path) => Some(SecretWatch::new(path)),
        PeerKeySource::Text(_) => None,
    }
}

fn spawn_key_watch(
    tasks: &mut JoinSet<()>,
    watch: Option<SecretWatch>,
    cluster: &ClusterHandle,
    ended: watch::Receiver<()>,
) {
    let Some(watch) = watch else {
        return;
    };
    let cluster = cluster.clone();
    let apply = move |text: &str| {
        cluster.set_keys(PeerKeys::parse(text)?.ring());
        Ok(())
    };
    tasks.spawn(watch.run(apply, ended));
}
