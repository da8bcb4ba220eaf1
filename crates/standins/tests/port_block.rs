//! Addresses for the processes and daemons of tests.

use std::{
    collections::HashSet,
    net::{
        SocketAddr,
        TcpListener, //
    },
    process::Command,
    sync::atomic::{
        AtomicBool,
        Ordering, //
    },
    thread, //
};

use jasminebend_standins::PortBlock;

/// More than the daemons of a test binary use.
const ADDRESS_COUNT: usize = 20_000;
/// The threads that spawn processes beside a test, and the ranges of ports that it takes meanwhile.
const SPAWNING_THREADS: usize = 8;
const RANGE_COUNT: usize = 2000;

/// Guards against a daemon that listens where another test, which runs beside it, expects that connections are refused.
#[test]
fn addresses_of_a_block_do_not_repeat() {
    let block = PortBlock::new().expect("a block is free");
    let addresses = (0..ADDRESS_COUNT).map(|_| block.address().expect("an address is free"));
    let addresses: HashSet<_> = addresses.collect();
    assert_eq!(addresses.len(), ADDRESS_COUNT);
}

/// Guards against a daemon that can't listen since another one has the same port: its ports were given out, and nothing listened
/// on them yet.
#[test]
fn addresses_and_ranges_of_a_block_are_apart() {
    let block = PortBlock::new().expect("a block is free");
    let address = block.address().expect("an address is free");
    let range = block.range(4).expect("a range is free");
    let mut in_range = range.map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    assert!(!in_range.any(|other| other == address));
}

/// Guards against a daemon that can't listen on its port, of which a process that another test spawns at that moment has a copy.
#[test]
fn ports_of_a_block_are_not_held_by_spawned_processes() {
    let block = PortBlock::new().expect("a block is free");
    let is_over = AtomicBool::new(false);
    let taken = thread::scope(|scope| {
        for _ in 0..SPAWNING_THREADS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    Command::new("true")
                        .status()
                        .expect("a process can be spawned");
                }
            });
        }
        let ranges = (0..RANGE_COUNT).map(|_| block.range(4).expect("a range is free"));
        let bind = |port| TcpListener::bind(("127.0.0.1", port));
        let taken = ranges.flatten().filter(|&port| bind(port).is_err()).count();
        is_over.store(true, Ordering::Relaxed);
        taken
    });
    assert_eq!(taken, 0);
}
