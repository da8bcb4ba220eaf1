//! The decisions, one file a feature.

#![expect(
    clippy::unwrap_used,
    reason = "a helper that cannot build its case fails the test"
)]

mod choice;
mod ledger;
mod load_ladder;
mod pair_model;
mod size_model;
mod waiting;
