//! The trace spans of what the daemons share.

use opentelemetry::{
    global::{
        self,
        BoxedSpan, //
    },
    trace::Tracer, //
};

const TRACER: &str = "jasminebend";

/// Begins a span, which ends when it is dropped.
pub(crate) fn begin(name: &'static str) -> BoxedSpan {
    global::tracer(TRACER).start(name)
}
