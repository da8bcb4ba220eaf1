//! The contract of each port, run against each adapter.

#![expect(
    clippy::unwrap_used,
    reason = "a test's helpers panic as the test does"
)]

mod harness;
mod table;
