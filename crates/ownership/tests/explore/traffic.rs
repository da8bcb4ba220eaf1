//! Messages, probes, polls and writes on their way.

use std::net::SocketAddr;

use jasminebend_ownership::{
    HolderId,
    PeerMessage,
    SharedWrite,
    TableSnapshot, //
};
use rand::{
    RngExt,
    seq::SliceRandom, //
};

use crate::world::{
    Event,
    World, //
};

impl World {
    pub(crate) fn delay(&mut self) -> u64 {
        let kind = self.random.random_range(0..100);
        match kind {
            _ if self.slow && kind < 50 => self.random.random_range(400..3_500),
            0..90 => self.random.random_range(1..20),
            90..97 => self.random.random_range(20..400),
            _ => self.random.random_range(400..3_500),
        }
    }

    pub(crate) fn send(&mut self, p: usize, to: SocketAddr, message: PeerMessage) {
        let from = self.processes[p].address;
        if self.cut.contains(&(from, to.port())) || self.chance(3) {
            return;
        }
        let delay = self.delay();
        self.schedule(delay, Event::Deliver(to, message.clone()));
        if self.chance(3) {
            let delay = self.delay();
            self.schedule(delay, Event::Deliver(to, message));
        }
    }

    pub(crate) fn deliver(&mut self, to: SocketAddr, message: PeerMessage) {
        let Some(&p) = self.listening.get(&to.port()) else {
            return;
        };
        let resume = self.processes[p].paused_until;
        if resume > self.now {
            let delay = resume - self.now;
            self.schedule(delay, Event::Deliver(to, message));
            return;
        }
        let now = self.local(p);
        let actions = self.processes[p].machine.receive(now, message);
        self.carry_out(p, actions);
        if self.processes[p].machine.wants_tick() {
            self.tick(p);
        }
    }

    pub(crate) fn probe(&mut self, p: usize, holder: HolderId, address: SocketAddr) {
        let from = self.processes[p].address;
        let refused = !self.listening.contains_key(&address.port());
        if refused && !self.cut.contains(&(from, address.port())) {
            self.schedule(20, Event::Gone(p, holder));
        }
    }

    pub(crate) fn poll_if_due(&mut self, p: usize, urgent: bool) {
        let now = self.now;
        let asked = self.local(p);
        let process = &mut self.processes[p];
        if process.polls == 2 || !(urgent || now >= process.poll_due) {
            return;
        }
        process.polls += 1;
        process.poll_due = now + 1_000;
        if self.no_table.contains(&self.processes[p].address) {
            self.schedule(300, Event::Polled(p, None));
            return;
        }
        let snapshot = TableSnapshot {
            asked_at: asked,
            ..TableSnapshot::default()
        };
        let delay = self.delay();
        let mut rows = vec![0, 1, 2];
        rows.shuffle(&mut self.random);
        self.schedule(delay, Event::ReadRow(p, rows, snapshot));
    }

    /// A scan reads row after row, in any order, and others write in between.
    pub(crate) fn read_row(&mut self, p: usize, mut rows: Vec<u8>, mut snapshot: TableSnapshot) {
        match rows.pop() {
            Some(0) => snapshot.configuration = self.rows.configuration.clone(),
            Some(1) => snapshot.members = self.rows.members.clone(),
            _ => snapshot.ownership = self.rows.ownership.clone(),
        }
        let event = match rows.is_empty() {
            false => Event::ReadRow(p, rows, snapshot),
            true if self.chance(3) => Event::Polled(p, None),
            true => Event::Polled(p, Some(snapshot)),
        };
        let delay = self.delay();
        self.schedule(delay, event);
    }

    pub(crate) fn end_poll(&mut self, p: usize, snapshot: Option<TableSnapshot>) {
        self.processes[p].polls -= 1;
        if let Some(snapshot) = snapshot {
            let now = self.local(p);
            self.processes[p].machine.read_table(now, snapshot);
        }
        self.tick(p);
    }

    /// A write may take effect long after its maker gave up waiting for the answer.
    pub(crate) fn commit(&mut self, p: usize, write: SharedWrite) {
        if self.no_table.contains(&self.processes[p].address) {
            self.schedule(300, Event::CommitEnded(p, 500));
            return;
        }
        let effect = self.delay();
        self.schedule(effect, Event::Apply(p, write));
        let answer = match self.chance(5) {
            true => self.random.random_range(1..1_000),
            false => effect + self.delay(),
        };
        self.schedule(answer, Event::CommitEnded(p, 30));
    }
}
