//! Tests of whole daemons that share a store, through crashes and outages: jobs from a caller's request to the
//! completion of their last task.

mod admission;
mod crashing_tasks;
mod ended_jobs;
mod fencing_tokens;
mod jobs;
mod jobs_read_again;
mod large_jobs;
mod late_writes;
mod log_lines;
mod members;
mod memory_store;
mod narrow_link;
mod partial_outage;
mod random_troubles;
mod replacements;
mod restarted_workers;
mod store_silence;
mod suspended_owner;
mod takeover;
mod test_fleet;
mod unreadable_records;
mod waves;
mod worker_records;
mod worker_silence;
