//! The cluster part against failures, one file a feature.

mod configuration;
mod harness;
mod membership;
mod outages;
