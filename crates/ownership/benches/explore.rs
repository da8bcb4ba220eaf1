//! A long exploration of the rule, by hand: `cargo bench -p jasminebend-ownership --bench explore --
//! [SEEDS] [GUARD] [FIRST]`. Without a guard's name it looks for a fault with all guards; with one, or
//! `each`, for the first seed that shows a fault without that guard.

#[path = "../tests/explore/chaos.rs"]
mod chaos;
#[path = "../tests/explore/referee.rs"]
mod referee;
#[path = "../tests/explore/rows.rs"]
mod rows;
#[path = "../tests/explore/traffic.rs"]
mod traffic;
#[path = "../tests/explore/world.rs"]
mod world;

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

use crate::referee::Fault;

/// Few threads: the machine is shared.
const THREADS: u64 = 3;

fn main() {
    let mut arguments = std::env::args().skip(1).filter(|word| word != "--bench");
    let seeds: u64 = arguments
        .next()
        .and_then(|word| word.parse().ok())
        .unwrap_or(2_000);
    let Some(name) = arguments.next() else {
        run_all(seeds);
        return;
    };
    let first = arguments.next().and_then(|word| word.parse().ok());
    for guard in Guard::ALL {
        if name == "each" || name == format!("{guard:?}") {
            find_first(guard, first.unwrap_or(0), seeds);
        }
    }
}

fn run_all(seeds: u64) {
    let started = Instant::now();
    let (moves, looks, faults) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    let versions = AtomicU64::new(0);
    thread::scope(|scope| {
        for thread in 0..THREADS {
            let (moves, looks, faults, versions) = (&moves, &looks, &faults, &versions);
            scope.spawn(move || {
                for seed in (thread..seeds).step_by(THREADS as usize) {
                    match world::explore(seed, GuardSet::new()) {
                        Ok(referee) => {
                            moves.fetch_add(referee.moves, Ordering::Relaxed);
                            looks.fetch_add(referee.looks, Ordering::Relaxed);
                            versions.fetch_add(referee.versions, Ordering::Relaxed);
                        }
                        Err(fault) => {
                            faults.fetch_add(1, Ordering::Relaxed);
                            println!("seed {seed}: {fault:?}");
                        }
                    }
                }
            });
        }
    });
    println!(
        "{seeds} seeds, {moves:?} moves, {looks:?} looks, {versions:?} versions, {faults:?} faults, {:?}",
        started.elapsed()
    );
}

fn find_first(guard: Guard, first: u64, seeds: u64) {
    let guards = GuardSet::new().without(guard);
    let started = Instant::now();
    let found = (first..first + seeds).find_map(|seed| match world::explore(seed, guards) {
        Ok(_) | Err(Fault::Stuck { .. } | Fault::Unheld { .. }) => None,
        Err(fault) => Some((seed, fault)),
    });
    match found {
        Some((seed, fault)) => {
            println!("{guard:?}: seed {seed}, {fault:?}, {:?}", started.elapsed())
        }
        None => println!(
            "{guard:?}: nothing in {seeds} seeds, {:?}",
            started.elapsed()
        ),
    }
}
