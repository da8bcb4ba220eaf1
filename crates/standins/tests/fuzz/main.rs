//! Fuzz tests with fixed seeds. Malformed input from other processes must never cause a panic, must be rejected with an
//! error, and must change no state.

#![expect(
    clippy::unwrap_used,
    reason = "a test's helpers panic as the test does"
)]

mod adapters;
mod configuration;
mod mutation;
mod servers;
