//! The safety rules of the ownership protocol, each of which a simulation can disable.

/// A safety rule of the ownership protocol. Daemons apply all of them. A simulation disables a
/// single one to show that it then finds the fault which that guard prevents. A confirmation is a
/// peer's answer that it knows no newer epoch and no newer configuration version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Guard {
    /// The intent to change a seat is in the table before any member is notified of it.
    IntentBeforeNotification,
    /// More than half of the members are notified of a seat change before it is committed.
    NotifyMajority,
    /// The commit of a seat change waits until every confirmation given before the notification has
    /// expired.
    WaitAfterNotification,
    /// A member that was notified of newer epochs reports them in every message to its peers.
    ReportNewerEpochs,
    /// A daemon that cannot read the table acts only while more than half of the members confirm
    /// that they know no newer epoch.
    ConfirmationMajority,
    /// A peer's confirmation is valid from the time at which it was requested, not from its
    /// arrival.
    ConfirmationAgeFromRequest,
    /// A read of the table is valid from the time at which it was requested, not from its arrival.
    ReadAgeFromRequest,
    /// Durations include a margin for clock drift.
    ClockDriftMargin,
    /// A process that took a seat reads the table before it confirms anything to its peers.
    ReadBeforeParticipating,
    /// Confirmations of a seat's former process are discarded.
    DiscardFormerProcess,
    /// A process is not presumed to have terminated because it is silent.
    SilenceIsNotTermination,
    /// Only the daemons that hold a seat in a read made after the intent was seen count as notified
    /// of a configuration change.
    CountSeatsAfterIntent,
    /// A resource that this daemon released is not used again under the same epoch.
    ReleaseIsFinal,
    /// Slot shares taken over without a release stay idle for the longest duration of a request.
    IdleAfterForcedTransfer,
    /// Slot shares are taken only from a process that is known to have terminated.
    SlotsOnlyFromTerminated,
    /// An older read of a row never replaces a newer one.
    RowsNeverRevert,
    /// More than half of the members are notified of a configuration change before it is committed.
    NotifyConfigurationMajority,
}

impl Guard {
    /// All guards.
    pub const ALL: [Self; 17] = [
        Self::IntentBeforeNotification,
        Self::NotifyMajority,
        Self::WaitAfterNotification,
        Self::ReportNewerEpochs,
        Self::ConfirmationMajority,
        Self::ConfirmationAgeFromRequest,
        Self::ReadAgeFromRequest,
        Self::ClockDriftMargin,
        Self::ReadBeforeParticipating,
        Self::DiscardFormerProcess,
        Self::SilenceIsNotTermination,
        Self::CountSeatsAfterIntent,
        Self::ReleaseIsFinal,
        Self::IdleAfterForcedTransfer,
        Self::SlotsOnlyFromTerminated,
        Self::RowsNeverRevert,
        Self::NotifyConfigurationMajority,
    ];
}

/// The guards that are enabled.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GuardSet {
    /// One bit per disabled guard, by the guard's discriminant.
    disabled: u32,
}

impl GuardSet {
    /// Creates a set with all guards enabled.
    pub fn new() -> Self {
        Self::default()
    }

    /// Disables a guard; for simulations only.
    pub fn without(mut self, guard: Guard) -> Self {
        self.disabled |= 1 << (guard as u8);
        self
    }

    /// Returns whether a guard is enabled.
    pub fn is_enabled(self, guard: Guard) -> bool {
        self.disabled & (1 << (guard as u8)) == 0
    }
}
