//! The state machine of one member.

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
    HeldSeat,
    HolderId,
    MemberAction,
    OwnershipSettings,
    TableSnapshot,
    configuration_change::ConfigurationChange,
    known_epochs::KnownEpochs,
    peer_confirmation::PeerConfirmation, //
    seat_change::SeatChange,
};

/// How many sent `Ask` messages are remembered; an answer to an older one is ignored.
pub(crate) const MAX_REMEMBERED_ASKS: usize = 64;

/// The state machine of one member of the ownership protocol. It does no input or output: its
/// caller passes in table rows, messages and the time. All times are durations on the clock of this
/// daemon.
#[derive(Clone, Debug)]
pub struct MemberMachine {
    /// The sizes and durations of the protocol.
    pub(crate) settings: OwnershipSettings,
    /// The description of this daemon.
    pub(crate) daemon: DaemonRecord,
    /// The seat that this daemon holds; `None` if it holds none.
    pub(crate) held_seat: Option<HeldSeat>,
    /// When the table first showed this daemon in its seat; `None` without a seat.
    pub(crate) seat_first_seen_at: Option<Duration>,
    /// Whether this daemon takes part as a member: it holds a seat, and has read the table since it
    /// took it.
    pub(crate) participating: bool,
    /// The identity under a seat that was lost; set until its resources are returned.
    pub(crate) lost_holder_id: Option<HolderId>,
    /// When the last seat was lost; `None` if none was.
    pub(crate) seat_lost_at: Option<Duration>,
    /// The newest epochs and configuration versions known to this daemon.
    pub(crate) known_epochs: KnownEpochs,
    /// The newest known rows of the table; `None` before the first read.
    pub(crate) table: Option<TableSnapshot>,
    /// When the last write ended. No further write is decided before a read that was requested
    /// later; `None` before the first write.
    pub(crate) last_write_ended_at: Option<Duration>,
    /// No write is made before this time.
    pub(crate) writes_paused_until: Duration,
    /// Whether the next tick requests a poll of the table.
    pub(crate) poll_requested: bool,
    /// Whether a write is in progress.
    pub(crate) write_in_progress: bool,
    /// The last confirmation of each seat's daemon, by seat number.
    pub(crate) confirmations: Vec<PeerConfirmation>,
    /// By seat number: the nonce of the process that holds the seat, zero if none, and when the
    /// last message of it was received or it was first seen.
    pub(crate) last_received: Vec<(u64, Duration)>,
    /// By seat number: the announced epoch, zero if none, and when it was first seen.
    pub(crate) intents_seen: Vec<(u64, Duration)>,
    /// By seat number: when its daemon was seen to reject an eviction; `None` if it was not.
    pub(crate) eviction_rejected_at: Vec<Option<Duration>>,
    /// When each silent process was last probed.
    pub(crate) last_probed_at: IndexMap<HolderId, Duration>,
    /// The numbers of the last `Ask` messages and when each was sent, oldest first.
    pub(crate) recent_asks: VecDeque<(u64, Duration)>,
    /// The number of the next `Ask` message.
    pub(crate) next_ask_number: u64,
    /// When the last `Ask` message was sent; `None` if the next one is due at once.
    pub(crate) last_ask_at: Option<Duration>,
    /// The seat change that this daemon carries out.
    pub(crate) seat_change: Option<SeatChange>,
    /// The configuration change that this daemon carries out.
    pub(crate) configuration_change: Option<ConfigurationChange>,
    /// The announced configuration version, zero if none, and when it was first seen.
    pub(crate) configuration_intent_seen: (u64, Duration),
    /// The configuration version by which this daemon acts.
    pub(crate) in_force: u64,
    /// The latest time at which no version newer than `in_force` is known to have been committed.
    pub(crate) configuration_confirmed_at: Option<Duration>,
    /// The resources being released, with the epochs under which they are held.
    pub(crate) releasing: IndexMap<ResourceId, OwnerEpoch>,
    /// The resources of `releasing` on which no work is in progress any more.
    pub(crate) released: IndexSet<ResourceId>,
    /// The resources of `releasing` that still had to stay idle, so that requests of an earlier
    /// holder may run.
    pub(crate) released_idle: IndexSet<ResourceId>,
    /// By resource taken over without a release: the epoch under which it is held, and until when
    /// it stays idle.
    pub(crate) idle_until: IndexMap<ResourceId, (OwnerEpoch, Duration)>,
    /// When orphaned resources were first seen; `None` if there are none.
    pub(crate) orphans_first_seen_at: Option<Duration>,
    /// The processes that are known to have terminated.
    pub(crate) terminated: IndexSet<HolderId>,
    /// Whether [`MemberMachine::leave`] was called.
    pub(crate) leaving: bool,
}

impl MemberMachine {
    /// Creates a member that holds no seat and knows no rows.
    pub fn new(settings: OwnershipSettings, daemon: DaemonRecord) -> Self {
        let seats = usize::from(settings.seats);
        Self {
            settings,
            daemon,
            held_seat: None,
            seat_first_seen_at: None,
            participating: false,
            lost_holder_id: None,
            seat_lost_at: None,
            known_epochs: KnownEpochs::new(settings.seats),
            table: None,
            last_write_ended_at: None,
            writes_paused_until: Duration::ZERO,
            poll_requested: true,
            write_in_progress: false,
            confirmations: vec![PeerConfirmation::default(); seats],
            last_received: vec![(0, Duration::ZERO); seats],
            intents_seen: vec![(0, Duration::ZERO); seats],
            eviction_rejected_at: vec![None; seats],
            last_probed_at: IndexMap::new(),
            recent_asks: VecDeque::with_capacity(MAX_REMEMBERED_ASKS),
            next_ask_number: 1,
            last_ask_at: None,
            seat_change: None,
            configuration_change: None,
            configuration_intent_seen: (0, Duration::ZERO),
            in_force: 0,
            configuration_confirmed_at: None,
            releasing: IndexMap::new(),
            released: IndexSet::new(),
            released_idle: IndexSet::new(),
            idle_until: IndexMap::new(),
            orphans_first_seen_at: None,
            terminated: IndexSet::new(),
            leaving: false,
        }
    }

    /// Performs what is due: releases resources, asks peers, probes silent ones, and decides at
    /// most one write.
    pub fn tick(&mut self, now: Duration) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        self.start_releases(now, &mut actions);
        self.send_asks_if_due(now, &mut actions);
        self.probe_silent_processes(now, &mut actions);
        self.commit_if_due(now, &mut actions);
        if std::mem::take(&mut self.poll_requested) {
            actions.push(MemberAction::Poll);
        }
        actions
    }

    /// Starts to leave: no resource may be acted on from now on, and the seat is given up once all
    /// resources are released. [`MemberMachine::has_left`] returns whether this is complete.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.poll_requested = true;
    }

    /// Returns whether this daemon holds nothing any more after [`MemberMachine::leave`].
    pub fn has_left(&self) -> bool {
        self.leaving
            && self.held_seat.is_none()
            && self.lost_holder_id.is_none()
            && !self.write_in_progress
    }

    /// Records that a process is known to have terminated: its address refuses connections, or its
    /// VM has long been absent from the VM list. Silence alone is no reason to call this.
    pub fn mark_terminated(&mut self, holder: HolderId) {
        if self
            .held_seat
            .is_none_or(|held_seat| held_seat.id != holder)
            && self.terminated.insert(holder)
        {
            self.poll_requested = true;
        }
    }

    /// Records that a process marked as terminated is alive.
    pub(crate) fn mark_alive(&mut self, holder: HolderId) {
        self.terminated.shift_remove(&holder);
    }

    fn commit_if_due(&mut self, now: Duration, actions: &mut Vec<MemberAction>) {
        if !self.may_decide_write(now) {
            return;
        }
        if let Some(write) = self.next_write(now) {
            self.write_in_progress = true;
            actions.push(MemberAction::Commit(write));
        }
    }

    /// Returns whether a write may be decided: the table was read after the last write ended, so
    /// that the decision never rests on a row which that write may have changed, and the pause
    /// after a write is over.
    pub(crate) fn may_decide_write(&self, now: Duration) -> bool {
        self.has_settled_write() && now >= self.writes_paused_until
    }

    /// Returns whether the caller should call [`MemberMachine::tick`] without waiting for its next
    /// interval.
    pub fn wants_tick(&self) -> bool {
        self.poll_requested
            || self.seat_change.is_some()
            || self.configuration_change.is_some()
            || self.known_epochs.committed_configuration > self.in_force
    }

    /// Returns whether [`MemberMachine::leave`] was called.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the nonce of this process.
    pub fn nonce(&self) -> u64 {
        self.daemon.nonce
    }

    /// Returns whether no write is in progress and the table was read since the last one ended.
    pub fn has_settled_write(&self) -> bool {
        let read = self.table.as_ref().is_some_and(|table| {
            self.last_write_ended_at
                .is_none_or(|ended_at| table.requested_at > ended_at)
        });
        read && !self.write_in_progress
    }

    /// Returns the members from which no message was received recently and the processes that lost
    /// their seats, with the VMs on which they run.
    pub fn silent_processes(&self, now: Duration) -> Vec<(HolderId, Option<VmName>)> {
        let Some(members) = self.members() else {
            return Vec::new();
        };
        let mut silent = Vec::new();
        for (seat, record) in members.numbered_seats() {
            let silent_holder = record
                .holder
                .iter()
                .filter(|_| !self.has_recent_message(seat, now));
            let former = record.former.iter().map(|former| &former.holder);
            silent.extend(silent_holder.chain(former).map(|holder| {
                let id = HolderId {
                    seat,
                    incarnation: holder.incarnation,
                };
                (id, holder.daemon.vm.clone())
            }));
        }
        silent
    }

    /// Returns the daemon of another member that acts by this configuration version or a newer one.
    pub fn peer_with_configuration(&self, version: u64, now: Duration) -> Option<&DaemonRecord> {
        let own = self.held_seat.map(|held_seat| held_seat.id.seat);
        let members = self.members()?.numbered_seats();
        members
            .filter(|(seat, _)| Some(*seat) != own)
            .filter(|(seat, _)| {
                self.peer_configuration_in_force(*seat, now)
                    .is_some_and(|in_force| in_force >= version)
            })
            .find_map(|(_, record)| record.holder.as_ref())
            .map(|holder| &holder.daemon)
    }

    /// Returns the addresses of the members from which no message, or no answer, was received
    /// recently. A member whose messages arrive does not necessarily receive those of this daemon:
    /// each sends on a connection of its own.
    pub fn unresponsive_peer_addresses(&self, now: Duration) -> Vec<SocketAddr> {
        let Some(members) = self.members() else {
            return Vec::new();
        };
        members
            .numbered_seats()
            .filter(|(seat, _)| {
                self.held_seat
                    .is_none_or(|held_seat| held_seat.id.seat != *seat)
            })
            .filter_map(|(seat, record)| Some((seat, &record.holder.as_ref()?.daemon)))
            .filter(|(seat, daemon)| {
                !self.has_recent_message(*seat, now)
                    || !self.is_answered_by(*seat, daemon.nonce, now)
            })
            .map(|(_, daemon)| daemon.peer)
            .collect()
    }

    /// Returns whether a process answered this daemon recently; always true while this daemon sends
    /// no `Ask` messages.
    fn is_answered_by(&self, seat: SeatNumber, nonce: u64, now: Duration) -> bool {
        let confirmation = self.confirmations.get(usize::from(seat.0));
        let answered = confirmation.is_some_and(|confirmation| {
            confirmation.nonce == nonce
                && now < confirmation.asked_at.saturating_add(self.probe_after())
        });
        answered || self.held_seat.is_none() || !self.participating
    }
}
