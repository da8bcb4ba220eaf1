//! In-process replacements ("stand-ins") of the platform's services, of endpoints and of workers, with
//! fault injection. Tests use them, and so does `jasminebend demo` when it runs without a real platform.

mod call_counts;
mod call_kind;
mod controlled_stream;
mod ended_runs;
mod endpoint_answer;
mod endpoint_fault;
mod endpoint_ledger;
mod endpoint_plan;
mod endpoint_server;
mod endpoint_settings;
mod endpoint_stand_in;
mod fault_kind;
mod fault_plan;
mod fixed_ownership;
mod http_server;
mod interference_model;
mod ledger_summary;
mod manual_clock;
mod object_stand_in;
mod port_block;
mod run_ledger;
mod run_record;
mod run_set;
mod server_guard;
mod service_time;
mod shared_worker;
mod simulated_worker;
mod stream_controls;
mod table_rows;
mod table_stand_in;
mod task_payload;
mod usage_queue;
mod vm_list_history;
mod vm_list_stand_in;
mod wire_response;
mod worker_fleet;
mod worker_lease;
mod worker_run;
mod worker_settings;
mod worker_stand_in;
mod worker_state;

pub use self::{
    call_counts::CallCounts,
    call_kind::CallKind,
    endpoint_answer::{
        AnswerFault,
        EndpointAnswer, //
    },
    endpoint_fault::EndpointFault,
    endpoint_ledger::{
        EndpointCounts,
        EndpointLedger, //
    },
    endpoint_settings::EndpointSettings,
    endpoint_stand_in::EndpointStandIn,
    fault_kind::FaultKind,
    fault_plan::{
        FaultPlan,
        OutageState, //
    },
    fixed_ownership::FixedOwnership,
    interference_model::InterferenceModel,
    ledger_summary::LedgerSummary,
    manual_clock::ManualClock,
    object_stand_in::ObjectStandIn,
    port_block::PortBlock,
    run_ledger::{
        ReservedPeak,
        RunLedger, //
    },
    run_record::{
        RunEnd,
        RunRecord, //
    },
    server_guard::ServerGuard,
    service_time::ServiceTime,
    simulated_worker::{
        CrashRule,
        SimulatedWorker,
        TaskWork,
        WorkerEvent, //
    },
    table_stand_in::TableStandIn,
    task_payload::TaskPayload,
    vm_list_stand_in::VmListStandIn,
    worker_fleet::{
        FleetShape,
        WorkerFleet, //
    },
    worker_settings::{
        CheckpointMode,
        WorkerSettings, //
    },
    worker_stand_in::WorkerStandIn, //
};
