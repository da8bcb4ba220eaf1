//! The cluster part against failures, one file a feature.

#![expect(
    clippy::unwrap_used,
<<<<<<< HEAD
    reason = "The helpers of tests unwrap as their tests do."
=======
    reason = "a helper of a test that cannot go on ends the test"
>>>>>>> main
)]

mod configuration;
mod frames;
mod harness;
mod link;
mod membership;
mod outages;
mod peer_link;
