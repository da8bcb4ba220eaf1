//! Simulates the transport of messages, probes, polls and writes.

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

use crate::simulation::{
    Event,
    Simulation, //
};

impl Simulation {
    /// Returns a random delay in milliseconds: most are short, but half of them are long while the
    /// network is slow.
    pub(crate) fn random_delay_ms(&mut self) -> u64 {
        let percentile = self.rng.random_range(0..100);
        match percentile {
            _ if self.slow_network && percentile < 50 => self.rng.random_range(400..3_500),
            0..90 => self.rng.random_range(1..20),
            90..97 => self.rng.random_range(20..400),
            _ => self.rng.random_range(400..3_500),
        }
    }

    /// Sends a message, which may be lost, delayed or duplicated.
    pub(crate) fn send_message(&mut self, pid: usize, to: SocketAddr, message: PeerMessage) {
        let from = self.processes[pid].address;
        if self.blocked_links.contains(&(from, to.port())) || self.chance_percent(3) {
            return;
        }
        let delay = self.random_delay_ms();
        self.schedule(delay, Event::DeliverMessage(to, message.clone()));
        if self.chance_percent(3) {
            let delay = self.random_delay_ms();
            self.schedule(delay, Event::DeliverMessage(to, message));
        }
    }

    /// Delivers a message to the process that listens at the address, once it is not paused.
    pub(crate) fn deliver_message(&mut self, to: SocketAddr, message: PeerMessage) {
        let Some(&pid) = self.process_by_address.get(&to.port()) else {
            return;
        };
        let resume_at_ms = self.processes[pid].paused_until_ms;
        if resume_at_ms > self.now_ms {
            let delay = resume_at_ms - self.now_ms;
            self.schedule(delay, Event::DeliverMessage(to, message));
            return;
        }
        let now = self.local_time(pid);
        let actions = self.processes[pid].machine.receive(now, message);
        self.execute_actions(pid, actions);
        if self.processes[pid].machine.wants_tick() {
            self.tick_process(pid);
        }
    }

    /// Probes an address. A connection that is refused proves that the process has terminated.
    pub(crate) fn probe_process(&mut self, pid: usize, holder: HolderId, address: SocketAddr) {
        let from = self.processes[pid].address;
        let refused = !self.process_by_address.contains_key(&address.port());
        if refused && !self.blocked_links.contains(&(from, address.port())) {
            self.schedule(20, Event::ProbeRefused(pid, holder));
        }
    }

    /// Starts a poll if one is due or urgent and fewer than two are in progress.
    pub(crate) fn start_poll_if_due(&mut self, pid: usize, urgent: bool) {
        let now = self.now_ms;
        let local_now = self.local_time(pid);
        let process = &mut self.processes[pid];
        if process.polls_in_progress == 2 || !(urgent || now >= process.next_poll_at_ms) {
            return;
        }
        process.polls_in_progress += 1;
        process.next_poll_at_ms = now + 1_000;
        if self.without_table.contains(&self.processes[pid].address) {
            self.schedule(300, Event::PollCompleted(pid, None));
            return;
        }
        let snapshot = TableSnapshot {
            asked_at: local_now,
            ..TableSnapshot::default()
        };
        let delay = self.random_delay_ms();
        let mut remaining_rows = vec![0, 1, 2];
        remaining_rows.shuffle(&mut self.rng);
        self.schedule(delay, Event::ReadNextRow(pid, remaining_rows, snapshot));
    }

    /// Reads the next row of a poll. A poll reads the rows one after another in random order, while
    /// other daemons write in between.
    pub(crate) fn read_next_row(
        &mut self,
        pid: usize,
        mut remaining_rows: Vec<u8>,
        mut snapshot: TableSnapshot,
    ) {
        match remaining_rows.pop() {
            Some(0) => snapshot.configuration = self.table.configuration.clone(),
            Some(1) => snapshot.members = self.table.members.clone(),
            _ => snapshot.ownership = self.table.ownership.clone(),
        }
        let event = match remaining_rows.is_empty() {
            false => Event::ReadNextRow(pid, remaining_rows, snapshot),
            true if self.chance_percent(3) => Event::PollCompleted(pid, None),
            true => Event::PollCompleted(pid, Some(snapshot)),
        };
        let delay = self.random_delay_ms();
        self.schedule(delay, event);
    }

    pub(crate) fn complete_poll(&mut self, pid: usize, snapshot: Option<TableSnapshot>) {
        self.processes[pid].polls_in_progress -= 1;
        if let Some(snapshot) = snapshot {
            let now = self.local_time(pid);
            self.processes[pid].machine.read_table(now, snapshot);
        }
        self.tick_process(pid);
    }

    /// Schedules a write's effect and its answer. A write may take effect long after its sender
    /// gave up waiting for the answer.
    pub(crate) fn start_commit(&mut self, pid: usize, write: SharedWrite) {
        if self.without_table.contains(&self.processes[pid].address) {
            self.schedule(300, Event::CommitEnded(pid, 500));
            return;
        }
        let effect = self.random_delay_ms();
        self.schedule(effect, Event::ApplyWrite(pid, write));
        let answer = match self.chance_percent(5) {
            true => self.rng.random_range(1..1_000),
            false => effect + self.random_delay_ms(),
        };
        self.schedule(answer, Event::CommitEnded(pid, 30));
    }
}
