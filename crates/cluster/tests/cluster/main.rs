//! The cluster part against failures, one file a feature.

mod harness;
mod membership;
mod peer_link;
