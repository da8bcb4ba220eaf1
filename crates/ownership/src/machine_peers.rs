//! What a member says to its peers and learns from them.

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
    member_machine::ASKS_KEPT,
    vouch_record::VouchRecord, //
};

/// Up to how many members ask each other at the full pace.
const MEMBERS_AT_FULL_PACE: usize = 12;

/// By how much more members ask less often; three asks of the slower pace still fit into the time
/// for which an answer counts.
const SLOWER_PACE: u32 = 2;

/// How often a silent process is probed.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

impl MemberMachine {
    /// Takes in a message of a peer. One from a process that lost its seat changes nothing; it is
    /// answered, so that its sender learns of its loss.
    pub fn receive(&mut self, now: Duration, message: PeerMessage) -> Vec<MemberAction> {
        if message.to != self.daemon.nonce || message.from.0 >= self.settings.seats {
            return Vec::new();
        }
        let current = self.is_current(message.from, message.epoch);
        if current {
            self.learn_report(now, &message);
        }
        match message.body {
            PeerBody::Ask { number, .. } => self.answer(&message, number),
            PeerBody::Answer { number, .. } if current => {
                self.record_vouch(&message, number);
                self.advance_attempts(now);
                Vec::new()
            }
            PeerBody::Answer { .. } => Vec::new(),
        }
    }

    /// Tells whether an epoch is that of the seat's process, as far as is known.
    pub(crate) fn is_current(&self, seat: SeatNumber, epoch: u64) -> bool {
        epoch >= self.known.seat(seat) || !self.settings.guards.has(Guard::DiscountFormer)
    }

    fn learn_report(&mut self, now: Duration, message: &PeerMessage) {
        let told = self.settings.guards.has(Guard::TellNewer);
        let mut newer = false;
        if told {
            newer |= self.known.merge(message.body.report());
            newer |= self.known.raise_seat(message.from, message.epoch);
        }
        self.poll_wanted |= newer;
        let index = usize::from(message.from.0);
        if self.heard[index].0 == message.nonce {
            self.heard[index].1 = now;
            self.hear_again(message.from);
        }
    }

    fn hear_again(&mut self, seat: SeatNumber) {
        let holder = self
            .members()
            .and_then(|members| members.seat(seat))
            .and_then(|record| record.holder_id(seat));
        if let Some(holder) = holder {
            self.observe_alive(holder);
        }
    }

    /// Says nothing before the table was read in the seat: what the seat's former process was told
    /// is known here only from there.
    fn answer(&self, message: &PeerMessage, number: u64) -> Vec<MemberAction> {
        let (true, Some(hold)) = (self.speaking, self.hold) else {
            return Vec::new();
        };
        let Some(to) = self.peer_address(message.nonce) else {
            return Vec::new();
        };
        let message = PeerMessage {
            from: hold.id.seat,
            epoch: hold.epoch,
            nonce: self.daemon.nonce,
            to: message.nonce,
            body: PeerBody::Answer {
                number,
                report: self.report(),
            },
        };
        vec![MemberAction::Send { to, message }]
    }

    /// Returns the address of a process that sits in a seat, is taking one, or lost one.
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

    fn report(&self) -> PeerReport {
        let heard = (0..self.settings.seats.min(64))
            .filter(|seat| self.is_heard(SeatNumber(*seat), self.asked_at.unwrap_or_default()))
            .fold(0u64, |bits, seat| bits | 1 << seat);
        PeerReport {
            seats: self.known.seats.clone(),
            configuration: self.known.configuration,
            in_force: self.in_force,
            heard,
        }
    }

    /// The lease counts from when it was asked for: the peer's promise may be that old.
    fn record_vouch(&mut self, message: &PeerMessage, number: u64) {
        let Some(asked_at) = self.ask_time(number) else {
            return;
        };
        let report = message.body.report();
        let vouch = &mut self.vouches[usize::from(message.from.0)];
        if vouch.epoch == message.epoch && vouch.number >= number {
            return;
        }
        *vouch = VouchRecord {
            epoch: message.epoch,
            nonce: message.nonce,
            number,
            asked_at,
            configuration: report.configuration,
            in_force: report.in_force,
            heard: report.heard,
        };
        self.confirm_by_peers();
    }

    fn ask_time(&self, number: u64) -> Option<Duration> {
        if !self.settings.guards.has(Guard::CountFromAsk) {
            return self.asked_at;
        }
        self.asks
            .iter()
            .find(|(asked, _)| *asked == number)
            .map(|(_, at)| *at)
    }

    /// The newest moment at which more than half knew of no newer configuration.
    fn confirm_by_peers(&mut self) {
        let own = self.hold.map(|hold| hold.id.seat);
        let mut times: Vec<Duration> = (0u8..)
            .map(SeatNumber)
            .zip(&self.vouches)
            .filter(|(seat, vouch)| {
                Some(*seat) != own
                    && vouch.number > 0
                    && self.is_current(*seat, vouch.epoch)
                    && vouch.configuration <= self.in_force
            })
            .map(|(_, vouch)| vouch.asked_at)
            .collect();
        times.sort_unstable_by(|one, other| other.cmp(one));
        let mut needed = usize::from(self.settings.seats) / 2;
        if !self.settings.guards.has(Guard::VouchMajority) {
            needed = 1;
        }
        if needed == 0 || self.known.configuration > self.in_force {
            return;
        }
        if let Some(at) = times.get(needed - 1) {
            self.confirm_configuration(*at);
        }
    }

    pub(crate) fn ask_if_due(&mut self, now: Duration, actions: &mut Vec<MemberAction>) {
        let due = self
            .asked_at
            .is_none_or(|at| now >= at.saturating_add(self.heartbeat()));
        let Some((from, epoch)) = self.voice().filter(|_| due) else {
            return;
        };
        let number = self.next_ask;
        self.next_ask += 1;
        self.asked_at = Some(now);
        if self.asks.len() == ASKS_KEPT {
            self.asks.pop_front();
        }
        self.asks.push_back((number, now));
        let report = self.report();
        for (to, address) in self.peers() {
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

    /// Each daemon asks every other one, so among many members they ask less often, which keeps the
    /// bytes of each within bounds.
    fn heartbeat(&self) -> Duration {
        self.settings.heartbeat * self.pace()
    }

    /// After which silence a daemon is probed; some heartbeats may be lost before.
    pub(crate) fn probe_after(&self) -> Duration {
        self.settings.probe_after * self.pace()
    }

    fn pace(&self) -> u32 {
        let members = self.members().map_or(0, |members| members.seated().count());
        match members > MEMBERS_AT_FULL_PACE {
            true => SLOWER_PACE,
            false => 1,
        }
    }

    /// As whom this daemon speaks: as who sits in its seat, or as who is taking one.
    fn voice(&self) -> Option<(SeatNumber, u64)> {
        if let Some(hold) = self.hold {
            return self.speaking.then_some((hold.id.seat, hold.epoch));
        }
        let attempt = self.attempt.filter(|attempt| attempt.claim)?;
        attempt.told_from.map(|_| (attempt.seat, attempt.epoch))
    }

    fn peers(&self) -> Vec<(u64, SocketAddr)> {
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

    pub(crate) fn probe_silent(&mut self, now: Duration, actions: &mut Vec<MemberAction>) {
        for (holder, address) in self.probe_targets(now) {
            let due = self
                .probed
                .get(&holder)
                .is_none_or(|at| now >= at.saturating_add(PROBE_INTERVAL));
            if due {
                self.probed.insert(holder, now);
                actions.push(MemberAction::Probe { holder, address });
            }
        }
    }

    fn probe_targets(&mut self, now: Duration) -> Vec<(HolderId, SocketAddr)> {
        let Some(members) = self.table.as_ref().map(|table| &table.members.row) else {
            return Vec::new();
        };
        let mut targets = Vec::new();
        for (seat, record) in members.numbered() {
            let sitting = record.holder.iter().filter(|_| !self.is_heard(seat, now));
            let former = record.former.iter().map(|former| &former.holder);
            for holder in sitting.chain(former) {
                let id = HolderId {
                    seat,
                    incarnation: holder.incarnation,
                };
                if !self.gone.contains(&id) && holder.daemon.nonce != self.daemon.nonce {
                    targets.push((id, holder.daemon.peer));
                }
            }
        }
        self.probed
            .retain(|holder, _| targets.iter().any(|(target, _)| target == holder));
        targets
    }
}
