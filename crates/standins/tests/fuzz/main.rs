//! Arbitrary input from outside, with fixed seeds: it never panics, is refused clearly, and changes
//! nothing.

#![expect(
    clippy::unwrap_used,
    reason = "a test's helpers panic as the test does"
)]

mod adapters;
mod configuration;
mod mutation;
mod servers;
