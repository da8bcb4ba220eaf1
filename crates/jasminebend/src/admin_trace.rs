//! The span of an operator's change.

use http::HeaderMap;
use opentelemetry::{
    Context,
    global,
    trace::{
        SpanKind,
        TraceContextExt,
        Tracer, //
    }, //
};
use opentelemetry_http::HeaderExtractor;

const TRACER: &str = "jasminebend";
const CHANGE: &str = "administration.change";

/// Begins the span of a change below the operator's own, if the request names one; it ends with the
/// last copy of the context.
pub(crate) fn change_context(headers: &HeaderMap) -> Context {
    let extractor = HeaderExtractor(headers);
    let parent = global::get_text_map_propagator(|propagator| propagator.extract(&extractor));
    let tracer = global::tracer(TRACER);
    let span = tracer
        .span_builder(CHANGE)
        .with_kind(SpanKind::Server)
        .start_with_context(&tracer, &parent);
    parent.with_span(span)
}
