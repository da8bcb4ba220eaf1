//! The replay window of one sender.

/// The number of sequence numbers that the window covers, which is the number of bits in
/// [`ReplayWindow::seen`].
const WINDOW_SEQUENCES: u64 = 64;

/// The replay window of one sender: records which of the latest 64 sequence numbers were received.
/// Lower numbers count as received.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReplayWindow {
    /// The highest sequence number received; 0 before the first.
    highest: u64,
    /// The received sequence numbers: bit `n` is set if `highest - n` was received.
    seen: u64,
}

impl ReplayWindow {
    /// Records a sequence number as received, and returns whether it is new. The number 0 is never
    /// new.
    pub fn record(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = self
                .seen
                .checked_shl(u32::try_from(shift).unwrap_or(u32::MAX))
                .unwrap_or(0);
            self.seen |= 1;
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        if sequence == 0 || age >= WINDOW_SEQUENCES {
            return false;
        }
        let bit = 1 << age;
        let is_new = self.seen & bit == 0;
        self.seen |= bit;
        is_new
    }
}
