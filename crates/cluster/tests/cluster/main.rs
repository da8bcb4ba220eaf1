//! The cluster part against failures, one file a feature.

#![expect(
    clippy::unwrap_used,
    reason = "The helpers of tests unwrap as their tests do."
)]

mod configuration;
mod frames;
mod harness;
mod link;
mod membership;
mod memory_net;
mod outages;
mod peer_link;
