//! Scheduler for jobs made of steps: decides which task runs on which worker and when, which orders
//! each worker receives, and what must be on record before it is acknowledged.
//!
//! Nothing here does I/O, reads a clock or draws a random number: the same sequence of calls yields
//! the same orders.

mod admission;
mod advice_wish;
mod commit_tracker;
mod decaying_sum;
mod decision_note;
mod dispatch_settings;
mod dispatcher;
mod dispatcher_admission;
mod dispatcher_advice;
mod dispatcher_completions;
mod dispatcher_maintenance;
mod dispatcher_plan;
mod dispatcher_pools;
mod dispatcher_records;
mod dispatcher_reservations;
mod dispatcher_runs;
mod dispatcher_starvation;
mod dispatcher_throttling;
mod dispatcher_workers;
mod fleet_configuration;
mod fleet_worker;
mod graph_error;
mod hold_report;
mod interference_model;
mod job_graph;
mod job_key;
mod job_outcome;
mod job_schedule;
mod job_state;
mod learned_record;
mod load_estimate;
mod order_window;
mod placement_score;
mod policy_part;
mod pool_demand;
mod pool_rule;
mod pool_use;
mod progress_record;
mod queue_rule;
mod run_end;
mod run_number;
mod run_state;
mod service_snapshot;
mod short_demand;
mod step_rank;
mod step_spec;
mod task_key;
mod unplaceable_demands;
mod wait_note;
mod worker_clock;
mod worker_health;
mod worker_key;
mod worker_order;
mod worker_state;

pub use self::{
    admission::{
        Admission,
        CpuShortage, //
    },
    advice_wish::AdviceWish,
    decision_note::DecisionNote,
    dispatch_settings::DispatchSettings,
    dispatcher::{
        AcceptedJob,
        Dispatcher, //
    },
    dispatcher_plan::PlanOutcome,
    fleet_configuration::FleetConfiguration,
    fleet_worker::FleetWorker,
    graph_error::GraphError,
    hold_report::{
        EndedRun,
        HoldReport,
        RunningTask, //
    },
    job_graph::JobGraph,
    job_key::{
        JobKey,
        JobKeyError, //
    },
    job_outcome::{
        JobOutcome,
        JobProgress, //
    },
    job_schedule::JobSchedule,
    learned_record::{
        LearnedEffect,
        LearnedRecord,
        LearnedService, //
    },
    policy_part::{
        PolicyPart,
        PolicySwitches,
        UnknownPart, //
    },
    pool_rule::PoolRule,
    pool_use::{
        PoolUse,
        WorkShare, //
    },
    progress_record::{
        ProgressRecord,
        StepProgress, //
    },
    queue_rule::{
        AdviceRule,
        QueueRule, //
    },
    run_end::RunEnd,
    run_number::RunNumber,
    step_spec::{
        StepSpec,
        WorkKind, //
    },
    task_key::{
        StepKey,
        TaskKey,
        TaskKeyError, //
    },
    wait_note::{
        RejectionCounts,
        WaitNote, //
    },
    worker_clock::WorkerClock,
    worker_key::WorkerKey,
    worker_order::{
        HoldOrder,
        OrderEnd,
        OrderRefusal,
        StartOrder,
        WorkerOrder, //
    }, //
};
