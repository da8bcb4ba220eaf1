//! The rules that are compared.

/// How a task's place is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PlacementRule {
    /// The policy's own.
    Own,
    /// The first worker with room by declared size.
    FirstFit,
    /// The emptiest worker by declared size.
    LeastLoaded,
}

/// What is done when a service is slow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OverloadRule {
    /// The ladder.
    Ladder,
    /// One batch task is evicted at each reading over the target.
    EvictAtOnce,
    /// Nothing.
    Nothing,
}

/// The rules of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RuleSet {
    pub(crate) place: PlacementRule,
    pub(crate) learns_sizes: bool,
    pub(crate) learns_pairs: bool,
    pub(crate) by_laxity: bool,
    pub(crate) pressure: OverloadRule,
    /// Whether one harmless class is believed to be harmful at first.
    pub(crate) wrong_belief: bool,
}

impl RuleSet {
    pub(crate) fn own() -> Self {
        Self {
            place: PlacementRule::Own,
            learns_sizes: true,
            learns_pairs: true,
            by_laxity: true,
            pressure: OverloadRule::Ladder,
            wrong_belief: false,
        }
    }

    pub(crate) fn others() -> Vec<(&'static str, Self)> {
        let own = Self::own();
        let simple = |place, pressure| Self {
            place,
            learns_sizes: false,
            learns_pairs: false,
            by_laxity: false,
            pressure,
            wrong_belief: false,
        };
        vec![
            (
                "first fit",
                simple(PlacementRule::FirstFit, OverloadRule::Nothing),
            ),
            (
                "first fit + ladder",
                simple(PlacementRule::FirstFit, OverloadRule::Ladder),
            ),
            (
                "least loaded",
                simple(PlacementRule::LeastLoaded, OverloadRule::Nothing),
            ),
            (
                "least loaded + ladder",
                simple(PlacementRule::LeastLoaded, OverloadRule::Ladder),
            ),
            (
                "no interference model",
                Self {
                    learns_pairs: false,
                    ..own
                },
            ),
            (
                "sizes as declared",
                Self {
                    learns_sizes: false,
                    ..own
                },
            ),
            (
                "first come, first",
                Self {
                    by_laxity: false,
                    ..own
                },
            ),
            (
                "evict at once",
                Self {
                    pressure: OverloadRule::EvictAtOnce,
                    ..own
                },
            ),
            (
                "one wrong belief",
                Self {
                    wrong_belief: true,
                    ..own
                },
            ),
            (
                "no ladder",
                Self {
                    pressure: OverloadRule::Nothing,
                    ..own
                },
            ),
        ]
    }
}
