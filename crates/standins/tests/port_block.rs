//! Addresses for the processes and daemons of tests.

use std::collections::HashSet;

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
