//! Stand-ins for the platform, the endpoints and the workers. They serve the tests and the embedded
//! default of `jasminebend demo`.

mod call_counts;
mod call_kind;
mod fault_kind;
mod fault_plan;
mod fixed_ownership;
mod http_server;
mod manual_clock;
mod server_guard;
mod table_core;
mod table_stand_in;
mod wire_answer;

pub use self::{
    call_counts::CallCounts,
    call_kind::CallKind,
    fault_kind::FaultKind,
    fault_plan::{
        FaultPlan,
        OutageState, //
    },
    fixed_ownership::FixedOwnership,
    manual_clock::ManualClock,
    server_guard::ServerGuard,
    table_stand_in::TableStandIn, //
};
