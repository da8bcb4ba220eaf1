//! One member's side of the rule.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    time::Duration, //
};

use indexmap::{
    IndexMap,
    IndexSet, //
};
use jasminebend_base::{
    OwnerEpoch,
    ResourceId,
    SeatNumber,
    VmName, //
};

use crate::{
    DaemonRecord,
    HolderId,
    MemberAction,
    OwnershipSettings,
    SeatHold,
    TableSnapshot,
    configuration_attempt::ConfigurationAttempt,
    known_epochs::KnownEpochs,
    seat_attempt::SeatAttempt,
    vouch_record::VouchRecord, //
};

/// How many asks are remembered; an answer to an older one is of no use any more.
pub(crate) const ASKS_KEPT: usize = 64;

/// One member's side of the rule: pure, fed with rows, messages and the time.
#[derive(Clone, Debug)]
pub struct MemberMachine {
    pub(crate) settings: OwnershipSettings,
    pub(crate) daemon: DaemonRecord,
    pub(crate) hold: Option<SeatHold>,
    /// When the table was first seen to show this daemon in its seat.
    pub(crate) seated_at: Option<Duration>,
    /// Whether the table was read after the seat was taken.
    pub(crate) speaking: bool,
    /// The identity that was lost while it held resources.
    pub(crate) lost: Option<HolderId>,
    pub(crate) lost_at: Option<Duration>,
    pub(crate) known: KnownEpochs,
    pub(crate) table: Option<TableSnapshot>,
    /// No write is decided before a read that was asked after this.
    pub(crate) read_from: Option<Duration>,
    /// No write is made before this.
    pub(crate) write_from: Duration,
    pub(crate) poll_wanted: bool,
    pub(crate) committing: bool,
    /// By seat.
    pub(crate) vouches: Vec<VouchRecord>,
    /// By seat: the process that sits there and when it was last heard.
    pub(crate) heard: Vec<(u64, Duration)>,
    /// By seat: the announced epoch and when it was first seen.
    pub(crate) intents: Vec<(u64, Duration)>,
    /// By seat: when its daemon was seen to defend it.
    pub(crate) defended: Vec<Option<Duration>>,
    /// By seat: when it was last probed.
    pub(crate) probed: IndexMap<HolderId, Duration>,
    pub(crate) asks: VecDeque<(u64, Duration)>,
    pub(crate) next_ask: u64,
    pub(crate) asked_at: Option<Duration>,
    pub(crate) attempt: Option<SeatAttempt>,
    pub(crate) change: Option<ConfigurationAttempt>,
    /// The announced version and when it was first seen.
    pub(crate) change_seen: (u64, Duration),
    pub(crate) in_force: u64,
    /// The last moment of which it is known that nothing newer than `in_force` was committed.
    pub(crate) confirmed_at: Option<Duration>,
    pub(crate) releasing: IndexMap<ResourceId, OwnerEpoch>,
    pub(crate) released: IndexSet<ResourceId>,
    pub(crate) idle_until: IndexMap<ResourceId, (OwnerEpoch, Duration)>,
    pub(crate) orphans_seen: Option<Duration>,
    pub(crate) gone: IndexSet<HolderId>,
    pub(crate) leaving: bool,
}

impl MemberMachine {
    /// Creates a member that holds nothing and knows nothing yet.
    pub fn new(settings: OwnershipSettings, daemon: DaemonRecord) -> Self {
        let seats = usize::from(settings.seats);
        Self {
            settings,
            daemon,
            hold: None,
            seated_at: None,
            speaking: false,
            lost: None,
            lost_at: None,
            known: KnownEpochs::new(settings.seats),
            table: None,
            read_from: None,
            write_from: Duration::ZERO,
            poll_wanted: true,
            committing: false,
            vouches: vec![VouchRecord::default(); seats],
            heard: vec![(0, Duration::ZERO); seats],
            intents: vec![(0, Duration::ZERO); seats],
            defended: vec![None; seats],
            probed: IndexMap::new(),
            asks: VecDeque::with_capacity(ASKS_KEPT),
            next_ask: 1,
            asked_at: None,
            attempt: None,
            change: None,
            change_seen: (0, Duration::ZERO),
            in_force: 0,
            confirmed_at: None,
            releasing: IndexMap::new(),
            released: IndexSet::new(),
            idle_until: IndexMap::new(),
            orphans_seen: None,
            gone: IndexSet::new(),
            leaving: false,
        }
    }

    /// Does what is due: asks peers, probes silent ones, decides on at most one write.
    pub fn tick(&mut self, now: Duration) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        self.start_releases(now, &mut actions);
        self.ask_if_due(now, &mut actions);
        self.probe_silent(now, &mut actions);
        self.commit_if_due(now, &mut actions);
        if std::mem::take(&mut self.poll_wanted) {
            actions.push(MemberAction::Poll);
        }
        actions
    }

    /// Gives up everything: nothing may be acted on from now on, and the seat is given up once all
    /// resources are released. [`MemberMachine::has_left`] tells when.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.poll_wanted = true;
    }

    /// Tells whether nothing is held any more after [`MemberMachine::leave`].
    pub fn has_left(&self) -> bool {
        self.leaving && self.hold.is_none() && self.lost.is_none() && !self.committing
    }

    /// Takes note of a process that is known to be gone: its address refuses connections, or its VM
    /// is long absent from the VM list. Silence is no ground for calling this.
    pub fn observe_gone(&mut self, holder: HolderId) {
        if self.hold.is_none_or(|hold| hold.id != holder) && self.gone.insert(holder) {
            self.poll_wanted = true;
        }
    }

    /// Takes note that a process thought to be gone was heard again.
    pub(crate) fn observe_alive(&mut self, holder: HolderId) {
        self.gone.shift_remove(&holder);
    }

    fn commit_if_due(&mut self, now: Duration, actions: &mut Vec<MemberAction>) {
        if !self.may_decide(now) {
            return;
        }
        if let Some(write) = self.next_write(now) {
            self.committing = true;
            actions.push(MemberAction::Commit(write));
        }
    }

    /// A write is decided on a read that is newer than the last write's end, so that it never rests
    /// on a row which that write may have changed.
    pub(crate) fn may_decide(&self, now: Duration) -> bool {
        self.has_settled_write() && now >= self.write_from
    }

    /// Tells whether [`MemberMachine::tick`] should not wait for its next time.
    pub fn wants_tick(&self) -> bool {
        self.poll_wanted
            || self.attempt.is_some()
            || self.change.is_some()
            || self.known.committed > self.in_force
    }

    /// Tells whether [`MemberMachine::leave`] was called.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the nonce of this process.
    pub fn nonce(&self) -> u64 {
        self.daemon.nonce
    }

    /// Tells whether no write is under way and the table was read since the last one ended.
    pub fn has_settled_write(&self) -> bool {
        let read = self.table.as_ref().is_some_and(|table| {
            self.read_from
                .is_none_or(|ended_at| table.asked_at > ended_at)
        });
        read && !self.committing
    }

    /// Returns the members that were not heard lately, and those that lost their seat, with the VMs
    /// that they run on.
    pub fn silent_daemons(&self, now: Duration) -> Vec<(HolderId, Option<VmName>)> {
        let Some(members) = self.members() else {
            return Vec::new();
        };
        let mut silent = Vec::new();
        for (seat, record) in members.numbered() {
            let sitting = record.holder.iter().filter(|_| !self.is_heard(seat, now));
            let former = record.former.iter().map(|former| &former.holder);
            silent.extend(sitting.chain(former).map(|holder| {
                let id = HolderId {
                    seat,
                    incarnation: holder.incarnation,
                };
                (id, holder.daemon.vm.clone())
            }));
        }
        silent
    }

    /// Returns a member that acts by this version or a newer one.
    pub fn peer_with(&self, version: u64, now: Duration) -> Option<&DaemonRecord> {
        let own = self.hold.map(|hold| hold.id.seat);
        let members = self.members()?.numbered();
        members
            .filter(|(seat, _)| Some(*seat) != own)
            .filter(|(seat, _)| {
                self.peer_in_force(*seat, now)
                    .is_some_and(|in_force| in_force >= version)
            })
            .find_map(|(_, record)| record.holder.as_ref())
            .map(|holder| &holder.daemon)
    }

    /// Returns the addresses of members that were not heard, or did not answer, lately. Who is heard need not hear this
    /// daemon: each sends on a connection of its own.
    pub fn silent_peers(&self, now: Duration) -> Vec<SocketAddr> {
        let Some(members) = self.members() else {
            return Vec::new();
        };
        members
            .numbered()
            .filter(|(seat, _)| self.hold.is_none_or(|hold| hold.id.seat != *seat))
            .filter_map(|(seat, record)| Some((seat, &record.holder.as_ref()?.daemon)))
            .filter(|(seat, daemon)| {
                !self.is_heard(*seat, now) || !self.is_answered_by(*seat, daemon.nonce, now)
            })
            .map(|(_, daemon)| daemon.peer)
            .collect()
    }

    /// Tells whether a process answered this daemon lately. None can answer a daemon that asks nothing.
    fn is_answered_by(&self, seat: SeatNumber, nonce: u64, now: Duration) -> bool {
        let vouch = self.vouches.get(usize::from(seat.0));
        let answered = vouch.is_some_and(|vouch| {
            vouch.nonce == nonce && now < vouch.asked_at.saturating_add(self.probe_after())
        });
        answered || self.hold.is_none() || !self.speaking
    }
}
