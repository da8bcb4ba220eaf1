//! The ports of a daemon: one trait for each external dependency (table service, object store, VM
//! list, workers, clock), and the adapters that implement them.
//!
//! A port is narrow, so that support for another implementation is one small adapter.

mod access_token;
mod answer_format;
mod call_error;
mod checkpoint_id;
mod clock_source;
mod commit_outcome;
mod epoch_adoption;
mod http_client;
mod http_object_store;
mod http_table_service;
mod http_vm_list;
mod http_worker_transport;
mod lease_renewal;
mod object_error;
mod object_key;
mod object_store;
mod optional_row_value;
mod ownership_view;
mod resource_user;
mod row_change;
mod row_expectation;
mod row_key;
mod row_value;
mod row_version;
mod run_completion;
mod suspension_meter;
mod system_clock;
mod table_error;
mod table_request;
mod table_row;
mod table_service;
mod task_attempt;
mod task_order;
mod task_usage;
mod vm_list;
mod vm_list_error;
mod worker_answer;
mod worker_error;
mod worker_inventory;
mod worker_port;
mod worker_report;
mod worker_request;
mod worker_task;
mod worker_transport;
mod write_id;

pub use self::{
    access_token::AccessToken,
    answer_format::AnswerFormat,
    checkpoint_id::CheckpointId,
    clock_source::ClockSource,
    commit_outcome::CommitOutcome,
    epoch_adoption::EpochAdoption,
    http_object_store::HttpObjectStore,
    http_table_service::HttpTableService,
    http_vm_list::HttpVmList,
    http_worker_transport::HttpWorkerTransport,
    lease_renewal::LeaseRenewal,
    object_error::ObjectError,
    object_key::ObjectKey,
    object_store::ObjectStore,
    ownership_view::OwnershipView,
    resource_user::ResourceUser,
    row_change::RowChange,
    row_expectation::RowExpectation,
    row_key::RowKey,
    row_version::RowVersion,
    run_completion::RunCompletion,
    suspension_meter::SuspensionMeter,
    system_clock::SystemClock,
    table_error::TableError,
    table_request::TableRequest,
    table_row::TableRow,
    table_service::TableService,
    task_attempt::TaskAttempt,
    task_order::TaskOrder,
    task_usage::TaskUsage,
    vm_list::VmList,
    vm_list_error::VmListError,
    worker_answer::WorkerAnswer,
    worker_error::WorkerError,
    worker_inventory::WorkerInventory,
    worker_port::WorkerPort,
    worker_report::WorkerReport,
    worker_request::WorkerRequest,
    worker_task::WorkerTask,
    worker_transport::WorkerTransport,
    write_id::WriteId, //
};
