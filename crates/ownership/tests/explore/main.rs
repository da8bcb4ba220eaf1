//! The rule explored at random: the same machine as in the daemon, driven through failures.

mod referee;
mod rows;
mod world;

use jasminebend_ownership::GuardSet;

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
