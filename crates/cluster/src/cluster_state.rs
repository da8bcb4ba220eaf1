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
    MemberMachine,
    SharedWrite,
    TableSnapshot, //
};
use jasminebend_ports::{
    CommitOutcome,
    ResourceUser,
    RowChange,
    WriteId, //
};
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
use spdlog::{
    info,
    warn, //
};
use tokio::{
    sync::watch,
    time::timeout, //
};

use crate::{
    ClusterEdges,
    ClusterSettings,
    PeerLink,
    ProbeOutcome,
    cluster_message::ClusterMessage,
    commit_end::CommitEnd,
    proposal_queue::ProposalQueue,
    row_error::RowError,
    shared_rows::{
        read_snapshot,
        row_changes, //
    },
    vm_absences::VmAbsences, //
};

/// No answer of the table is waited for longer: it would be too old to act on.
const TABLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Polls out of turn are at least this far apart.
const URGENT_POLL: Duration = Duration::from_millis(100);

/// How often a connection to a silent peer is replaced.
const RESET_INTERVAL: Duration = Duration::from_secs(2);

/// How many refused probes in a row show that a process is gone.
const REFUSALS: u8 = 2;

/// How long a daemon waits after a conflict at the most, and after a refusal at the least and most.
const CONFLICT_PAUSE_MS: u64 = 60;
const REFUSAL_PAUSE_MS: std::ops::Range<u64> = 500..1_500;

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
    users: Vec<Arc<dyn ResourceUser>>,
    absences: VmAbsences,
    polling: bool,
    poll_wanted: bool,
    polled_at: Option<Duration>,
    poll_due: Duration,
    vm_due: Duration,
    vm_read_at: Duration,
    reset_due: Duration,
    refusals: IndexMap<HolderId, u8>,
    waiting: IndexSet<ResourceId>,
    leaving: Vec<RpcReplyPort<()>>,
    table_lost: bool,
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

    fn tick(&mut self, myself: &ActorRef<ClusterMessage>) {
        let now = self.now();
        self.fetch_document(myself);
        self.advance_proposals(myself);
        let actions = self.lock().tick(now);
        self.carry_out(myself, actions);
        self.poll_if_due(myself);
        self.read_vms_if_due(myself);
        self.reset_silent();
        self.answer_leavers();
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
                    let actions = self.lock().receive(now, message);
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

    /// Makes a transaction; the one that announces a configuration carries its document too.
    pub(crate) fn commit(
        &mut self,
        myself: &ActorRef<ClusterMessage>,
        write: &SharedWrite,
        more: Vec<RowChange>,
    ) {
        let changes = row_changes(write);
        let id = WriteId::new(&mut self.random);
        let table = self.edges.table.clone();
        metrics::counter!("jasminebend_shared_writes_total").increment(1);
        report(myself, async move {
            let end = match changes {
                Ok(mut changes) => {
                    changes.extend(more);
                    commit_end(timeout(TABLE_TIMEOUT, table.commit(id, changes)).await)
                }
                Err(_) => CommitEnd::NotRun,
            };
            ClusterMessage::CommitEnded(end)
        });
    }

    fn end_commit(&mut self, myself: &ActorRef<ClusterMessage>, end: CommitEnd) {
        let pause = match end {
            CommitEnd::Committed => 0,
            CommitEnd::Conflict => self.random.random_range(0..CONFLICT_PAUSE_MS),
            CommitEnd::NotRun | CommitEnd::Unknown => self.random.random_range(REFUSAL_PAUSE_MS),
        };
        let now = self.now();
        self.lock().end_commit(now, Duration::from_millis(pause));
        self.proposals.end_write(end);
        self.tick(myself);
    }

    fn poll_if_due(&mut self, myself: &ActorRef<ClusterMessage>) {
        let now = self.now();
        let rested = self.polled_at.is_none_or(|at| now >= at + URGENT_POLL);
        let urgent = self.poll_wanted && rested && !self.table_lost;
        if self.polling || !(urgent || now >= self.poll_due) {
            return;
        }
        self.polling = true;
        self.poll_wanted = false;
        self.polled_at = Some(now);
        let jitter = self.random.random_range(0.8..1.2);
        self.poll_due = now + self.settings.poll.mul_f64(jitter);
        metrics::counter!("jasminebend_shared_polls_total").increment(1);
        let table = self.edges.table.clone();
        report(myself, async move {
            let read = timeout(TABLE_TIMEOUT, read_snapshot(&*table, now)).await;
            let late = Err(RowError::Table(jasminebend_ports::TableError::Unknown));
            ClusterMessage::Polled(read.unwrap_or(late), now)
        });
    }

    fn end_poll(
        &mut self,
        myself: &ActorRef<ClusterMessage>,
        result: Result<TableSnapshot, RowError>,
        _asked_at: Duration,
    ) {
        self.polling = false;
        self.note_table(result.as_ref().err());
        if let Ok(snapshot) = result {
            let now = self.now();
            self.lock().read_table(now, snapshot);
        }
        self.tick(myself);
    }

    fn note_table(&mut self, error: Option<&RowError>) {
        match (error, self.table_lost) {
            (Some(error), false) => warn!("[cluster] The table cannot be read: {}.", error),
            (None, true) => info!("[cluster] The table can be read again."),
            _ => (),
        }
        self.table_lost = error.is_some();
    }

    fn end_probe(&mut self, holder: HolderId, outcome: ProbeOutcome) {
        if outcome != ProbeOutcome::Refused {
            self.refusals.shift_remove(&holder);
            return;
        }
        let refusals = self.refusals.entry(holder).or_insert(0);
        *refusals += 1;
        if *refusals >= REFUSALS {
            self.refusals.shift_remove(&holder);
            info!(
                "[cluster] The daemon of {} is gone: its address refuses.",
                holder
            );
            self.lock().observe_gone(holder);
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
        self.lock().end_release(resource);
        self.tick(myself);
    }

    fn read_vms_if_due(&mut self, myself: &ActorRef<ClusterMessage>) {
        let now = self.now();
        if now < self.vm_due {
            return;
        }
        let jitter = self.random.random_range(0.8..1.2);
        self.vm_due = now + self.settings.vm_poll.mul_f64(jitter);
        let list = self.edges.vm_list.clone();
        report(myself, async move {
            let read = timeout(TABLE_TIMEOUT, list.read()).await;
            ClusterMessage::VmsRead(read.ok().and_then(Result::ok))
        });
    }

    fn read_vms(&mut self, list: Option<VmSnapshot>) {
        let now = self.now();
        let Some(list) = list else {
            if now > self.vm_read_at + self.settings.vm_poll * 3 {
                self.absences.forget();
            }
            return;
        };
        self.vm_read_at = now;
        self.observe_absent(now, &list);
        let newer = list.revision > self.vms.borrow().revision;
        if newer || self.vms.borrow().vms.is_empty() {
            self.vms.send_replace(Arc::new(list));
        }
    }

    fn observe_absent(&mut self, now: Duration, list: &VmSnapshot) {
        let silent = self.lock().silent_daemons(now);
        let watched = silent.iter().filter_map(|(_, vm)| vm.clone());
        let gone = self.absences.read(now, list, watched);
        for (holder, vm) in silent {
            if vm.is_some_and(|vm| gone.contains(&vm)) {
                info!(
                    "[cluster] The daemon of {} is gone: its VM left the VM list.",
                    holder
                );
                self.lock().observe_gone(holder);
            }
        }
    }

    /// Something between two daemons may have lost track of a connection; a new one may work.
    fn reset_silent(&mut self) {
        let now = self.now();
        if now < self.reset_due {
            return;
        }
        self.reset_due = now + RESET_INTERVAL;
        let silent = self.lock().silent_peers(now);
        for address in silent {
            self.link.reset(address);
        }
    }
}

fn commit_end<Late>(
    result: Result<Result<CommitOutcome, jasminebend_ports::TableError>, Late>,
) -> CommitEnd {
    match result {
        Ok(Ok(CommitOutcome::Committed(_))) => CommitEnd::Committed,
        Ok(Ok(CommitOutcome::Conflict { .. })) => CommitEnd::Conflict,
        Ok(Err(error)) if error.surely_not_run() => CommitEnd::NotRun,
        Ok(Err(_)) | Err(_) => CommitEnd::Unknown,
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
