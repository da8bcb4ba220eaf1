//! Daemons that share a store: jobs from a caller's request to their last end, through deaths and outages.

mod admission;
mod jobs;
mod members;
mod memory_store;
mod partial_outage;
mod store_silence;
mod take_over;
mod test_fleet;
mod worker_silence;
