//! Task placement and the durable state machine of jobs. This crate does no I/O, reads no clock and
//! draws no random numbers: the same inputs always give the same decisions.

mod checkpoint_name;
mod class_key;
mod class_registry;
mod domain_admission;
mod free_capacity_index;
mod hold_reason;
mod interference_model;
mod job_id;
mod job_id_error;
mod job_ledger;
mod job_record;
mod job_spec;
mod job_transition;
mod latency_regression;
mod latest_start;
mod learned_state;
mod ledger_error;
mod load_tracker;
mod overload_action;
mod overload_controller;
mod overload_reading;
mod placement_policy;
mod placement_search;
mod pool_worker;
mod ratio_sketch;
mod ready_queue;
mod resource_usage_model;
mod run_outcome;
mod service_measurement;
mod shard_hash;
mod task_demand;
mod task_id;
mod task_record;
mod task_state;
mod wait_reason;
mod worker_condition;
mod worker_key;
mod worker_pool;

use crate::ratio_sketch::RatioSketch;

pub use self::{
    checkpoint_name::CheckpointName,
    class_key::ClassKey,
    class_registry::ClassRegistry,
    hold_reason::HoldReason,
    interference_model::InterferenceModel,
    job_id::JobId,
    job_id_error::JobIdError,
    job_ledger::JobLedger,
    job_record::JobRecord,
    job_spec::JobSpec,
    job_transition::JobTransition,
    latest_start::LatestStart,
    learned_state::LearnedState,
    ledger_error::LedgerError,
    overload_action::OverloadAction,
    overload_controller::OverloadController,
    overload_reading::OverloadReading,
    placement_policy::PlacementPolicy,
    pool_worker::PoolWorker,
    ready_queue::ReadyQueue,
    resource_usage_model::ResourceUsageModel,
    run_outcome::RunOutcome,
    service_measurement::ServiceMeasurement,
    shard_hash::{
        shard_of_job,
        shard_of_rack, //
    },
    task_demand::TaskDemand,
    task_id::TaskId,
    task_record::TaskRecord,
    task_state::TaskState,
    wait_reason::WaitReason,
    worker_condition::WorkerCondition,
    worker_key::WorkerKey,
    worker_pool::WorkerPool, //
};
