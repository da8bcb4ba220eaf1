//! Stand-ins for the platform, the endpoints and the workers. They serve the tests and the embedded
//! default of `jasminebend demo`.

mod call_counts;
mod call_kind;
mod ended_runs;
mod endpoint_answer;
mod endpoint_fault;
mod endpoint_knobs;
mod endpoint_ledger;
mod endpoint_plan;
mod endpoint_server;
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
mod step_worker;
mod table_core;
mod table_stand_in;
mod tap_set;
mod tapped_stream;
mod task_payload;
mod usage_lag;
mod vm_list_core;
mod vm_list_stand_in;
mod wire_answer;
mod worker_cell;
mod worker_core;
mod worker_fleet;
mod worker_knobs;
mod worker_lease;
mod worker_run;
mod worker_stand_in;

pub use self::{
    call_counts::CallCounts,
    call_kind::CallKind,
    endpoint_answer::{
        AnswerFault,
        EndpointAnswer, //
    },
    endpoint_fault::EndpointFault,
    endpoint_knobs::EndpointKnobs,
    endpoint_ledger::{
        EndpointCounts,
        EndpointLedger, //
    },
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
    step_worker::{
        StepWorker,
        TaskWork,
        WorkerDeed, //
    },
    table_stand_in::TableStandIn,
    task_payload::TaskPayload,
    vm_list_stand_in::VmListStandIn,
    worker_fleet::{
        FleetShape,
        WorkerFleet, //
    },
    worker_knobs::{
        CheckpointMode,
        WorkerKnobs, //
    },
    worker_stand_in::WorkerStandIn, //
};
