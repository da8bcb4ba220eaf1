//! Tests the planner against stand-ins of the platform.

#![expect(
    clippy::unwrap_used,
    reason = "the helpers fail the test where the planner or a stand-in fails"
)]

mod cancellation;
mod counting_workers;
mod crash_at_each_call;
mod crashing_ports;
mod damaged_records;
mod eviction;
mod failing_work;
mod failure_domain;
mod outage;
mod random_faults;
mod submission;
mod takeover;
mod test_bed;
mod worker_faults;
