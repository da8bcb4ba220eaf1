//! The cluster part against failures, one file a feature.

mod harness;
mod link;
mod membership;
