//! The cluster part against failures, one file a feature.

#![expect(clippy::unwrap_used, reason = "a test that cannot go on has failed")]
#![expect(dead_code, reason = "the harness is ahead of its tests")]

mod harness;
mod link;
mod membership;
