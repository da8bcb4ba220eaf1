//! The planner against the platform's stand-ins.

#![expect(
    clippy::unwrap_used,
    reason = "the helpers fail the test where the planner or a stand-in fails"
)]

mod cancellation;
mod damaged_records;
mod eviction;
mod failing_work;
mod failure_domain;
mod outage;
mod random_faults;
mod severed_edges;
mod step_kill;
mod submission;
mod take_over;
mod test_bed;
mod watched_workers;
mod worker_faults;
