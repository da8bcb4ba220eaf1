//! The planner's trace spans.

use opentelemetry::{
    global::{
        self,
        BoxedSpan, //
    },
    trace::Tracer, //
};

/// Name of the tracer.
const TRACER_NAME: &str = "jasminebend";

/// Starts a span, which ends when it is dropped.
pub(crate) fn start_span(name: &'static str) -> BoxedSpan {
    global::tracer(TRACER_NAME).start(name)
}
