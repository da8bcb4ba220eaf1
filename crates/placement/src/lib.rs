//! Where tasks go, and the durable state machine of jobs. Nothing here does I/O, reads a clock or
//! draws a random number of its own: the same inputs give the same decisions.

mod checkpoint_name;
mod class_book;
mod class_key;
mod domain_gate;
mod hold_reason;
mod job_id;
mod job_id_error;
mod job_ledger;
mod job_record;
mod job_spec;
mod job_transition;
mod ladder_action;
mod ladder_reading;
mod latest_start;
mod learned_state;
mod ledger_error;
mod load_ladder;
mod load_track;
mod pair_model;
mod place_search;
mod placement_policy;
mod pool_worker;
mod ratio_sketch;
mod ready_queue;
mod room_index;
mod service_reading;
mod service_regression;
mod shard_hash;
mod size_model;
mod task_demand;
mod task_end;
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
    class_book::ClassBook,
    class_key::ClassKey,
    hold_reason::HoldReason,
    job_id::JobId,
    job_id_error::JobIdError,
    job_ledger::JobLedger,
    job_record::JobRecord,
    job_spec::JobSpec,
    job_transition::JobTransition,
    ladder_action::LadderAction,
    ladder_reading::LadderReading,
    latest_start::LatestStart,
    learned_state::LearnedState,
    ledger_error::LedgerError,
    load_ladder::LoadLadder,
    pair_model::PairModel,
    placement_policy::PlacementPolicy,
    pool_worker::PoolWorker,
    ready_queue::ReadyQueue,
    service_reading::ServiceReading,
    shard_hash::{
        shard_of_job,
        shard_of_rack, //
    },
    size_model::SizeModel,
    task_demand::TaskDemand,
    task_end::TaskEnd,
    task_id::TaskId,
    task_record::TaskRecord,
    task_state::TaskState,
    wait_reason::WaitReason,
    worker_condition::WorkerCondition,
    worker_key::WorkerKey,
    worker_pool::WorkerPool, //
};
