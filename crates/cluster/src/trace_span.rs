//! Trace spans of the cluster part.

use opentelemetry::{
    global::{
        self,
        BoxedSpan, //
    },
    trace::Tracer, //
};

/// The name of the tracer, which all crates share.
const TRACER: &str = "jasminebend";

/// Starts a span, which ends when it is dropped.
pub(crate) fn start(name: &'static str) -> BoxedSpan {
    global::tracer(TRACER).start(name)
}
