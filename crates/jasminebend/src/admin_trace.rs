//! Trace spans of operators' changes.

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

const TRACER_NAME: &str = "jasminebend";
const CHANGE_SPAN_NAME: &str = "administration.change";

/// Starts the span of a change, as a child of the span that the request's `traceparent` names, if any.
///
/// The span ends when the last clone of the returned context is dropped.
pub(crate) fn change_context(headers: &HeaderMap) -> Context {
    let extractor = HeaderExtractor(headers);
    let parent = global::get_text_map_propagator(|propagator| propagator.extract(&extractor));
    let tracer = global::tracer(TRACER_NAME);
    let span = tracer
        .span_builder(CHANGE_SPAN_NAME)
        .with_kind(SpanKind::Server)
        .start_with_context(&tracer, &parent);
    parent.with_span(span)
}
