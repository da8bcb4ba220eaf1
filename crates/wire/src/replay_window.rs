//! Which messages of one sender were seen.

const WINDOW: u64 = 64;

/// Which messages of one sender were seen: those below the window count as seen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReplayWindow {
    highest: u64,
    seen: u64,
}

impl ReplayWindow {
    /// Takes in a sequence number, and tells whether it is new.
    pub fn admit(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let step = sequence - self.highest;
            self.seen = self
                .seen
                .checked_shl(u32::try_from(step).unwrap_or(u32::MAX))
                .unwrap_or(0);
            self.seen |= 1;
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        if sequence == 0 || age >= WINDOW {
            return false;
        }
        let bit = 1 << age;
        let new = self.seen & bit == 0;
        self.seen |= bit;
        new
    }
}
