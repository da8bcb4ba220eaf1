//! Randomized simulation of the ownership protocol: the state machines that daemons run are driven
//! through injected failures, and their actions are checked against the protocol's invariants.

mod failure_injection;
mod invariant_checker;
mod network;
mod shared_table;
mod simulation;

use jasminebend_ownership::{
    Guard,
    GuardSet, //
};

use crate::invariant_checker::Violation;

/// The seeds that each run of the tests simulates.
const TEST_SEEDS: std::ops::Range<u64> = 0..40;

/// Seeds that once showed a violation after the failures had ended: a resource stayed unused
/// forever, because it was assigned to a daemon at the moment at which that daemon lost its seat,
/// or because a daemon lost a seat that it had never learned it held.
const REGRESSION_SEEDS: [u64; 12] = [
    43, 72, 150, 170, 198, 373, 435, 520, 611, 1_432, 1_895, 3_181,
];

#[test]
fn seeds_with_a_past_violation_show_none() {
    for seed in REGRESSION_SEEDS {
        let violation = simulation::run_simulation(seed, GuardSet::new()).err();
        assert_eq!(violation, None, "seed {seed}");
    }
}

#[test]
fn no_seed_shows_a_violation_with_all_guards() {
    let mut ownership_changes = 0;
    for seed in TEST_SEEDS {
        match simulation::run_simulation(seed, GuardSet::new()) {
            Ok(invariant_checker) => ownership_changes += invariant_checker.ownership_changes,
            Err(violation) => panic!("seed {seed}: {violation:?}"),
        }
    }
    assert!(
        ownership_changes > 200,
        "only {ownership_changes} ownership changes: the simulations exercise too little"
    );
}

/// The kind of a violation, by its effect on users.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ViolationKind {
    TwoHolders,
    TwoAtEndpoint,
    StaleConfiguration,
    VersionDecreased,
    NoRecovery,
}

fn violation_kind(violation: &Violation) -> ViolationKind {
    match violation {
        Violation::TwoHolders { .. } => ViolationKind::TwoHolders,
        Violation::TwoAtEndpoint { .. } => ViolationKind::TwoAtEndpoint,
        Violation::StaleConfiguration { .. } => ViolationKind::StaleConfiguration,
        Violation::VersionDecreased { .. } => ViolationKind::VersionDecreased,
        Violation::NotRecovered { .. } | Violation::ResourcesUnheld { .. } => {
            ViolationKind::NoRecovery
        }
    }
}

/// Disables each guard except two, which `state_machine.rs` tests: the simulation of the seed shows
/// the violation without the guard, and none with it. Each seed is the first that shows it; `cargo
/// bench --bench simulation -- 6000 each` finds them.
#[test]
fn each_guard_prevents_a_violation() {
    let cases = [
        (
            Guard::IntentBeforeNotification,
            1,
            ViolationKind::TwoAtEndpoint,
        ),
        (Guard::NotifyMajority, 140, ViolationKind::TwoHolders),
        (Guard::WaitAfterNotification, 186, ViolationKind::TwoHolders),
        (Guard::ReportNewerEpochs, 43, ViolationKind::TwoHolders),
        (Guard::ConfirmationMajority, 39, ViolationKind::TwoHolders),
        (
            Guard::ConfirmationAgeFromRequest,
            504,
            ViolationKind::StaleConfiguration,
        ),
        (
            Guard::ReadAgeFromRequest,
            10,
            ViolationKind::StaleConfiguration,
        ),
        (
            Guard::ClockDriftMargin,
            19,
            ViolationKind::StaleConfiguration,
        ),
        (
            Guard::DiscardFormerProcess,
            9_670,
            ViolationKind::StaleConfiguration,
        ),
        (
            Guard::SilenceIsNotTermination,
            140,
            ViolationKind::StaleConfiguration,
        ),
        (Guard::ReleaseIsFinal, 19, ViolationKind::TwoHolders),
        (
            Guard::IdleAfterForcedTransfer,
            30,
            ViolationKind::TwoAtEndpoint,
        ),
        (
            Guard::SlotsOnlyFromTerminated,
            3_272,
            ViolationKind::TwoAtEndpoint,
        ),
        (Guard::RowsNeverRevert, 3, ViolationKind::TwoHolders),
        (
            Guard::NotifyConfigurationMajority,
            140,
            ViolationKind::StaleConfiguration,
        ),
    ];
    for (guard, seed, kind) in cases {
        let result_without = simulation::run_simulation(seed, GuardSet::new().without(guard));
        let found = result_without
            .err()
            .map(|violation| violation_kind(&violation));
        assert_eq!(found, Some(kind), "{guard:?} disabled: seed {seed}");
        let result_with = simulation::run_simulation(seed, GuardSet::new());
        assert!(result_with.is_ok(), "{guard:?} enabled: seed {seed}");
    }
}
