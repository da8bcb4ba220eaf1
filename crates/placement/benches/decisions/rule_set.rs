//! The rules that are compared.

/// How a task's place is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PlaceRule {
    /// The policy's own.
    Own,
    /// The first worker with room by declared size.
    FirstFit,
    /// The emptiest worker by declared size.
    LeastLoaded,
}

/// What is done when a service is slow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PressureRule {
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
    pub(crate) place: PlaceRule,
    pub(crate) learns_sizes: bool,
    pub(crate) learns_pairs: bool,
    pub(crate) by_laxity: bool,
    pub(crate) pressure: PressureRule,
    /// Whether one harmless class is believed to be harmful at first.
    pub(crate) wrong_belief: bool,
}

impl RuleSet {
    pub(crate) fn own() -> Self {
        Self {
            place: PlaceRule::Own,
            learns_sizes: true,
            learns_pairs: true,
            by_laxity: true,
            pressure: PressureRule::Ladder,
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
                simple(PlaceRule::FirstFit, PressureRule::Nothing),
            ),
            (
                "first fit + ladder",
                simple(PlaceRule::FirstFit, PressureRule::Ladder),
            ),
            (
                "least loaded",
                simple(PlaceRule::LeastLoaded, PressureRule::Nothing),
            ),
            (
                "least loaded + ladder",
                simple(PlaceRule::LeastLoaded, PressureRule::Ladder),
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
                    pressure: PressureRule::EvictAtOnce,
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
                    pressure: PressureRule::Nothing,
                    ..own
                },
            ),
        ]
    }
}
