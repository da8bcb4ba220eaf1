//! The decisions of the request path, free of I/O, clocks and randomness of their own: which class
//! a request belongs to, which endpoint takes it, when it waits, is refused, retried or hedged.

mod admission_rule;
mod class_key;
mod endpoint_score;
mod hold_backoff;
mod latency_estimate;
mod pick_rule;
mod plain_path;
mod request_queue;
mod retry_budget;
mod route_entry;
mod route_table;
mod slot_share;

pub use self::{
    admission_rule::{
        Admission,
        AdmissionRule, //
    },
    class_key::ClassKey,
    endpoint_score::EndpointScore,
    hold_backoff::HoldBackoff,
    latency_estimate::LatencyEstimate,
    pick_rule::{
        PickCandidate,
        PickRule, //
    },
    request_queue::{
        QueueKey,
        QueueOrder,
        RequestQueue, //
    },
    retry_budget::RetryBudget,
    route_entry::RouteEntry,
    route_table::RouteTable,
    slot_share::slot_share, //
};
