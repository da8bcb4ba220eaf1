//! The planner accepts jobs and places their tasks on workers under leases. Each shard that the
//! daemon owns has an actor, which commits every decision to the shard's journal before it acts on
//! it.

mod cancellation_batcher;
mod colocation_history;
mod commit_effect;
mod in_flight_calls;
mod inbox_entry;
mod job_api;
mod job_error;
mod job_phase;
mod job_row;
mod job_status;
mod journal_error;
mod journal_head;
mod journal_store;
mod journal_writer;
mod link_phase;
mod planner_handle;
mod planner_ports;
mod planner_settings;
mod record_codec;
mod record_error;
mod row_keys;
mod run_phase;
mod shard_actor;
mod shard_calls;
mod shard_completions;
mod shard_domains;
mod shard_health;
mod shard_inbox;
mod shard_job_rows;
mod shard_journal;
mod shard_lease_calls;
mod shard_message;
mod shard_permit;
mod shard_phase;
mod shard_plan;
mod shard_precommit;
mod shard_reconcile;
mod shard_runs;
mod shard_snapshot;
mod shard_state;
mod shard_supervisor;
mod shard_sweep;
mod shard_usage;
mod shard_vms;
mod shard_workers;
mod stop_request;
mod submit_check;
mod submit_error;
mod task_attempts;
mod task_run;
mod trace_span;
mod worker_call_error;
mod worker_link;

pub use self::{
    job_error::JobError,
    job_phase::JobPhase,
    job_status::JobStatus,
    journal_error::JournalError,
    planner_handle::PlannerHandle,
    planner_ports::PlannerPorts,
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
