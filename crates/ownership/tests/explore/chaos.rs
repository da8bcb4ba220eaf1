//! What goes wrong in the world.

use rand::RngExt;

use crate::world::{
    Event,
    SEATS,
    World, //
};

impl World {
    pub(crate) fn any_alive(&mut self) -> Option<usize> {
        let alive: Vec<usize> = self.listening.values().copied().collect();
        let index = self.random.random_range(0..alive.len().max(1));
        alive.get(index).copied()
    }

    pub(crate) fn chaos(&mut self) {
        let again = self.random.random_range(300..4_000);
        self.schedule(again, Event::Chaos);
        self.slow = self.chance(25);
        match self.random.random_range(0..15) {
            0..3 => self.crash(),
            3 => (0..SEATS).for_each(|_| self.crash()),
            4..6 => self.pause(),
            6..8 => self.split(),
            8 => self.cut.clear(),
            9 => {
                let addresses: Vec<u16> = self.listening.keys().copied().collect();
                let kept = addresses
                    .into_iter()
                    .filter(|_| self.random.random_bool(0.6));
                self.no_table = kept.collect();
            }
            10 => self.no_table.clear(),
            11 => self.isolate(),
            12..14 => {
                if let Some(p) = self.any_alive() {
                    self.processes[p].machine.leave();
                }
            }
            _ => {
                self.cut.clear();
                self.no_table.clear();
            }
        }
    }

    pub(crate) fn crash(&mut self) {
        if let Some(p) = self.any_alive() {
            self.end(p);
        }
    }

    /// Ends a process; another one starts at its address or elsewhere, sooner or later.
    pub(crate) fn end(&mut self, p: usize) {
        self.processes[p].alive = false;
        let address = self.processes[p].address;
        self.listening.swap_remove(&address);
        self.referee.die(self.now, p);
        let mut back = address;
        if self.chance(40) {
            self.next_address += 1;
            back = self.next_address;
        }
        let delay = self.random.random_range(10..8_000);
        self.schedule(delay, Event::Start(back));
    }

    pub(crate) fn pause(&mut self) {
        if let Some(p) = self.any_alive() {
            let length = self.random.random_range(100..8_000);
            self.processes[p].paused_until = self.now + length;
        }
    }

    /// One daemon keeps the table and loses all peers, the others keep each other.
    pub(crate) fn isolate(&mut self) {
        let Some(p) = self.any_alive() else {
            return;
        };
        let alone = self.processes[p].address;
        self.cut.clear();
        self.no_table.clear();
        for other in 1..=self.next_address {
            if other != alone {
                self.cut.insert((alone, other));
                self.cut.insert((other, alone));
                self.no_table.insert(other);
            }
        }
    }

    pub(crate) fn split(&mut self) {
        let addresses: Vec<u16> = self.listening.keys().copied().collect();
        let side: Vec<bool> = addresses
            .iter()
            .map(|_| self.random.random_bool(0.5))
            .collect();
        let one_way = self.random.random_bool(0.2);
        for (index, one) in addresses.iter().enumerate() {
            for (other_index, other) in addresses.iter().enumerate() {
                if side[index] && !side[other_index] {
                    self.cut.insert((*one, *other));
                    if !one_way {
                        self.cut.insert((*other, *one));
                    }
                }
            }
        }
    }
}
