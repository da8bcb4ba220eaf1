//! The guards of the rule, each of which an exploration may take out.

/// A guard of the rule. A daemon has all; the exploration takes out one to show that the fault which
/// the guard prevents is found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Guard {
    /// The intent is in the row before anybody is told.
    IntentBeforeTelling,
    /// More than half are told before the commit.
    TellMajority,
    /// The commit waits until what was vouched before the telling has lapsed.
    WaitAfterTelling,
    /// A member that was told says so to whoever asks.
    TellNewer,
    /// A daemon without the table acts only while more than half vouch.
    VouchMajority,
    /// A vouch counts from when it was asked for.
    CountFromAsk,
    /// A read of the table counts from when it was asked for.
    CountFromPoll,
    /// Durations leave a margin for the drift of clocks.
    DriftMargin,
    /// A process that took a seat reads the table before it vouches.
    ReadBeforeSpeaking,
    /// Vouches of a seat's former process count no more.
    DiscountFormer,
    /// A silent process is not taken for a gone one.
    SilenceIsNotGone,
    /// Only who sits in the seat as read after the intent counts as told.
    CountSeatsAfterIntent,
    /// What was released is not used again under its epoch.
    ReleaseIsFinal,
    /// Slots taken by force stay idle for the longest request.
    IdleAfterForce,
    /// Slots are taken only from a process known to be gone.
    SlotsOnlyFromGone,
    /// A row that was read never gives way to an older one.
    RowsNeverRevert,
    /// A change of the configuration is told to more than half before it is committed.
    TellConfiguration,
}

impl Guard {
    /// All guards.
    pub const ALL: [Self; 17] = [
        Self::IntentBeforeTelling,
        Self::TellMajority,
        Self::WaitAfterTelling,
        Self::TellNewer,
        Self::VouchMajority,
        Self::CountFromAsk,
        Self::CountFromPoll,
        Self::DriftMargin,
        Self::ReadBeforeSpeaking,
        Self::DiscountFormer,
        Self::SilenceIsNotGone,
        Self::CountSeatsAfterIntent,
        Self::ReleaseIsFinal,
        Self::IdleAfterForce,
        Self::SlotsOnlyFromGone,
        Self::RowsNeverRevert,
        Self::TellConfiguration,
    ];
}

/// The guards in use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GuardSet {
    removed: u32,
}

impl GuardSet {
    /// Creates the full set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes out a guard; for explorations only.
    pub fn without(mut self, guard: Guard) -> Self {
        self.removed |= 1 << (guard as u8);
        self
    }

    /// Tells whether a guard is in use.
    pub fn has(self, guard: Guard) -> bool {
        self.removed & (1 << (guard as u8)) == 0
    }
}
