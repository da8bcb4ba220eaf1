//! Exchanges messages with peers, and probes silent ones.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use jasminebend_base::SeatNumber;

use crate::{
    Guard,
    HolderId,
    MemberAction,
    MemberMachine,
    PeerBody,
    PeerMessage,
    PeerReport,
    member_machine::MAX_REMEMBERED_ASKS,
    peer_confirmation::PeerConfirmation, //
};

/// The largest number of members at which each member still asks its peers at the configured
/// interval.
const MAX_MEMBERS_AT_BASE_INTERVAL: usize = 12;

/// The factor of the heartbeat interval in larger clusters. Three asks at the longer interval still
/// fit into the time for which a confirmation is valid.
const LARGE_CLUSTER_INTERVAL_FACTOR: u32 = 2;

/// The interval between two probes of a silent process.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

impl MemberMachine {
    /// Handles a message from a peer, and returns the answer. A message from a process that lost
    /// its seat changes nothing, but is answered, so that its sender learns of the loss.
    pub fn handle_message(&mut self, now: Duration, message: PeerMessage) -> Vec<MemberAction> {
        if message.to != self.daemon.nonce || message.from.0 >= self.settings.seats {
            return Vec::new();
        }
        let current = self.is_current(message.from, message.epoch);
        if current {
            self.apply_report(now, &message);
        }
        match message.body {
            PeerBody::Ask { number, .. } => self.answer_ask(&message, number),
            PeerBody::Answer { number, .. } if current => {
                self.record_confirmation(&message, number);
                self.advance_changes(now);
                Vec::new()
            }
            PeerBody::Answer { .. } => Vec::new(),
        }
    }

    /// Returns whether an epoch is that of the seat's current process, as far as is known.
    pub(crate) fn is_current(&self, seat: SeatNumber, epoch: u64) -> bool {
        epoch >= self.known_epochs.seat(seat)
            || !self.settings.guards.is_enabled(Guard::DiscardFormerProcess)
    }

    /// Merges the report in a peer's message, and records that the peer is alive.
    fn apply_report(&mut self, now: Duration, message: &PeerMessage) {
        let merge_reports = self.settings.guards.is_enabled(Guard::ReportNewerEpochs);
        let mut newer = false;
        if merge_reports {
            newer |= self.known_epochs.merge(message.body.report());
            newer |= self.known_epochs.raise_seat(message.from, message.epoch);
        }
        self.poll_requested |= newer;
        let index = usize::from(message.from.0);
        if self.last_received[index].0 == message.nonce {
            self.last_received[index].1 = now;
            self.mark_holder_alive(message.from);
        }
    }

    /// Records that the holder of a seat is alive.
    fn mark_holder_alive(&mut self, seat: SeatNumber) {
        let holder = self
            .members()
            .and_then(|members| members.seat(seat))
            .and_then(|record| record.holder_id(seat));
        if let Some(holder) = holder {
            self.mark_alive(holder);
        }
    }

    /// Returns the answer to an `Ask` message. Returns none before the table was read in the seat:
    /// only that read shows what the seat's former process was notified of.
    fn answer_ask(&self, message: &PeerMessage, number: u64) -> Vec<MemberAction> {
        let (true, Some(held_seat)) = (self.participating, self.held_seat) else {
            return Vec::new();
        };
        let Some(to) = self.peer_address(message.nonce) else {
            return Vec::new();
        };
        let message = PeerMessage {
            from: held_seat.id.seat,
            epoch: held_seat.epoch,
            nonce: self.daemon.nonce,
            to: message.nonce,
            body: PeerBody::Answer {
                number,
                report: self.report(),
            },
        };
        vec![MemberAction::Send { to, message }]
    }

    /// Returns the peer address of a process that holds a seat, is taking one, or lost one.
    pub fn peer_address(&self, nonce: u64) -> Option<SocketAddr> {
        let records = self.members()?.seats.iter();
        records
            .flat_map(|record| {
                let claim = record
                    .intent
                    .iter()
                    .filter_map(|intent| intent.claim.as_ref());
                let holder = record.holder.iter().map(|holder| &holder.daemon);
                let former = record.former.iter().map(|former| &former.holder.daemon);
                holder.chain(claim).chain(former)
            })
            .find(|daemon| daemon.nonce == nonce)
            .map(|daemon| daemon.peer)
    }

    /// Returns what this daemon reports to its peers.
    fn report(&self) -> PeerReport {
        let heard = (0..self.settings.seats.min(64))
            .filter(|seat| {
                self.has_recent_message(SeatNumber(*seat), self.last_ask_at.unwrap_or_default())
            })
            .fold(0u64, |bits, seat| bits | 1 << seat);
        PeerReport {
            seats: self.known_epochs.seats.clone(),
            configuration: self.known_epochs.announced_configuration,
            in_force: self.in_force,
            heard,
        }
    }

    /// Records a peer's confirmation. It is valid from the time at which it was requested, because
    /// the peer's state may be that old.
    fn record_confirmation(&mut self, message: &PeerMessage, number: u64) {
        let Some(asked_at) = self.ask_sent_at(number) else {
            return;
        };
        let report = message.body.report();
        let confirmation = &mut self.confirmations[usize::from(message.from.0)];
        if confirmation.epoch == message.epoch && confirmation.number >= number {
            return;
        }
        *confirmation = PeerConfirmation {
            epoch: message.epoch,
            nonce: message.nonce,
            number,
            asked_at,
            configuration: report.configuration,
            in_force: report.in_force,
            heard: report.heard,
        };
        self.confirm_configuration_by_peers();
    }

    /// Returns when the `Ask` message with this number was sent; `None` if it is no longer
    /// remembered.
    fn ask_sent_at(&self, number: u64) -> Option<Duration> {
        if !self
            .settings
            .guards
            .is_enabled(Guard::ConfirmationAgeFromRequest)
        {
            return self.last_ask_at;
        }
        self.recent_asks
            .iter()
            .find(|(sent, _)| *sent == number)
            .map(|(_, at)| *at)
    }

    /// Updates the latest time at which more than half of the members knew of no newer
    /// configuration.
    fn confirm_configuration_by_peers(&mut self) {
        let own = self.held_seat.map(|held_seat| held_seat.id.seat);
        let mut times: Vec<Duration> = (0u8..)
            .map(SeatNumber)
            .zip(&self.confirmations)
            .filter(|(seat, confirmation)| {
                Some(*seat) != own
                    && confirmation.number > 0
                    && self.is_current(*seat, confirmation.epoch)
                    && confirmation.configuration <= self.in_force
            })
            .map(|(_, confirmation)| confirmation.asked_at)
            .collect();
        times.sort_unstable_by(|one, other| other.cmp(one));
        let mut needed = usize::from(self.settings.seats) / 2;
        if !self.settings.guards.is_enabled(Guard::ConfirmationMajority) {
            needed = 1;
        }
        if needed == 0 || self.known_epochs.announced_configuration > self.in_force {
            return;
        }
        if let Some(at) = times.get(needed - 1) {
            self.confirm_configuration(*at);
        }
    }

    /// Sends an `Ask` message to every peer if the heartbeat interval has passed.
    pub(crate) fn send_asks_if_due(&mut self, now: Duration, actions: &mut Vec<MemberAction>) {
        let due = self
            .last_ask_at
            .is_none_or(|at| now >= at.saturating_add(self.scaled_heartbeat_interval()));
        let Some((from, epoch)) = self.sender_identity().filter(|_| due) else {
            return;
        };
        let number = self.next_ask_number;
        self.next_ask_number += 1;
        self.last_ask_at = Some(now);
        if self.recent_asks.len() == MAX_REMEMBERED_ASKS {
            self.recent_asks.pop_front();
        }
        self.recent_asks.push_back((number, now));
        let report = self.report();
        for (to, address) in self.other_seat_holders() {
            let message = PeerMessage {
                from,
                epoch,
                nonce: self.daemon.nonce,
                to,
                body: PeerBody::Ask {
                    number,
                    report: report.clone(),
                },
            };
            actions.push(MemberAction::Send {
                to: address,
                message,
            });
        }
    }

    /// Returns the interval between two asks. Each daemon asks every other one, so among many
    /// members they ask less often, which bounds the bytes that each sends.
    fn scaled_heartbeat_interval(&self) -> Duration {
        self.settings.heartbeat_interval * self.interval_factor()
    }

    /// Returns the duration of silence after which a daemon is probed; it allows for some lost
    /// heartbeats.
    pub(crate) fn probe_after(&self) -> Duration {
        self.settings.probe_after * self.interval_factor()
    }

    /// Returns the factor by which this daemon lengthens its intervals, by the number of members.
    fn interval_factor(&self) -> u32 {
        let members = self
            .members()
            .map_or(0, |members| members.holder_ids().count());
        match members > MAX_MEMBERS_AT_BASE_INTERVAL {
            true => LARGE_CLUSTER_INTERVAL_FACTOR,
            false => 1,
        }
    }

    /// Returns the seat and the epoch under which this daemon sends messages: those of the seat
    /// that it holds or is taking. Returns `None` while it may not send any.
    fn sender_identity(&self) -> Option<(SeatNumber, u64)> {
        if let Some(held_seat) = self.held_seat {
            return self
                .participating
                .then_some((held_seat.id.seat, held_seat.epoch));
        }
        let seat_change = self.seat_change.filter(|seat_change| seat_change.claim)?;
        seat_change
            .first_ask_number
            .map(|_| (seat_change.seat, seat_change.epoch))
    }

    /// Returns the nonces and addresses of the other daemons that hold seats.
    fn other_seat_holders(&self) -> Vec<(u64, SocketAddr)> {
        let Some(members) = self.members() else {
            return Vec::new();
        };
        members
            .seats
            .iter()
            .filter_map(|record| record.holder.as_ref())
            .filter(|holder| holder.daemon.nonce != self.daemon.nonce)
            .map(|holder| (holder.daemon.nonce, holder.daemon.peer))
            .collect()
    }

    /// Probes each silent process unless it was probed recently.
    pub(crate) fn probe_silent_processes(
        &mut self,
        now: Duration,
        actions: &mut Vec<MemberAction>,
    ) {
        for (holder, address) in self.probe_targets(now) {
            let due = self
                .last_probed_at
                .get(&holder)
                .is_none_or(|at| now >= at.saturating_add(PROBE_INTERVAL));
            if due {
                self.last_probed_at.insert(holder, now);
                actions.push(MemberAction::Probe { holder, address });
            }
        }
    }

    /// Returns the seat holders that are silent and the former holders, without those known to have
    /// terminated. Forgets the probe times of all others.
    fn probe_targets(&mut self, now: Duration) -> Vec<(HolderId, SocketAddr)> {
        let Some(members) = self.table.as_ref().map(|table| &table.members.row) else {
            return Vec::new();
        };
        let mut targets = Vec::new();
        for (seat, record) in members.numbered_seats() {
            let silent_holder = record
                .holder
                .iter()
                .filter(|_| !self.has_recent_message(seat, now));
            let former = record.former.iter().map(|former| &former.holder);
            for holder in silent_holder.chain(former) {
                let id = HolderId {
                    seat,
                    incarnation: holder.incarnation,
                };
                if !self.terminated.contains(&id) && holder.daemon.nonce != self.daemon.nonce {
                    targets.push((id, holder.daemon.peer));
                }
            }
        }
        self.last_probed_at
            .retain(|holder, _| targets.iter().any(|(target, _)| target == holder));
        targets
    }
}
