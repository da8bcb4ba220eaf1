//! Scheduler for jobs made of steps: decides which task runs on which worker and when, which orders
//! each worker receives, and what must be on record before it is acknowledged.
//!
//! Nothing here does I/O, reads a clock or draws a random number: the same sequence of calls yields
//! the same orders.

mod admission;
mod advice_history;
mod advice_request;
mod commit_tracker;
mod crash_evidence;
mod crash_finding;
mod crash_history;
mod decaying_sum;
mod dispatch_settings;
mod dispatcher;
mod dispatcher_admission;
mod dispatcher_advice;
mod dispatcher_announcements;
mod dispatcher_completions;
mod dispatcher_crashes;
mod dispatcher_gangs;
mod dispatcher_maintenance;
mod dispatcher_placement;
mod dispatcher_plan;
mod dispatcher_pools;
mod dispatcher_records;
mod dispatcher_reservations;
mod dispatcher_runs;
mod dispatcher_starvation;
mod dispatcher_throttling;
mod dispatcher_waits;
mod dispatcher_workers;
mod earlier_run;
mod filler_eviction;
mod fleet_configuration;
mod fleet_worker;
mod graph_error;
mod held_end;
mod inherited_start;
mod interference_model;
mod job_failure;
mod job_graph;
mod job_key;
mod job_outcome;
mod job_schedule;
mod job_state;
mod learned_record;
mod load_estimate;
mod order_window;
mod overdue_stop;
mod placement_score;
mod policy_part;
mod pool_demand;
mod pool_rule;
mod pool_usage;
mod progress_record;
mod queue_rule;
mod renewal_report;
mod restart_mark;
mod run_loss;
mod run_number;
mod run_result;
mod run_state;
mod service_snapshot;
mod short_demand;
mod start_announcement;
mod step_rank;
mod step_spec;
mod step_wait;
mod surplus_run;
mod task_key;
mod unknown_end;
mod unplaceable_demands;
mod unreadable_job;
mod unsettled_crash;
mod worker_clock;
mod worker_crash;
mod worker_health;
mod worker_key;
mod worker_order;
mod worker_state;

pub use self::{
    admission::{
        Admission,
        CpuShortage, //
    },
    advice_request::AdviceRequest,
    crash_evidence::CrashEvidence,
    crash_finding::{
        CrashFinding,
        CrashVerdict, //
    },
    dispatch_settings::DispatchSettings,
    dispatcher::{
        AcceptedJob,
        Dispatcher, //
    },
    dispatcher_plan::PlanOutcome,
    earlier_run::EarlierRun,
    filler_eviction::FillerEviction,
    fleet_configuration::FleetConfiguration,
    fleet_worker::FleetWorker,
    graph_error::GraphError,
    job_failure::JobFailure,
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
    overdue_stop::{
        OverdueStop,
        StopDelay, //
    },
    policy_part::{
        PolicyPart,
        PolicySwitches,
        UnknownPolicyPart, //
    },
    pool_rule::PoolRule,
    pool_usage::{
        CpuUsage,
        PoolUsage, //
    },
    progress_record::{
        ProgressRecord,
        StepProgress,
        TaskCrashes, //
    },
    queue_rule::{
        AdviceRule,
        QueueRule, //
    },
    renewal_report::{
        EndedRun,
        RenewalReport,
        RunningTask, //
    },
    restart_mark::RestartMark,
    run_loss::{
        LossCause,
        RunLoss, //
    },
    run_number::RunNumber,
    run_result::RunResult,
    step_spec::{
        StepSpec,
        WorkKind, //
    },
    step_wait::{
        RejectionCounts,
        StepWait,
        WaitCause, //
    },
    surplus_run::{
        SurplusCause,
        SurplusRun, //
    },
    task_key::{
        StepKey,
        TaskKey,
        TaskKeyError, //
    },
    unknown_end::{
        UnknownEnd,
        UnknownEndOutcome, //
    },
    worker_clock::WorkerClock,
    worker_crash::WorkerCrash,
    worker_key::WorkerKey,
    worker_order::{
        LeaseRenewal,
        OrderOutcome,
        OrderRefusal,
        StartOrder,
        WorkerOrder, //
    }, //
};
