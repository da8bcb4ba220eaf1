//! A daemon on an entry VM.

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
use jasminebend_ingress::descriptor_limit;
use jasminebend_planner::{
    PlannerHandle,
    PlannerPorts,
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
    AdminHandle,
    AdminListeners,
    DaemonError,
    DaemonPorts,
    DaemonSettings,
    MetricsExporter,
    PeerKeySource,
    admin_listeners::{
        bind,
        local_address, //
    },
    entry_control::EntryControl,
    gauge_recorder::GaugeRecorder,
    peer_keys::PeerKeys,
    secret_file_watcher::SecretFileWatcher, //
};

const MAX_PROPOSAL_TIMEOUT: Duration = Duration::from_secs(10);
/// The largest request body, in bytes, that is buffered completely before the request takes a slot.
const MAX_BUFFERED_BODY_BYTES: u64 = 64 << 10;
/// Combined with the daemon's seed by XOR, so that the planner and the gateway draw different random numbers.
const PLANNER_SEED_MASK: u64 = 0x9E37_79B9_7F4A_7C15;
const GATEWAY_SEED_MASK: u64 = 0xD1B5_4A32_D192_ED03;

/// A daemon on an entry VM: the cluster part, the gateway, the planner and the administration API.
///
/// Dropping it aborts its tasks at once, as when the process is killed; [`EntryDaemon::stop`] ends it gracefully.
pub struct EntryDaemon {
    control: Arc<EntryControl>,
    cluster: ClusterHandle,
    gateway: Arc<Gateway>,
    admin: AdminHandle,
    callers: SocketAddr,
    balancer_lag: Duration,
    leave_timeout: Duration,
    tasks: JoinSet<()>,
    /// Dropped to end the background tasks.
    background_stop: watch::Sender<()>,
}

impl EntryDaemon {
    /// Starts a daemon. It can serve callers once [`EntryDaemon::ready`] returns true.
    ///
    /// # Errors
    ///
    /// Returns a [`DaemonError`] if a key cannot be used, an address cannot be bound or the cluster part cannot be
    /// started.
    pub async fn start(settings: DaemonSettings, ports: DaemonPorts) -> Result<Self, DaemonError> {
        let settings = limit_connections(settings);
        let metrics = MetricsExporter::install();
        let admin_listeners = AdminListeners::bind(&settings).await?;
        let listener = bind("listen.callers", settings.listen.callers)?;
        let callers = local_address("listen.callers", &listener)?;
        let key_watcher = peer_key_watcher(&settings.peer_key);
        let keys = PeerKeys::read(&settings.peer_key)?;
        let cluster = start_cluster(&settings, keys, admin_listeners.address()?, &ports).await?;
        let gateway = start_gateway(&settings, callers, &cluster, &ports);
        let planner = start_planner(&settings, &cluster, &ports).await;
        cluster.add_resource_user(gateway.clone());
        cluster.add_resource_user(Arc::new(planner.clone()));
        let domain = settings.domain.clone();
        let region = settings.region.clone();
        let control = EntryControl::new(
            domain,
            region,
            cluster.clone(),
            planner,
            Arc::clone(&ports.clock),
        );
        let control = Arc::new(control);
        let admin =
            admin_listeners.serve(control.clone(), metrics.clone(), Arc::clone(&ports.clock))?;
        let (background_stop, stop_receiver) = watch::channel(());
        let mut tasks = JoinSet::new();
        let gauges = GaugeRecorder::new(control.clone(), metrics, &settings.domain);
        tasks.spawn(gauges.run(stop_receiver.clone()));
        tasks.spawn(control.clone().watch_slots(stop_receiver.clone()));
        spawn_peer_key_watcher(&mut tasks, key_watcher, &cluster, stop_receiver);
        spawn_caller_server(&mut tasks, &gateway, listener);
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
            background_stop,
        })
    }

    /// Returns the address that callers' requests are served on.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address that the administration API listens on.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns whether the balancer may send callers to this daemon.
    pub fn ready(&self) -> bool {
        crate::ControlPort::ready(self.control.as_ref())
    }

    /// Stops gracefully, without aborting a request in progress.
    ///
    /// First the daemon reports itself as not ready, and goes on serving for the balancer's lag. Then the gateway
    /// answers the requests that it has accepted; the daemon still holds its slots, so no queued request is refused.
    /// Only then are the held resources released, shards first.
    pub async fn stop(self) {
        info!("[daemon] Stopping: the daemon reports itself as not ready.");
        self.control.begin_stop();
        sleep(self.balancer_lag).await;
        self.gateway.drain().await;
        // While the table service is unreachable nothing can be released, and a stop without a timeout would wait
        // for the whole outage. Other daemons take the resources over once this process is known to be terminated.
        if timeout(self.leave_timeout, self.cluster.leave())
            .await
            .is_err()
        {
            warn!(
                "[daemon] The held resources could not be released in time; other daemons will take \
                 them over."
            );
            self.cluster.stop();
        }
        self.admin.stop().await;
        drop(self.background_stop);
        let mut tasks = self.tasks;
        while tasks.join_next().await.is_some() {}
        info!("[daemon] Stopped.");
    }

    /// Ends at once, as when the process is killed: no resource is released and no request is finished.
    pub fn kill(self) {
        self.cluster.stop();
    }
}

async fn start_cluster(
    settings: &DaemonSettings,
    keys: PeerKeys,
    admin: SocketAddr,
    ports: &DaemonPorts,
) -> Result<ClusterHandle, DaemonError> {
    let peers = settings.listen.peers;
    let mut cluster = ClusterSettings::new(peers, settings.domain.clone(), keys.current)
        .with_seats(settings.seats)
        .with_slot_shares(settings.slot_shares)
        .with_shards(settings.shards)
        .with_longest_request(settings.limits.longest_request)
        .with_proposal_timeout(proposal_timeout(settings.limits.administration_timeout))
        .with_peer_limits(
            settings.limits.peer_connections,
            settings.limits.peer_memory,
        )
        .with_admin_address(admin);
    if let Some(next) = keys.next {
        cluster = cluster.with_next_key(next);
    }
    if let Some(vm) = &settings.vm {
        cluster = cluster.with_vm(vm.clone());
    }
    let ports = ClusterPorts {
        table: Arc::clone(&ports.table),
        vm_list: Arc::clone(&ports.vm_list),
        clock: Arc::clone(&ports.clock),
        seed: ports.seed,
    };
    Ok(ClusterHandle::start(cluster, ports).await?)
}

/// Returns the cluster part's timeout of a proposal, which is shorter than the administration API's timeout, so that
/// the operator's answer names the version that may still be accepted.
fn proposal_timeout(administration: Duration) -> Duration {
    MAX_PROPOSAL_TIMEOUT.min(administration * 4 / 5)
}

/// Returns the address at which other daemons reach this daemon's gateway.
///
/// If callers are served on the unspecified address, it is the IP address for peers, which is one of this VM.
fn forward_address(settings: &DaemonSettings, callers: SocketAddr) -> SocketAddr {
    if callers.ip().is_unspecified() {
        return SocketAddr::new(settings.listen.peers.ip(), callers.port());
    }
    callers
}

/// Lowers the limits of connections to what the process's limit of open files allows.
fn limit_connections(settings: DaemonSettings) -> DaemonSettings {
    let Some(descriptors) = descriptor_limit() else {
        return settings;
    };
    let limits = settings.limits.within_descriptors(descriptors);
    if limits != settings.limits {
        warn!(
            "[daemon] The process may open {descriptors} files, so that it accepts at most {} connections of callers, {} of other daemons \
             and {} of operators.",
            limits.caller_connections, limits.peer_connections, limits.administration_connections
        );
    }
    settings.with_limits(limits)
}

fn start_gateway(
    settings: &DaemonSettings,
    callers: SocketAddr,
    cluster: &ClusterHandle,
    ports: &DaemonPorts,
) -> Arc<Gateway> {
    let limits = &settings.limits;
    let defaults = GatewaySettings::new(settings.domain.clone(), settings.slot_shares);
    let gateway = defaults
        .with_peer_address(forward_address(settings, callers))
        .with_longest_request(limits.longest_request)
        .with_caller_and_queue_limits(limits.caller_connections, limits.waiting_requests)
        .with_size_limits(limits.headers, limits.request_body, MAX_BUFFERED_BODY_BYTES)
        .with_max_buffered_bytes(limits.request_memory)
        .with_incomplete_slots_percent(limits.incomplete_slots_percent)
        .with_traces(settings.traces.is_some());
    let ports = GatewayPorts {
        ownership: cluster.ownership(),
        configuration: cluster.configuration(),
        vms: cluster.vm_list(),
        table: Arc::clone(&ports.table),
        clock: Arc::clone(&ports.clock),
        seed: ports.seed ^ GATEWAY_SEED_MASK,
    };
    Gateway::new(gateway, ports)
}

async fn start_planner(
    settings: &DaemonSettings,
    cluster: &ClusterHandle,
    ports: &DaemonPorts,
) -> PlannerHandle {
    let ports = PlannerPorts {
        ownership: cluster.ownership(),
        configuration: cluster.configuration(),
        vms: cluster.vm_list(),
        table: Arc::clone(&ports.table),
        objects: Arc::clone(&ports.objects),
        workers: Arc::clone(&ports.workers),
        clock: Arc::clone(&ports.clock),
        seed: ports.seed ^ PLANNER_SEED_MASK,
    };
    PlannerHandle::start(PlannerSettings::new(settings.shards), ports).await
}

fn spawn_caller_server(tasks: &mut JoinSet<()>, gateway: &Arc<Gateway>, listener: TcpListener) {
    tasks.spawn(Arc::clone(gateway).serve(listener));
}

/// Returns a watcher of the peer key's file; `None` if the key is not read from a file.
fn peer_key_watcher(source: &PeerKeySource) -> Option<SecretFileWatcher> {
    match source {
        PeerKeySource::File(path) => Some(SecretFileWatcher::new(path)),
        PeerKeySource::Text(_) => None,
    }
}

/// Starts the task that replaces the peer keys when their file changes.
fn spawn_peer_key_watcher(
    tasks: &mut JoinSet<()>,
    watcher: Option<SecretFileWatcher>,
    cluster: &ClusterHandle,
    stop: watch::Receiver<()>,
) {
    let Some(watcher) = watcher else {
        return;
    };
    let cluster = cluster.clone();
    let apply = move |text: &str| {
        cluster.set_keys(PeerKeys::parse(text)?.key_ring());
        Ok(())
    };
    tasks.spawn(watcher.run(apply, stop));
}
