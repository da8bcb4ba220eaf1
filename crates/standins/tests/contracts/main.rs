//! The contract of each port, run against each adapter.

#![expect(
    clippy::unwrap_used,
    reason = "a test's helpers panic as the test does"
)]

mod clock;
mod endpoint;
mod harness;
mod objects;
mod table;
mod token;
mod vm_list;
mod worker;
