//! Addresses for the processes and daemons of tests.

use std::{
    collections::HashSet,
    net::SocketAddr, //
};

use jasminebend_standins::PortBlock;

/// More than the daemons of a test binary use.
const ADDRESS_COUNT: usize = 20_000;

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
