//! The rule explored at random: the same machine as in the daemon, driven through failures.

mod referee;
mod rows;
mod world;

use jasminebend_ownership::{
    Guard,
    GuardSet, //
};

use crate::referee::Fault;

/// Seeds that CI runs each time.
const SEEDS: std::ops::Range<u64> = 0..40;

#[test]
fn no_course_shows_a_fault_with_all_guards() {
    let mut moves = 0;
    for seed in SEEDS {
        match world::explore(seed, GuardSet::new()) {
            Ok(referee) => moves += referee.moves,
            Err(fault) => panic!("seed {seed}: {fault:?}"),
        }
    }
    assert!(
        moves > 200,
        "only {moves} moves: the courses explore nothing"
    );
}

/// What the users would see without a guard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Harm {
    TwoHolders,
    TwoAtEndpoint,
    OldConfiguration,
    Reverted,
}

fn harm_of(fault: &Fault) -> Harm {
    match fault {
        Fault::TwoHolders { .. } => Harm::TwoHolders,
        Fault::TwoAtEndpoint { .. } => Harm::TwoAtEndpoint,
        Fault::OldConfiguration { .. } => Harm::OldConfiguration,
        Fault::Reverted { .. } => Harm::Reverted,
    }
}

/// Each guard is taken out once: the course of the seed shows the fault without it, and none with
/// it. The seeds are the first that did; `cargo bench --bench explore -- 6000 each` finds them.
#[test]
fn each_guard_is_missed_when_it_is_taken_out() {
    let cases = [
        (Guard::IntentBeforeTelling, 2, Harm::TwoHolders),
        (Guard::TellMajority, 280, Harm::TwoHolders),
        (Guard::WaitAfterTelling, 28, Harm::TwoHolders),
        (Guard::TellNewer, 20, Harm::OldConfiguration),
        (Guard::VouchMajority, 217, Harm::TwoHolders),
        (Guard::CountFromAsk, 244, Harm::OldConfiguration),
        (Guard::CountFromPoll, 27, Harm::OldConfiguration),
        (Guard::DriftMargin, 19, Harm::OldConfiguration),
        (Guard::DiscountFormer, 7_474, Harm::OldConfiguration),
        (Guard::SilenceIsNotGone, 58, Harm::OldConfiguration),
        (Guard::ReleaseIsFinal, 15, Harm::TwoAtEndpoint),
        (Guard::IdleAfterForce, 59, Harm::TwoAtEndpoint),
        (Guard::SlotsOnlyFromGone, 3_272, Harm::TwoAtEndpoint),
        (Guard::RowsNeverRevert, 3, Harm::TwoHolders),
        (Guard::TellConfiguration, 8, Harm::OldConfiguration),
    ];
    for (guard, seed, harm) in cases {
        let without = world::explore(seed, GuardSet::new().without(guard));
        let found = without.err().map(|fault| harm_of(&fault));
        assert_eq!(found, Some(harm), "{guard:?} without: seed {seed}");
        let with = world::explore(seed, GuardSet::new());
        assert!(with.is_ok(), "{guard:?} with: seed {seed}");
    }
}
