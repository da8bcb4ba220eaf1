//! [`ClassMetrics`] and the names of the other metrics of the request path; docs/REQUESTS.md
//! describes each.

use jasminebend_base::ClassName;
use metrics::{
    Counter,
    Histogram,
    counter,
    histogram, //
};

/// Connections to endpoints that were found silent, by service.
pub(crate) const SILENT_CONNECTIONS_METRIC: &str = "jasminebend_gateway_silent_connections_total";
/// Requests to which the gateway itself responded, by reason.
pub(crate) const REFUSALS_METRIC: &str = "jasminebend_gateway_refusals_total";
/// Open connections of callers.
pub(crate) const CALLERS_METRIC: &str = "jasminebend_gateway_callers";
/// Slots that are held, usable and not of unknown outcome, by service.
pub(crate) const SERVING_SLOTS_METRIC: &str = "jasminebend_gateway_serving_slots";
/// Slots whose last request has an unknown outcome, by service.
pub(crate) const UNKNOWN_SLOTS_METRIC: &str = "jasminebend_gateway_unknown_slots";
/// Requests that may be sent although their large bodies are incomplete, by service.
pub(crate) const INCOMPLETE_BODIES_METRIC: &str = "jasminebend_gateway_incomplete_bodies";
/// Requests that wait for a slot, by service.
pub(crate) const WAITING_REQUESTS_METRIC: &str = "jasminebend_gateway_waiting_requests";

/// The metrics of a class. The handles are looked up once.
#[derive(Clone)]
pub(crate) struct ClassMetrics {
    /// Requests that arrived.
    pub(crate) requests: Counter,
    /// Requests answered within the target of the class.
    pub(crate) within_target: Counter,
    /// Retries after an attempt that failed.
    pub(crate) retries: Counter,
    /// Hedged attempts, in parallel to one that is slow.
    pub(crate) hedges: Counter,
    /// Requests forwarded to another daemon.
    pub(crate) forwards: Counter,
    /// The time from the arrival of a request to the head of its response, in seconds.
    pub(crate) seconds: Histogram,
    /// The time spent waiting for a slot, in seconds.
    pub(crate) queue_seconds: Histogram,
}

impl ClassMetrics {
    /// Looks up the metrics of a class.
    pub(crate) fn new(class: &ClassName) -> Self {
        let class = class.to_string();
        Self {
            requests: counter!("jasminebend_gateway_requests_total", "class" => class.clone()),
            within_target: counter!(
                "jasminebend_gateway_within_target_total", "class" => class.clone()
            ),
            retries: counter!("jasminebend_gateway_retries_total", "class" => class.clone()),
            hedges: counter!("jasminebend_gateway_hedges_total", "class" => class.clone()),
            forwards: counter!("jasminebend_gateway_forwards_total", "class" => class.clone()),
            seconds: histogram!("jasminebend_gateway_seconds", "class" => class.clone()),
            queue_seconds: histogram!("jasminebend_gateway_queue_seconds", "class" => class),
        }
    }
}
