//! The state of the cluster actor.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use bytes::Bytes;
use indexmap::{
    IndexMap,
    IndexSet, //
};
use jasminebend_base::{
    Configuration,
    ResourceId,
    VmSnapshot, //
};
use jasminebend_ownership::{
    DaemonRecord,
    HolderId,
    MemberAction,
    MemberMachine, //
};
use jasminebend_ports::ResourceUser;
use jasminebend_wire::{
    PeerCodec,
    WireBody, //
};
use ractor::{
    ActorRef,
    RpcReplyPort, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use spdlog::warn;
use tokio::sync::watch;

use crate::{
    ClusterPorts,
    ClusterSettings,
    PeerLink,
    cluster_message::ClusterMessage,
    proposal_queue::ProposalQueue,
    vm_absence_tracker::VmAbsenceTracker, //
};

/// The time limit of a call of the table service or of a read of the VM list. A later response would
/// be too old to act on.
pub(crate) const TABLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The state of the cluster actor. All times are on the daemon's monotonic clock.
pub(crate) struct ClusterState {
    pub(crate) settings: ClusterSettings,
    pub(crate) ports: ClusterPorts,
    pub(crate) link: Arc<dyn PeerLink>,
    /// The ownership protocol, which [`crate::ClusterHandle`] and its views read too.
    pub(crate) machine: Arc<Mutex<MemberMachine>>,
    pub(crate) codec: PeerCodec,
    pub(crate) rng: StdRng,
    /// The configuration in force.
    pub(crate) configuration: watch::Sender<Arc<Configuration>>,
    /// The newest VM list that was read.
    pub(crate) vms: watch::Sender<Arc<VmSnapshot>>,
    pub(crate) proposals: ProposalQueue,
    /// Whether a read of a document from the table is in progress.
    pub(crate) fetch_in_progress: bool,
    /// The earliest time of the next read of a document from the table.
    pub(crate) next_fetch_at: Duration,
    /// When a document was last requested from a peer; zero before the first time.
    pub(crate) last_document_request_at: Duration,
    /// The parts of the daemon that act on held resources.
    pub(crate) resource_users: Vec<Arc<dyn ResourceUser>>,
    pub(crate) absence_tracker: VmAbsenceTracker,
    /// Whether a poll of the shared rows is in progress.
    pub(crate) poll_in_progress: bool,
    /// Whether a poll ahead of schedule is requested.
    pub(crate) poll_requested: bool,
    /// When the last poll began; `None` before the first one.
    pub(crate) last_poll_at: Option<Duration>,
    /// When the next scheduled poll is due.
    pub(crate) next_poll_at: Duration,
    /// When the next read of the VM list is due.
    pub(crate) next_vm_list_read_at: Duration,
    /// When the VM list was last read successfully; zero before the first time.
    pub(crate) last_vm_list_read_at: Duration,
    /// When the connections to unresponsive peers are next replaced.
    pub(crate) next_reset_at: Duration,
    /// The number of consecutive refused probes of each silent process.
    pub(crate) refused_probes: IndexMap<HolderId, u8>,
    /// The resources being released on which users still have work in progress.
    releasing: IndexSet<ResourceId>,
    /// The pending replies to [`ClusterMessage::Leave`].
    leave_replies: Vec<RpcReplyPort<()>>,
    /// Whether the last poll failed.
    pub(crate) table_unreadable: bool,
    /// Whether this daemon may start work, as last logged.
    pub(crate) reported_may_start: bool,
}

impl ClusterState {
    pub(crate) fn new(
        settings: ClusterSettings,
        ports: ClusterPorts,
        link: Arc<dyn PeerLink>,
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(ports.seed);
        let daemon = DaemonRecord {
            nonce: rng.random(),
            peer: link.address(),
            admin: settings.admin_address,
            domain: settings.domain.clone(),
            vm: settings.vm.clone(),
        };
        let codec = PeerCodec::new(daemon.nonce, settings.keys);
        let absence_tracker = VmAbsenceTracker::new(settings.vm.clone(), settings.min_vm_absence);
        let machine = MemberMachine::new(settings.ownership, daemon);
        Self {
            machine: Arc::new(Mutex::new(machine)),
            codec,
            rng,
            configuration: watch::channel(Arc::default()).0,
            vms: watch::channel(Arc::default()).0,
            proposals: ProposalQueue::default(),
            fetch_in_progress: false,
            next_fetch_at: Duration::ZERO,
            last_document_request_at: Duration::ZERO,
            resource_users: Vec::new(),
            absence_tracker,
            poll_in_progress: false,
            poll_requested: true,
            last_poll_at: None,
            next_poll_at: Duration::ZERO,
            next_vm_list_read_at: Duration::ZERO,
            last_vm_list_read_at: Duration::ZERO,
            next_reset_at: Duration::ZERO,
            refused_probes: IndexMap::new(),
            releasing: IndexSet::new(),
            leave_replies: Vec::new(),
            table_unreadable: false,
            reported_may_start: false,
            settings,
            ports,
            link,
        }
    }

    /// Locks the ownership protocol.
    pub(crate) fn lock(&self) -> MutexGuard<'_, MemberMachine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time on the daemon's monotonic clock.
    pub(crate) fn now(&self) -> Duration {
        self.ports.clock.monotonic()
    }

    /// Starts the tick timer and the task that forwards received frames.
    pub(crate) fn start(&mut self, myself: &ActorRef<ClusterMessage>) {
        myself.send_interval(self.settings.tick_interval, || ClusterMessage::Tick);
        let link = self.link.clone();
        let actor = myself.clone();
        tokio::spawn(async move { forward_frames(link, actor).await });
        self.tick(myself);
    }

    /// Closes the link to the peers, without releasing anything.
    pub(crate) fn stop(&mut self) {
        self.link.close();
    }

    /// Handles one message of the actor.
    pub(crate) fn handle(&mut self, myself: &ActorRef<ClusterMessage>, message: ClusterMessage) {
        match message {
            ClusterMessage::Tick => self.tick(myself),
            ClusterMessage::FramesReceived(frames, reply) => {
                self.receive(myself, frames);
                let _ = reply.send(());
            }
            ClusterMessage::PollFinished(result, start) => self.finish_poll(myself, result, start),
            ClusterMessage::CommitFinished(outcome) => self.finish_commit(myself, outcome),
            ClusterMessage::ProbeFinished(holder, outcome) => self.finish_probe(holder, outcome),
            ClusterMessage::ResourceIdle(resource) => self.finish_release(myself, resource),
            ClusterMessage::VmListRead(list) => self.apply_vm_list(list),
            ClusterMessage::DocumentRead(version, document) => {
                self.finish_fetch(version, document);
                self.tick(myself);
            }
            ClusterMessage::Propose(change, reply) => {
                let deadline = self.now() + self.settings.proposal_timeout;
                self.proposals.push(change, reply, deadline);
                self.tick(myself);
            }
            ClusterMessage::AddResourceUser(user) => self.resource_users.push(user),
            ClusterMessage::SetKeys(keys) => self.codec.set_keys(keys),
            ClusterMessage::Leave(reply) => {
                self.lock().leave();
                self.leave_replies.push(reply);
                self.tick(myself);
            }
        }
    }

    /// Performs everything that is due.
    pub(crate) fn tick(&mut self, myself: &ActorRef<ClusterMessage>) {
        let now = self.now();
        self.fetch_document(myself);
        self.advance_proposals(myself);
        let actions = self.lock().tick(now);
        self.perform_actions(myself, actions);
        self.poll_if_due(myself);
        self.read_vm_list_if_due(myself);
        self.reset_unresponsive_peers();
        self.reply_to_leave_requests();
        self.report_health();
    }

    /// Replies to the requests to leave once nothing is held any more.
    fn reply_to_leave_requests(&mut self) {
        if self.leave_replies.is_empty() || !self.lock().has_left() {
            return;
        }
        for reply in self.leave_replies.drain(..) {
            let _ = reply.send(());
        }
    }

    /// Performs the actions that the ownership protocol requests.
    pub(crate) fn perform_actions(
        &mut self,
        myself: &ActorRef<ClusterMessage>,
        actions: Vec<MemberAction>,
    ) {
        for action in actions {
            match action {
                MemberAction::Send { to, message } => {
                    self.send(to, message.to, WireBody::Member(message));
                }
                MemberAction::Commit(write) => self.commit(myself, &write, Vec::new()),
                MemberAction::Poll => self.poll_requested = true,
                MemberAction::Probe { holder, address } => {
                    let link = self.link.clone();
                    spawn_and_report(myself, async move {
                        ClusterMessage::ProbeFinished(holder, link.probe(address).await)
                    });
                }
                MemberAction::Release(resource) => self.release(myself, resource),
            }
        }
    }

    /// Sends a message to the process with the nonce `recipient` at an address; it may be lost.
    pub(crate) fn send(&mut self, to: std::net::SocketAddr, recipient: u64, body: WireBody) {
        match self.codec.encode(recipient, body) {
            Ok(frame) => {
                metrics::counter!("jasminebend_peer_bytes_sent_total")
                    .increment(u64::try_from(frame.len()).unwrap_or(u64::MAX));
                self.link.send(to, frame);
            }
            Err(error) => warn!("[cluster] A message to {} was not sent: {}.", to, error),
        }
    }

    /// Handles received frames; invalid ones are counted and ignored.
    fn receive(&mut self, myself: &ActorRef<ClusterMessage>, frames: Vec<Bytes>) {
        for frame in frames {
            match self.codec.decode(&frame) {
                Ok((_, WireBody::Member(message))) => {
                    let now = self.now();
                    let actions = self.lock().handle_message(now, message);
                    self.perform_actions(myself, actions);
                }
                Ok((sender, WireBody::DocumentRequest { version })) => {
                    self.send_document(sender, version);
                }
                Ok((_, WireBody::Document { version, document })) => {
                    self.receive_document(version, &document);
                }
                Err(error) => {
                    metrics::counter!("jasminebend_peer_frames_ignored_total", "reason" => error.to_string())
                        .increment(1);
                }
            }
        }
        if self.lock().wants_tick() {
            self.tick(myself);
        }
    }

    /// Starts to wait until no user has work on a resource in progress, unless this wait runs already.
    fn release(&mut self, myself: &ActorRef<ClusterMessage>, resource: ResourceId) {
        if !self.releasing.insert(resource) {
            return;
        }
        let users = self.resource_users.clone();
        spawn_and_report(myself, async move {
            for user in users {
                user.wait_idle(resource).await;
            }
            ClusterMessage::ResourceIdle(resource)
        });
    }

    /// Completes the release of a resource on which no work is in progress any more.
    fn finish_release(&mut self, myself: &ActorRef<ClusterMessage>, resource: ResourceId) {
        self.releasing.shift_remove(&resource);
        self.lock().finish_release(resource);
        self.tick(myself);
    }
}

/// Runs a slow operation in a task, and sends its result to the actor.
pub(crate) fn spawn_and_report<Work>(myself: &ActorRef<ClusterMessage>, work: Work)
where
    Work: Future<Output = ClusterMessage> + Send + 'static,
{
    let actor = myself.clone();
    tokio::spawn(async move {
        let _ = actor.send_message(work.await);
    });
}

/// Forwards frames from the link to the actor. The next batch is received only after the last one was
/// handled, so that the number of waiting frames is bounded by the link's queue.
async fn forward_frames(link: Arc<dyn PeerLink>, actor: ActorRef<ClusterMessage>) {
    /// The maximum number of frames in a batch.
    const MAX_BATCH_FRAMES: usize = 64;
    loop {
        let frames = link.receive(MAX_BATCH_FRAMES).await;
        if frames.is_empty() {
            return;
        }
        let reply = actor.call(|reply| ClusterMessage::FramesReceived(frames, reply), None);
        if !matches!(reply.await, Ok(ractor::rpc::CallResult::Success(()))) {
            return;
        }
    }
}
