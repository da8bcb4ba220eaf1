//! The interface of the cluster part to the rest of the daemon.

use std::{
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use derive_more::Debug;
use jasminebend_base::{
    Configuration,
    ConfigurationVersion,
    VmSnapshot, //
};
use jasminebend_ownership::MemberMachine;
use jasminebend_ports::{
    ClockSource,
    OwnershipView,
    ResourceUser, //
};
use jasminebend_wire::KeyRing;
use ractor::{
    Actor,
    ActorRef,
    rpc::CallResult, //
};
use tokio::sync::watch;

use crate::{
    ClusterError,
    ClusterPorts,
    ClusterSettings,
    ClusterStatus,
    ConfigurationChange,
    PeerLink,
    ProposalError,
    RefusalReason,
    TcpLink,
    cluster_actor::ClusterActor,
    cluster_message::ClusterMessage,
    cluster_state::ClusterState,
    held_resources_view::HeldResourcesView,
    status_report::cluster_status,
    trace_span, //
};

/// The maximum number of seats: a peer's report has one bit per seat in a `u64`.
const MAX_SEATS: u8 = 64;

/// The interface of the cluster part to the rest of the daemon. Clones refer to the same actor.
#[derive(Clone, Debug)]
pub struct ClusterHandle {
    #[debug(skip)]
    actor: ActorRef<ClusterMessage>,
    #[debug(skip)]
    machine: Arc<Mutex<MemberMachine>>,
    #[debug(skip)]
    clock: Arc<dyn ClockSource>,
    configuration: watch::Receiver<Arc<Configuration>>,
    vms: watch::Receiver<Arc<VmSnapshot>>,
}

impl ClusterHandle {
    /// Starts to listen for peers over TCP, and to claim a seat.
    ///
    /// # Errors
    ///
    /// Returns [`ClusterError`] if the settings cannot be used.
    pub async fn start(
        settings: ClusterSettings,
        ports: ClusterPorts,
    ) -> Result<Self, ClusterError> {
        let link = Arc::new(TcpLink::with_limits(
            settings.peer_listen_address,
            settings.peer_limits,
        )?);
        Self::start_with_link(settings, ports, link).await
    }

    /// Starts with another implementation of the network between daemons.
    ///
    /// # Errors
    ///
    /// Returns [`ClusterError`] if the settings cannot be used.
    pub async fn start_with_link(
        settings: ClusterSettings,
        ports: ClusterPorts,
        link: Arc<dyn PeerLink>,
    ) -> Result<Self, ClusterError> {
        let seats = settings.ownership.seats;
        if seats == 0 || seats > MAX_SEATS {
            return Err(ClusterError::InvalidSeatCount { seats });
        }
        let clock = ports.clock.clone();
        let state = ClusterState::new(settings, ports, link);
        let machine = state.machine.clone();
        let configuration = state.configuration.subscribe();
        let vms = state.vms.subscribe();
        let (actor, _) = Actor::spawn(None, ClusterActor, state)
            .await
            .map_err(|_| ClusterError::ActorNotStarted)?;
        Ok(Self {
            actor,
            machine,
            clock,
            configuration,
            vms,
        })
    }

    /// Returns a view of the resources that this daemon holds.
    pub fn ownership(&self) -> Arc<dyn OwnershipView> {
        Arc::new(HeldResourcesView::new(
            self.machine.clone(),
            self.clock.clone(),
        ))
    }

    /// Returns the configuration in force. Its version never decreases.
    pub fn configuration(&self) -> watch::Receiver<Arc<Configuration>> {
        self.configuration.clone()
    }

    /// Returns the newest VM list that was read.
    pub fn vm_list(&self) -> watch::Receiver<Arc<VmSnapshot>> {
        self.vms.clone()
    }

    /// Adds a part of the daemon that acts on held resources. Before a resource is released, the
    /// cluster part waits until this part has no work on it in progress.
    pub fn add_resource_user(&self, user: Arc<dyn ResourceUser>) {
        let _ = self
            .actor
            .send_message(ClusterMessage::AddResourceUser(user));
    }

    /// Proposes a change of the configuration, and waits until it is accepted or the proposal timeout
    /// expires.
    ///
    /// # Errors
    ///
    /// Returns [`ProposalError::NotAccepted`] with the reason if the change is not in force and will
    /// not be, and [`ProposalError::Unknown`] if it may still come into force.
    pub async fn propose(
        &self,
        change: ConfigurationChange,
    ) -> Result<ConfigurationVersion, ProposalError> {
        let _span = trace_span::start("cluster propose");
        let proposed = self
            .actor
            .call(|reply| ClusterMessage::Propose(change, reply), None);
        match proposed.await {
            Ok(CallResult::Success(result)) => result,
            _ => Err(ProposalError::NotAccepted(RefusalReason::Stopping)),
        }
    }

    /// Returns the status that operators see, as known to this daemon.
    pub fn status(&self) -> ClusterStatus {
        let machine = self.machine.lock().unwrap_or_else(PoisonError::into_inner);
        let configuration = self.configuration.borrow().clone();
        cluster_status(&machine, &configuration, self.clock.monotonic())
    }

    /// Returns whether this daemon holds a seat, may start work and is not leaving.
    pub fn is_ready(&self) -> bool {
        let machine = self.machine.lock().unwrap_or_else(PoisonError::into_inner);
        machine.may_start(self.clock.monotonic()) && !machine.is_leaving()
    }

    /// Replaces the keys that authenticate frames between daemons.
    pub fn set_keys(&self, keys: KeyRing) {
        let _ = self.actor.send_message(ClusterMessage::SetKeys(keys));
    }

    /// Releases all held resources, each once its users are idle, gives up the seat, and stops. This
    /// waits while the table is unavailable, without a time limit; callers apply their own timeout.
    pub async fn leave(&self) {
        let _ = self
            .actor
            .call(ClusterMessage::Leave, None::<Duration>)
            .await;
        self.stop();
    }

    /// Stops immediately, as a crash would: no resources are released and the seat is kept.
    pub fn stop(&self) {
        self.actor.stop(None);
    }
}
