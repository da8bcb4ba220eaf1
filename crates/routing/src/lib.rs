//! Routing decisions of the request path: to which class a request belongs, which endpoint serves
//! it, and when it is queued, refused, retried or hedged.
//!
//! This crate does no I/O and reads no clock: callers pass the current time and the random number
//! generator.

mod admission_control;
mod endpoint_backoff;
mod endpoint_score;
mod latency_estimate;
mod load_balancing_policy;
mod normalize_path;
mod request_queue;
mod retry_budget;
mod route_entry;
mod route_key;
mod route_table;
mod slot_share;

pub use self::{
    admission_control::{
        AdmissionControl,
        AdmissionDecision, //
    },
    endpoint_backoff::EndpointBackoff,
    endpoint_score::EndpointScore,
    latency_estimate::LatencyEstimate,
    load_balancing_policy::{
        CandidateScores,
        LoadBalancingPolicy, //
    },
    request_queue::{
        QueueKey,
        QueueOrder,
        RequestQueue, //
    },
    retry_budget::RetryBudget,
    route_entry::RouteEntry,
    route_key::RouteKey,
    route_table::RouteTable,
    slot_share::slot_share, //
};
