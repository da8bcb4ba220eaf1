//! The cluster part against failures, one file a feature.

#![expect(
    clippy::unwrap_used,
    reason = "a helper of a test that cannot go on ends the test"
)]

mod configuration;
mod harness;
mod link;
mod membership;
mod outages;
