//! Parts of the scheduling policy that can be switched off for trials.

use std::str::FromStr;

use derive_more::{
    Display,
    Error, //
};

/// A part of the scheduling policy that can be switched off in a trial, to measure its benefit. The
/// guards of capacity, fencing tokens, attempts, dependency order and the limit on interference
/// cannot be switched off. Without `room-kept`, long-running tasks may wait on full pools for
/// longer than they should.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum PolicyPart {
    /// The interference of each filler image with each service image is learned.
    #[display("learned-pairs")]
    LearnedInterference,
    /// The tasks of a service's step share one load estimate.
    #[display("step-loads")]
    SharedStepLoad,
    /// Fillers that started or ended recently count in proportion to the time that the metrics
    /// cover.
    #[display("fading-figures")]
    FadingMetrics,
    /// A filler is placed where it adds least to the risk that services exceed their targets.
    #[display("risk-order")]
    PlacementByRisk,
    /// Fillers of unknown effect are placed one at a time.
    #[display("unknown-singly")]
    UnknownFillersSingly,
    /// Recently placed fillers that are known to be harmless are not evicted.
    #[display("harmless-stay")]
    KeepHarmlessFillers,
    /// Fillers are throttled before they are evicted.
    #[display("pacing")]
    Throttling,
    /// Services of one image are placed together.
    #[display("services-together")]
    ServicesTogether,
    /// Fillers leave workers that are open to all images to fillers that find few places.
    #[display("open-places-last")]
    OpenWorkersLast,
    /// Started jobs are planned before others.
    #[display("begun-first")]
    StartedJobsFirst,
    /// Long-running tasks are planned after others at first.
    #[display("long-running-last")]
    LongRunningLast,
    /// Free capacity is reserved for large tasks that have waited.
    #[display("room-kept")]
    CapacityReservation,
    /// Demands for which no worker had capacity are cached.
    #[display("hopeless-demands")]
    UnplaceableDemandCache,
    /// Workers on which tasks fail or get stuck are quarantined.
    #[display("worker-rests")]
    WorkerQuarantine,
    /// The learned interference is restored by successors.
    #[display("kept-learning")]
    LearnedStateRestore,
    /// Long-running jobs are accepted only while short tasks find capacity.
    #[display("admission")]
    Admission,
}

/// Error for a name that is not a part of the policy.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("`{name}` is no part of the policy; there are {}", PolicyPart::names())]
pub struct UnknownPolicyPart {
    /// The unknown name.
    pub name: String,
}

/// Set of policy parts that are switched off.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PolicySwitches {
    /// The parts that are switched off, one bit for each by its discriminant.
    off: u32,
}

impl PolicyPart {
    /// All parts, in the order of their bits in [`PolicySwitches`].
    pub const ALL: [Self; 16] = [
        Self::LearnedInterference,
        Self::SharedStepLoad,
        Self::FadingMetrics,
        Self::PlacementByRisk,
        Self::UnknownFillersSingly,
        Self::KeepHarmlessFillers,
        Self::Throttling,
        Self::ServicesTogether,
        Self::OpenWorkersLast,
        Self::StartedJobsFirst,
        Self::LongRunningLast,
        Self::CapacityReservation,
        Self::UnplaceableDemandCache,
        Self::WorkerQuarantine,
        Self::LearnedStateRestore,
        Self::Admission,
    ];

    fn names() -> String {
        Self::ALL.map(|part| part.to_string()).join(", ")
    }
}

impl FromStr for PolicyPart {
    type Err = UnknownPolicyPart;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let mut parts = Self::ALL.into_iter();
        let part = parts.find(|part| part.to_string() == name);
        part.ok_or_else(|| UnknownPolicyPart {
            name: name.to_owned(),
        })
    }
}

impl PolicySwitches {
    /// Returns the switches with another part switched off.
    #[must_use]
    pub fn without(self, part: PolicyPart) -> Self {
        Self {
            off: self.off | Self::bit(part),
        }
    }

    /// Returns whether a part is switched on.
    pub fn has(self, part: PolicyPart) -> bool {
        self.off & Self::bit(part) == 0
    }

    /// Returns the parts that are switched off.
    pub fn switched_off(self) -> impl Iterator<Item = PolicyPart> {
        let parts = PolicyPart::ALL.into_iter();
        parts.filter(move |part| !self.has(*part))
    }

    fn bit(part: PolicyPart) -> u32 {
        // CAST: There are fewer than 32 parts.
        1 << part as u32
    }
}
