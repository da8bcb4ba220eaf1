//! The parts of the policy that a trial can do without.

use std::str::FromStr;

use derive_more::{
    Display,
    Error, //
};

/// A part of the policy that a trial can do without, to see what it is worth. What guards room, tokens, attempts, order and the
/// limit of harm is none of them; without `room-kept` long-running tasks may wait on full pools for longer than they should.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum PolicyPart {
    /// What fillers do to services is learned.
    #[display("learned-pairs")]
    LearnedPairs,
    /// The tasks of a service's step share one load.
    #[display("step-loads")]
    StepLoads,
    /// Fillers that came or left just now count in part.
    #[display("fading-figures")]
    FadingFigures,
    /// A filler goes where it adds least to the risk that services exceed their targets.
    #[display("risk-order")]
    RiskOrder,
    /// One filler of unknown effect comes at a time.
    #[display("unknown-singly")]
    UnknownSingly,
    /// Newcomers that are known to be harmless stay.
    #[display("harmless-stay")]
    HarmlessStay,
    /// Fillers are slowed before they are moved.
    #[display("pacing")]
    Pacing,
    /// Services of one image are kept together.
    #[display("services-together")]
    ServicesTogether,
    /// Fillers leave open places to those that find fewer.
    #[display("open-places-last")]
    OpenPlacesLast,
    /// What is begun goes before what is not.
    #[display("begun-first")]
    BegunFirst,
    /// Long-running tasks wait behind others at first.
    #[display("long-running-last")]
    LongRunningLast,
    /// Room is kept for what is large and has waited.
    #[display("room-kept")]
    RoomKept,
    /// Demands for which there was no room are remembered.
    #[display("hopeless-demands")]
    HopelessDemands,
    /// Workers on which tasks fail or stand still are set aside.
    #[display("worker-rests")]
    WorkerRests,
    /// Successors are told what was learned.
    #[display("kept-learning")]
    KeptLearning,
    /// Long-running jobs are taken in only while short work finds room.
    #[display("admission")]
    Admission,
}

/// The name of no part of the policy.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("`{name}` is no part of the policy; there are {}", PolicyPart::names())]
pub struct UnknownPart {
    /// What was given.
    pub name: String,
}

/// The parts of the policy that a trial does without.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PolicySwitches {
    off: u32,
}

impl PolicyPart {
    /// All parts.
    pub const ALL: [Self; 16] = [
        Self::LearnedPairs,
        Self::StepLoads,
        Self::FadingFigures,
        Self::RiskOrder,
        Self::UnknownSingly,
        Self::HarmlessStay,
        Self::Pacing,
        Self::ServicesTogether,
        Self::OpenPlacesLast,
        Self::BegunFirst,
        Self::LongRunningLast,
        Self::RoomKept,
        Self::HopelessDemands,
        Self::WorkerRests,
        Self::KeptLearning,
        Self::Admission,
    ];

    fn names() -> String {
        Self::ALL.map(|part| part.to_string()).join(", ")
    }
}

impl FromStr for PolicyPart {
    type Err = UnknownPart;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let mut parts = Self::ALL.into_iter();
        let part = parts.find(|part| part.to_string() == name);
        part.ok_or_else(|| UnknownPart {
            name: name.to_owned(),
        })
    }
}

impl PolicySwitches {
    /// Does without a part as well.
    #[must_use]
    pub fn without(self, part: PolicyPart) -> Self {
        Self {
            off: self.off | Self::bit(part),
        }
    }

    /// Tells whether a part is in force.
    pub fn has(self, part: PolicyPart) -> bool {
        self.off & Self::bit(part) == 0
    }

    /// Returns the parts that are done without.
    pub fn missing(self) -> impl Iterator<Item = PolicyPart> {
        let parts = PolicyPart::ALL.into_iter();
        parts.filter(move |part| !self.has(*part))
    }

    fn bit(part: PolicyPart) -> u32 {
        // CAST: There are fewer than 32 parts.
        1 << part as u32
    }
}
