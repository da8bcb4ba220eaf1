//! Types that all crates of jasminebend share: names, resource ids, epochs, the configuration and
//! the records of the VM list.
//!
//! Nothing in this crate performs I/O, reads a clock or generates random numbers.

mod change_outcome;
mod class_kind;
mod class_name;
mod class_target;
mod configuration;
mod configuration_error;
mod configuration_version;
mod domain_name;
mod domain_state;
mod endpoint_record;
mod failure_domain;
mod idempotency_rule;
mod name_newtype;
mod number_newtype;
mod owner_epoch;
mod resource_amount;
mod resource_id;
mod route_rule;
mod seat_number;
mod service_class;
mod service_name;
mod team_name;
mod team_quota;
mod vm_name;
mod vm_record;
mod vm_snapshot;
mod vm_state;
mod worker_record;

pub use self::{
    change_outcome::ChangeOutcome,
    class_kind::ClassKind,
    class_name::ClassName,
    class_target::ClassTarget,
    configuration::Configuration,
    configuration_error::ConfigurationError,
    configuration_version::ConfigurationVersion,
    domain_name::DomainName,
    domain_state::DomainState,
    endpoint_record::EndpointRecord,
    failure_domain::FailureDomain,
    idempotency_rule::IdempotencyRule,
    owner_epoch::OwnerEpoch,
    resource_amount::ResourceAmount,
    resource_id::ResourceId,
    route_rule::RouteRule,
    seat_number::SeatNumber,
    service_class::ServiceClass,
    service_name::ServiceName,
    team_name::TeamName,
    team_quota::TeamQuota,
    vm_name::VmName,
    vm_record::VmRecord,
    vm_snapshot::VmSnapshot,
    vm_state::VmState,
    worker_record::WorkerRecord, //
};
