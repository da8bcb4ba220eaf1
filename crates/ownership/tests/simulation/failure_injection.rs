//! Injects failures into the simulation.

use rand::RngExt;

use crate::simulation::{
    Event,
    SEAT_COUNT,
    Simulation, //
};

impl Simulation {
    /// Returns a random process that is alive; `None` if there is none.
    pub(crate) fn random_alive_process(&mut self) -> Option<usize> {
        let alive: Vec<usize> = self.process_by_address.values().copied().collect();
        let index = self.rng.random_range(0..alive.len().max(1));
        alive.get(index).copied()
    }

    /// Injects a random failure or ends some, and schedules the next.
    pub(crate) fn inject_failure(&mut self) {
        let again = self.rng.random_range(300..4_000);
        self.schedule(again, Event::InjectFailure);
        self.slow_network = self.chance_percent(25);
        match self.rng.random_range(0..15) {
            0..3 => self.end_random_process(),
            3 => (0..SEAT_COUNT).for_each(|_| self.end_random_process()),
            4..6 => self.pause_random_process(),
            6..8 => self.partition_network(),
            8 => self.blocked_links.clear(),
            9 => {
                let addresses: Vec<u16> = self.process_by_address.keys().copied().collect();
                let kept = addresses.into_iter().filter(|_| self.rng.random_bool(0.6));
                self.without_table = kept.collect();
            }
            10 => self.without_table.clear(),
            11 => self.isolate_from_peers(),
            12..14 => {
                if let Some(pid) = self.random_alive_process() {
                    self.processes[pid].machine.leave();
                }
            }
            _ => {
                self.blocked_links.clear();
                self.without_table.clear();
            }
        }
    }

    pub(crate) fn end_random_process(&mut self) {
        if let Some(pid) = self.random_alive_process() {
            self.end_process(pid);
        }
    }

    /// Ends a process. After a random delay another one starts, at its address or at a new one.
    pub(crate) fn end_process(&mut self, pid: usize) {
        self.processes[pid].alive = false;
        let address = self.processes[pid].address;
        self.process_by_address.swap_remove(&address);
        self.invariant_checker.record_process_end(self.now_ms, pid);
        let mut back = address;
        if self.chance_percent(40) {
            self.next_address += 1;
            back = self.next_address;
        }
        let delay = self.rng.random_range(10..8_000);
        self.schedule(delay, Event::StartProcess(back));
    }

    pub(crate) fn pause_random_process(&mut self) {
        if let Some(pid) = self.random_alive_process() {
            let length = self.rng.random_range(100..8_000);
            self.processes[pid].paused_until_ms = self.now_ms + length;
        }
    }

    /// Lets one daemon reach the table and no peer, and all others reach each other and not the
    /// table.
    pub(crate) fn isolate_from_peers(&mut self) {
        let Some(pid) = self.random_alive_process() else {
            return;
        };
        let alone = self.processes[pid].address;
        self.blocked_links.clear();
        self.without_table.clear();
        for other in 1..=self.next_address {
            if other != alone {
                self.blocked_links.insert((alone, other));
                self.blocked_links.insert((other, alone));
                self.without_table.insert(other);
            }
        }
    }

    /// Partitions the network into two sides at random; in some cases messages still pass in one
    /// direction.
    pub(crate) fn partition_network(&mut self) {
        let addresses: Vec<u16> = self.process_by_address.keys().copied().collect();
        let side: Vec<bool> = addresses
            .iter()
            .map(|_| self.rng.random_bool(0.5))
            .collect();
        let one_way = self.rng.random_bool(0.2);
        for (index, one) in addresses.iter().enumerate() {
            for (other_index, other) in addresses.iter().enumerate() {
                if side[index] && !side[other_index] {
                    self.blocked_links.insert((*one, *other));
                    if !one_way {
                        self.blocked_links.insert((*other, *one));
                    }
                }
            }
        }
    }
}
