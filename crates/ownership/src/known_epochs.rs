//! The newest epochs that a member knows.

use jasminebend_base::SeatNumber;

use crate::PeerReport;

/// The newest seat epochs and configuration versions that a member knows, from the table or from
/// peers. They only grow: a member that was notified of a newer one never again confirms an older
/// one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct KnownEpochs {
    /// The newest epoch of each seat, announced or in force, by seat number; zero if none is known.
    pub(crate) seats: Vec<u64>,
    /// The newest configuration version, announced or committed.
    pub(crate) announced_configuration: u64,
    /// The newest configuration version that is known to be committed.
    pub(crate) committed_configuration: u64,
}

impl KnownEpochs {
    pub(crate) fn new(seats: u8) -> Self {
        Self {
            seats: vec![0; usize::from(seats)],
            ..Self::default()
        }
    }

    /// Returns the newest known epoch of a seat; zero if the seat does not exist.
    pub(crate) fn seat(&self, seat: SeatNumber) -> u64 {
        self.seats.get(usize::from(seat.0)).copied().unwrap_or(0)
    }

    /// Raises a seat's epoch to at least `epoch`, and returns whether it was raised.
    pub(crate) fn raise_seat(&mut self, seat: SeatNumber, epoch: u64) -> bool {
        let Some(known) = self.seats.get_mut(usize::from(seat.0)) else {
            return false;
        };
        let newer = epoch > *known;
        *known = epoch.max(*known);
        newer
    }

    /// Raises the configuration versions, and returns whether the committed one was raised.
    pub(crate) fn raise_configuration(&mut self, announced: u64, committed: u64) -> bool {
        let newer = committed > self.committed_configuration;
        self.committed_configuration = self.committed_configuration.max(committed);
        self.announced_configuration = self.announced_configuration.max(announced).max(committed);
        newer
    }

    /// Merges a peer's report, and returns whether it raised a seat's epoch or the committed
    /// version.
    pub(crate) fn merge(&mut self, report: &PeerReport) -> bool {
        let mut newer = self.raise_configuration(report.configuration, report.in_force);
        for (seat, epoch) in (0u8..).map(SeatNumber).zip(&report.seats) {
            newer |= self.raise_seat(seat, *epoch);
        }
        newer
    }
}
