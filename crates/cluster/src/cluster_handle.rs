//! The rest of the daemon's hold on the cluster part.

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
    ClusterEdges,
    ClusterError,
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
    cluster_view::ClusterView,
    status_report::status_of,
    trace_span, //
};

const MAX_SEATS: u8 = 64;

/// The rest of the daemon's hold on the cluster part; copies are of the same part.
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
    /// Starts to listen for peers over TCP, and to take a seat.
    ///
    /// # Errors
    ///
    /// Returns [`ClusterError`] if the settings cannot be used.
    pub async fn start(
        settings: ClusterSettings,
        edges: ClusterEdges,
    ) -> Result<Self, ClusterError> {
        let link = Arc::new(TcpLink::new(settings.peer_listen)?);
        Self::start_with_link(settings, edges, link).await
    }

    /// Starts over another link between daemons.
    ///
    /// # Errors
    ///
    /// Returns [`ClusterError`] if the settings cannot be used.
    pub async fn start_with_link(
        settings: ClusterSettings,
        edges: ClusterEdges,
        link: Arc<dyn PeerLink>,
    ) -> Result<Self, ClusterError> {
        let seats = settings.rule.seats;
        if seats == 0 || seats > MAX_SEATS {
            return Err(ClusterError::Seats { seats });
        }
        let clock = edges.clock.clone();
        let state = ClusterState::new(settings, edges, link);
        let machine = state.machine.clone();
        let configuration = state.configuration.subscribe();
        let vms = state.vms.subscribe();
        let (actor, _) = Actor::spawn(None, ClusterActor, state)
            .await
            .map_err(|_| ClusterError::Actor)?;
        Ok(Self {
            actor,
            machine,
            clock,
            configuration,
            vms,
        })
    }

    /// Returns what this daemon holds.
    pub fn ownership(&self) -> Arc<dyn OwnershipView> {
        Arc::new(ClusterView::new(self.machine.clone(), self.clock.clone()))
    }

    /// Returns the configuration in force; its version never falls.
    pub fn configuration(&self) -> watch::Receiver<Arc<Configuration>> {
        self.configuration.clone()
    }

    /// Returns the VM list as last read.
    pub fn vms(&self) -> watch::Receiver<Arc<VmSnapshot>> {
        self.vms.clone()
    }

    /// Adds a part that acts on what is held; it is asked to fall idle before anything is given away.
    pub fn add_user(&self, user: Arc<dyn ResourceUser>) {
        let _ = self.actor.send_message(ClusterMessage::AddUser(user));
    }

    /// Proposes a change of the configuration, and waits until it is accepted.
    ///
    /// # Errors
    ///
    /// Returns whether the change was not accepted, and why, or may still come into force.
    pub async fn propose(
        &self,
        change: ConfigurationChange,
    ) -> Result<ConfigurationVersion, ProposalError> {
        let _span = trace_span::begin("cluster propose");
        let proposed = self
            .actor
            .call(|reply| ClusterMessage::Propose(change, reply), None);
        match proposed.await {
            Ok(CallResult::Success(result)) => result,
            _ => Err(ProposalError::NotAccepted(RefusalReason::Stopping)),
        }
    }

    /// Returns what operators see of the members.
    pub fn status(&self) -> ClusterStatus {
        let machine = self.machine.lock().unwrap_or_else(PoisonError::into_inner);
        let configuration = self.configuration.borrow().clone();
        status_of(&machine, &configuration, self.clock.monotonic())
    }

    /// Tells whether this daemon has a seat and may start work.
    pub fn ready(&self) -> bool {
        let machine = self.machine.lock().unwrap_or_else(PoisonError::into_inner);
        machine.may_start(self.clock.monotonic()) && !machine.is_leaving()
    }

    /// Uses other keys between daemons from now on.
    pub fn set_keys(&self, keys: KeyRing) {
        let _ = self.actor.send_message(ClusterMessage::SetKeys(keys));
    }

    /// Gives up all that is held, once its users are idle, and the seat. While the table is out of
    /// reach this waits for it; whoever is in a hurry stops waiting.
    pub async fn leave(&self) {
        let _ = self
            .actor
            .call(ClusterMessage::Leave, None::<Duration>)
            .await;
        self.stop();
    }

    /// Stops at once, as a process that dies does: nothing is given up.
    pub fn stop(&self) {
        self.actor.stop(None);
    }
}
