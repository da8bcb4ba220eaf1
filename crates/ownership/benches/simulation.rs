//! Runs the randomized simulation of the ownership protocol over many seeds:
//!
//! `cargo bench -p jasminebend-ownership --bench simulation -- [SEEDS] [GUARD] [FIRST]`
//!
//! Without a guard's name it simulates SEEDS seeds (2000 by default) with all guards enabled, and
//! prints each violation. With a guard's name, or `each` for all guards in turn, it disables that
//! guard and prints the first of SEEDS seeds from FIRST (0 by default) that shows a violation.

#[path = "../tests/simulation/failure_injection.rs"]
mod failure_injection;
#[path = "../tests/simulation/invariant_checker.rs"]
mod invariant_checker;
#[path = "../tests/simulation/network.rs"]
mod network;
#[path = "../tests/simulation/shared_table.rs"]
mod shared_table;
#[path = "../tests/simulation/simulation.rs"]
mod simulation;

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    thread,
    time::Instant, //
};

use jasminebend_ownership::{
    Guard,
    GuardSet, //
};

use crate::invariant_checker::Violation;

/// The number of threads; few, to leave processors to other programs on the machine.
const THREAD_COUNT: u64 = 3;

fn main() {
    let mut arguments = std::env::args()
        .skip(1)
        .filter(|argument| argument != "--bench");
    let seeds: u64 = arguments
        .next()
        .and_then(|argument| argument.parse().ok())
        .unwrap_or(2_000);
    let Some(guard_name) = arguments.next() else {
        run_with_all_guards(seeds);
        return;
    };
    let first_seed = arguments.next().and_then(|argument| argument.parse().ok());
    for guard in Guard::ALL {
        if guard_name == "each" || guard_name == format!("{guard:?}") {
            find_first_violation(guard, first_seed.unwrap_or(0), seeds);
        }
    }
}

/// Simulates the seeds with all guards enabled, and prints the violations and totals.
fn run_with_all_guards(seeds: u64) {
    let started = Instant::now();
    let (ownership_changes, checked_uses, violations) =
        (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    let committed_versions = AtomicU64::new(0);
    thread::scope(|scope| {
        for thread in 0..THREAD_COUNT {
            let (ownership_changes, checked_uses, violations, committed_versions) = (
                &ownership_changes,
                &checked_uses,
                &violations,
                &committed_versions,
            );
            scope.spawn(move || {
                for seed in (thread..seeds).step_by(THREAD_COUNT as usize) {
                    match simulation::run_simulation(seed, GuardSet::new()) {
                        Ok(invariant_checker) => {
                            ownership_changes
                                .fetch_add(invariant_checker.ownership_changes, Ordering::Relaxed);
                            checked_uses
                                .fetch_add(invariant_checker.checked_uses, Ordering::Relaxed);
                            committed_versions
                                .fetch_add(invariant_checker.committed_versions, Ordering::Relaxed);
                        }
                        Err(violation) => {
                            violations.fetch_add(1, Ordering::Relaxed);
                            println!("seed {seed}: {violation:?}");
                        }
                    }
                }
            });
        }
    });
    println!(
        "{seeds} seeds, {ownership_changes:?} ownership changes, {checked_uses:?} checked uses, {committed_versions:?} committed versions, {violations:?} violations, {:?}",
        started.elapsed()
    );
}

/// Prints the first seed that shows a safety violation with a guard disabled. A simulation that
/// only fails to recover does not count.
fn find_first_violation(guard: Guard, first_seed: u64, seeds: u64) {
    let guards = GuardSet::new().without(guard);
    let started = Instant::now();
    let found =
        (first_seed..first_seed + seeds).find_map(|seed| {
            match simulation::run_simulation(seed, guards) {
                Ok(_) | Err(Violation::NotRecovered { .. } | Violation::ResourcesUnheld { .. }) => {
                    None
                }
                Err(violation) => Some((seed, violation)),
            }
        });
    match found {
        Some((seed, violation)) => {
            println!(
                "{guard:?}: seed {seed}, {violation:?}, {:?}",
                started.elapsed()
            )
        }
        None => println!(
            "{guard:?}: no violation in {seeds} seeds, {:?}",
            started.elapsed()
        ),
    }
}
