//! Tests of placement decisions and of the job ledger, one file for each part.

#![expect(
    clippy::unwrap_used,
    reason = "a helper that cannot build its case fails the test"
)]

mod interference_model;
mod job_ledger;
mod overload_controller;
mod placement_policy;
mod ready_queue_and_shards;
mod resource_usage_model;
