//! The metrics of the request path; docs/REQUESTS.md tells what each means.

use jasminebend_base::ClassName;
use metrics::{
    Counter,
    Histogram,
    counter,
    histogram, //
};

/// Connections to endpoints that were found silent, by service.
pub(crate) const SILENT_CONNECTIONS_METRIC: &str = "jasminebend_gateway_silent_connections_total";
/// Requests that the gateway answered itself, by class and reason.
pub(crate) const REFUSALS_METRIC: &str = "jasminebend_gateway_refusals_total";
/// Callers' connections that are open.
pub(crate) const CALLERS_METRIC: &str = "jasminebend_gateway_callers";
/// Slots that serve, by service.
pub(crate) const SERVING_SLOTS_METRIC: &str = "jasminebend_gateway_serving_slots";
/// Slots whose last request's fate is not known, by service.
pub(crate) const UNKNOWN_SLOTS_METRIC: &str = "jasminebend_gateway_unknown_slots";
/// Requests that wait for a slot, by service.
pub(crate) const WAITING_REQUESTS_METRIC: &str = "jasminebend_gateway_waiting_requests";

/// A class's metrics, looked up once.
#[derive(Clone)]
pub(crate) struct ClassMetrics {
    /// Requests.
    pub(crate) requests: Counter,
    /// Requests answered within the class's target.
    pub(crate) within_target: Counter,
    /// Further attempts after one that failed.
    pub(crate) retries: Counter,
    /// Further attempts beside one that is slow.
    pub(crate) hedges: Counter,
    /// Requests handed to another daemon.
    pub(crate) forwards: Counter,
    /// From a request's arrival to its answer's head, in seconds.
    pub(crate) seconds: Histogram,
    /// Waiting for a slot, in seconds.
    pub(crate) queue_seconds: Histogram,
}

impl ClassMetrics {
    /// Looks up a class's metrics.
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
