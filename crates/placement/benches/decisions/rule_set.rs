//! The rule sets that are compared.

/// How the worker of a task is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PlacementRule {
    /// The policy under test.
    Policy,
    /// The first worker with enough free capacity.
    FirstFit,
    /// The worker with the most free CPU, then the most free memory.
    LeastLoaded,
}

/// How a worker with a slow service is handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OverloadRule {
    /// By the overload control under test.
    Controller,
    /// By evicting one batch task at each reading over the target.
    EvictAtOnce,
    /// Not at all.
    Nothing,
}

/// The rules of one simulation run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RuleSet {
    pub(crate) placement: PlacementRule,
    /// Whether reservations follow the measured use.
    pub(crate) learns_sizes: bool,
    /// Whether the interference of classes with services is learned and avoided.
    pub(crate) learns_interference: bool,
    /// Whether the queue is ordered by latest start instead of services first, then by index.
    pub(crate) orders_by_laxity: bool,
    pub(crate) overload: OverloadRule,
    /// Whether the model wrongly estimates one harmless class as harmful at first.
    pub(crate) starts_with_wrong_estimate: bool,
}

impl RuleSet {
    pub(crate) fn full_policy() -> Self {
        Self {
            placement: PlacementRule::Policy,
            learns_sizes: true,
            learns_interference: true,
            orders_by_laxity: true,
            overload: OverloadRule::Controller,
            starts_with_wrong_estimate: false,
        }
    }

    pub(crate) fn alternatives() -> Vec<(&'static str, Self)> {
        let policy = Self::full_policy();
        let simple = |placement, overload| Self {
            placement,
            learns_sizes: false,
            learns_interference: false,
            orders_by_laxity: false,
            overload,
            starts_with_wrong_estimate: false,
        };
        vec![
            (
                "first fit",
                simple(PlacementRule::FirstFit, OverloadRule::Nothing),
            ),
            (
                "first fit + ladder",
                simple(PlacementRule::FirstFit, OverloadRule::Controller),
            ),
            (
                "least loaded",
                simple(PlacementRule::LeastLoaded, OverloadRule::Nothing),
            ),
            (
                "least loaded + ladder",
                simple(PlacementRule::LeastLoaded, OverloadRule::Controller),
            ),
            (
                "no interference model",
                Self {
                    learns_interference: false,
                    ..policy
                },
            ),
            (
                "sizes as declared",
                Self {
                    learns_sizes: false,
                    ..policy
                },
            ),
            (
                "first come, first",
                Self {
                    orders_by_laxity: false,
                    ..policy
                },
            ),
            (
                "evict at once",
                Self {
                    overload: OverloadRule::EvictAtOnce,
                    ..policy
                },
            ),
            (
                "one wrong belief",
                Self {
                    starts_with_wrong_estimate: true,
                    ..policy
                },
            ),
            (
                "no ladder",
                Self {
                    overload: OverloadRule::Nothing,
                    ..policy
                },
            ),
        ]
    }
}
