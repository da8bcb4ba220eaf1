//! The newest epochs that a member has heard of.

use jasminebend_base::SeatNumber;

use crate::PeerReport;

/// The newest epochs that a member has heard of, in the table or from peers. They only grow, which
/// is the promise of a member that was told: it never again vouches for what is older.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct KnownEpochs {
    pub(crate) seats: Vec<u64>,
    pub(crate) configuration: u64,
    pub(crate) committed: u64,
}

impl KnownEpochs {
    pub(crate) fn new(seats: u8) -> Self {
        Self {
            seats: vec![0; usize::from(seats)],
            ..Self::default()
        }
    }

    pub(crate) fn seat(&self, seat: SeatNumber) -> u64 {
        self.seats.get(usize::from(seat.0)).copied().unwrap_or(0)
    }

    pub(crate) fn raise_seat(&mut self, seat: SeatNumber, epoch: u64) -> bool {
        let Some(known) = self.seats.get_mut(usize::from(seat.0)) else {
            return false;
        };
        let newer = epoch > *known;
        *known = epoch.max(*known);
        newer
    }

    pub(crate) fn raise_configuration(&mut self, announced: u64, committed: u64) -> bool {
        let newer = committed > self.committed;
        self.committed = self.committed.max(committed);
        self.configuration = self.configuration.max(announced).max(committed);
        newer
    }

    pub(crate) fn merge(&mut self, report: &PeerReport) -> bool {
        let mut newer = self.raise_configuration(report.configuration, report.in_force);
        for (seat, epoch) in (0u8..).map(SeatNumber).zip(&report.seats) {
            newer |= self.raise_seat(seat, *epoch);
        }
        newer
    }
}
