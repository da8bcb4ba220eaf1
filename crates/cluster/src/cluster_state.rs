//! What the cluster actor works on.

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
    ClusterEdges,
    ClusterSettings,
    PeerLink,
    cluster_message::ClusterMessage,
    proposal_queue::ProposalQueue,
    vm_absences::VmAbsences, //
};

/// No answer of the table is waited for longer: it would be too old to act on.
pub(crate) const TABLE_TIMEOUT: Duration = Duration::from_secs(10);

/// What the cluster actor works on.
pub(crate) struct ClusterState {
    pub(crate) settings: ClusterSettings,
    pub(crate) edges: ClusterEdges,
    pub(crate) link: Arc<dyn PeerLink>,
    pub(crate) machine: Arc<Mutex<MemberMachine>>,
    pub(crate) codec: PeerCodec,
    pub(crate) random: StdRng,
    pub(crate) configuration: watch::Sender<Arc<Configuration>>,
    pub(crate) vms: watch::Sender<Arc<VmSnapshot>>,
    pub(crate) proposals: ProposalQueue,
    pub(crate) fetching: bool,
    pub(crate) fetch_due: Duration,
    pub(crate) asked_peers_at: Duration,
    pub(crate) users: Vec<Arc<dyn ResourceUser>>,
    pub(crate) absences: VmAbsences,
    pub(crate) polling: bool,
    pub(crate) poll_wanted: bool,
    pub(crate) polled_at: Option<Duration>,
    pub(crate) poll_due: Duration,
    pub(crate) vm_due: Duration,
    pub(crate) vm_read_at: Duration,
    pub(crate) reset_due: Duration,
    pub(crate) refusals: IndexMap<HolderId, u8>,
    waiting: IndexSet<ResourceId>,
    leaving: Vec<RpcReplyPort<()>>,
    pub(crate) table_lost: bool,
    pub(crate) starts_work: bool,
}

impl ClusterState {
    pub(crate) fn new(
        settings: ClusterSettings,
        edges: ClusterEdges,
        link: Arc<dyn PeerLink>,
    ) -> Self {
        let mut random = StdRng::seed_from_u64(edges.seed);
        let daemon = DaemonRecord {
            nonce: random.random(),
            peer: link.address(),
            admin: settings.admin_address,
            domain: settings.domain.clone(),
            vm: settings.vm.clone(),
        };
        let codec = PeerCodec::new(daemon.nonce, settings.keys);
        let absences = VmAbsences::new(settings.vm.clone(), settings.vm_absence);
        let machine = MemberMachine::new(settings.rule, daemon);
        Self {
            machine: Arc::new(Mutex::new(machine)),
            codec,
            random,
            configuration: watch::channel(Arc::default()).0,
            vms: watch::channel(Arc::default()).0,
            proposals: ProposalQueue::default(),
            fetching: false,
            fetch_due: Duration::ZERO,
            asked_peers_at: Duration::ZERO,
            users: Vec::new(),
            absences,
            polling: false,
            poll_wanted: true,
            polled_at: None,
            poll_due: Duration::ZERO,
            vm_due: Duration::ZERO,
            vm_read_at: Duration::ZERO,
            reset_due: Duration::ZERO,
            refusals: IndexMap::new(),
            waiting: IndexSet::new(),
            leaving: Vec::new(),
            table_lost: false,
            starts_work: false,
            settings,
            edges,
            link,
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, MemberMachine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> Duration {
        self.edges.clock.monotonic()
    }

    pub(crate) fn begin(&mut self, myself: &ActorRef<ClusterMessage>) {
        myself.send_interval(self.settings.tick, || ClusterMessage::Tick);
        let link = self.link.clone();
        let actor = myself.clone();
        tokio::spawn(async move { pump_frames(link, actor).await });
        self.tick(myself);
    }

    pub(crate) fn end(&mut self) {
        self.link.close();
    }

    pub(crate) fn handle(&mut self, myself: &ActorRef<ClusterMessage>, message: ClusterMessage) {
        match message {
            ClusterMessage::Tick => self.tick(myself),
            ClusterMessage::Frames(frames, reply) => {
                self.receive(myself, frames);
                let _ = reply.send(());
            }
            ClusterMessage::Polled(result, asked_at) => self.end_poll(myself, result, asked_at),
            ClusterMessage::CommitEnded(end) => self.end_commit(myself, end),
            ClusterMessage::ProbeEnded(holder, outcome) => self.end_probe(holder, outcome),
            ClusterMessage::Released(resource) => self.end_release(myself, resource),
            ClusterMessage::VmsRead(list) => self.read_vms(list),
            ClusterMessage::DocumentRead(version, document) => {
                self.end_fetch(version, document);
                self.tick(myself);
            }
            ClusterMessage::Propose(change, reply) => {
                let deadline = self.now() + self.settings.proposal_timeout;
                self.proposals.push(change, reply, deadline);
                self.tick(myself);
            }
            ClusterMessage::AddUser(user) => self.users.push(user),
            ClusterMessage::SetKeys(keys) => self.codec.set_keys(keys),
            ClusterMessage::Leave(reply) => {
                self.lock().leave();
                self.leaving.push(reply);
                self.tick(myself);
            }
        }
    }

    pub(crate) fn tick(&mut self, myself: &ActorRef<ClusterMessage>) {
        let now = self.now();
        self.fetch_document(myself);
        self.advance_proposals(myself);
        let actions = self.lock().tick(now);
        self.carry_out(myself, actions);
        self.poll_if_due(myself);
        self.read_vms_if_due(myself);
        self.reset_silent();
        self.answer_leavers();
        self.report_health();
    }

    fn answer_leavers(&mut self) {
        if self.leaving.is_empty() || !self.lock().has_left() {
            return;
        }
        for reply in self.leaving.drain(..) {
            let _ = reply.send(());
        }
    }

    pub(crate) fn carry_out(
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
                MemberAction::Poll => self.poll_wanted = true,
                MemberAction::Probe { holder, address } => {
                    let link = self.link.clone();
                    report(myself, async move {
                        ClusterMessage::ProbeEnded(holder, link.probe(address).await)
                    });
                }
                MemberAction::Release(resource) => self.release(myself, resource),
            }
        }
    }

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

    fn receive(&mut self, myself: &ActorRef<ClusterMessage>, frames: Vec<Bytes>) {
        for frame in frames {
            match self.codec.decode(&frame) {
                Ok((_, WireBody::Member(message))) => {
                    let now = self.now();
                    let actions = self.lock().handle_message(now, message);
                    self.carry_out(myself, actions);
                }
                Ok((sender, WireBody::DocumentRequest { version })) => {
                    self.answer_document(sender, version);
                }
                Ok((_, WireBody::Document { version, document })) => {
                    self.take_document(version, &document);
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

    fn release(&mut self, myself: &ActorRef<ClusterMessage>, resource: ResourceId) {
        if !self.waiting.insert(resource) {
            return;
        }
        let users = self.users.clone();
        report(myself, async move {
            for user in users {
                user.wait_idle(resource).await;
            }
            ClusterMessage::Released(resource)
        });
    }

    fn end_release(&mut self, myself: &ActorRef<ClusterMessage>, resource: ResourceId) {
        self.waiting.shift_remove(&resource);
        self.lock().finish_release(resource);
        self.tick(myself);
    }
}

/// Runs something slow, and tells the actor what came of it.
pub(crate) fn report<Work>(myself: &ActorRef<ClusterMessage>, work: Work)
where
    Work: Future<Output = ClusterMessage> + Send + 'static,
{
    let actor = myself.clone();
    tokio::spawn(async move {
        let _ = actor.send_message(work.await);
    });
}

/// Hands on frames batch by batch, so that what waits is bounded by the link's queue.
async fn pump_frames(link: Arc<dyn PeerLink>, actor: ActorRef<ClusterMessage>) {
    const BATCH: usize = 64;
    loop {
        let frames = link.receive(BATCH).await;
        if frames.is_empty() {
            return;
        }
        let handed = actor.call(|reply| ClusterMessage::Frames(frames, reply), None);
        if !matches!(handed.await, Ok(ractor::rpc::CallResult::Success(()))) {
            return;
        }
    }
}
