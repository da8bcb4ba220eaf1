//! The contract of each port, run against each adapter.

mod harness;
mod table;
