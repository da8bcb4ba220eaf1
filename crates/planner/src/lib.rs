//! The planner: jobs in, tasks on workers under leases. Each shard that the daemon holds has an
//! actor that commits what it decides to the shard's journal before it does it.

mod call_error;
mod cancel_courier;
mod commit_effect;
mod company_log;
mod flight_count;
mod inbox_entry;
mod job_desk;
mod job_error;
mod job_phase;
mod job_row;
mod job_status;
mod journal_error;
mod journal_head;
mod journal_store;
mod journal_writer;
mod link_phase;
mod planner_edges;
mod planner_handle;
mod planner_settings;
mod record_codec;
mod record_error;
mod row_names;
mod run_phase;
mod shard_actor;
mod shard_ahead;
mod shard_calls;
mod shard_domains;
mod shard_ends;
mod shard_health;
mod shard_inbox;
mod shard_journal;
mod shard_lease_calls;
mod shard_message;
mod shard_permit;
mod shard_phase;
mod shard_plan;
mod shard_reconcile;
mod shard_rows;
mod shard_runs;
mod shard_snapshot;
mod shard_state;
mod shard_supervisor;
mod shard_sweep;
mod shard_usage;
mod shard_vms;
mod shard_workers;
mod stop_wish;
mod submit_check;
mod submit_error;
mod task_names;
mod task_run;
mod trace_span;
mod worker_link;

pub use self::{
    job_error::JobError,
    job_phase::JobPhase,
    job_status::JobStatus,
    journal_error::JournalError,
    planner_edges::PlannerEdges,
    planner_handle::PlannerHandle,
    planner_settings::PlannerSettings,
    record_error::RecordError,
    submit_error::SubmitError, //
};
pub use jasminebend_placement::{
    HoldReason,
    JobId,
    JobSpec,
    WaitReason, //
};
