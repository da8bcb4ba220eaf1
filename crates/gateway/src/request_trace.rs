//! The trace spans of a request, one for each hop.

use http::{
    HeaderMap,
    HeaderName,
    HeaderValue, //
};
use opentelemetry::{
    Context, KeyValue, SpanId, TraceFlags, TraceId,
    global::{
        self,
        BoxedSpan,
        BoxedTracer, //
    },
    trace::{
        Span,
        SpanContext,
        SpanKind,
        TraceContextExt,
        TraceState,
        Tracer, //
    },
};

const TRACER_NAME: &str = "jasminebend";
const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// The trace spans of a request: `gateway.request` from its arrival to the head of its response,
/// and as its children `gateway.queue` and one `gateway.attempt` for each time that the request is
/// sent.
pub(crate) struct RequestTrace {
    tracer: BoxedTracer,
    span: BoxedSpan,
}

impl RequestTrace {
    /// Starts the span of a request, as a child of the span of the caller if it sent one (W3C Trace
    /// Context).
    pub(crate) fn start(headers: &HeaderMap, class: &str) -> Self {
        let tracer = global::tracer(TRACER_NAME);
        let parent = match parent_context(headers) {
            Some(parent) => Context::new().with_remote_span_context(parent),
            None => Context::new(),
        };
        let span = tracer
            .span_builder("gateway.request")
            .with_kind(SpanKind::Server)
            .with_attributes([KeyValue::new("class", class.to_owned())])
            .start_with_context(&tracer, &parent);
        Self { tracer, span }
    }

    /// Starts the span of the wait for a slot.
    pub(crate) fn start_queue_span(&self) -> BoxedSpan {
        self.child_span("gateway.queue", SpanKind::Internal)
    }

    /// Starts the span of an attempt, and sets `traceparent` so that the spans of the endpoint
    /// become its children.
    pub(crate) fn start_attempt_span(
        &self,
        endpoint: String,
        headers: &mut HeaderMap,
    ) -> BoxedSpan {
        let mut span = self.child_span("gateway.attempt", SpanKind::Client);
        span.set_attribute(KeyValue::new("endpoint", endpoint));
        let context = span.span_context();
        if context.is_valid() {
            let text = format!(
                "00-{}-{}-{:02x}",
                context.trace_id(),
                context.span_id(),
                context.trace_flags().to_u8()
            );
            if let Ok(value) = HeaderValue::try_from(text) {
                headers.insert(TRACEPARENT, value);
            }
        }
        span
    }

    /// Ends the span of the request with the status of its response.
    pub(crate) fn end(mut self, status: u16) {
        let status = i64::from(status);
        self.span
            .set_attribute(KeyValue::new("http.response.status_code", status));
        self.span.end();
    }

    fn child_span(&self, name: &'static str, kind: SpanKind) -> BoxedSpan {
        let own_context = self.span.span_context().clone();
        let parent = Context::new().with_remote_span_context(own_context);
        self.tracer
            .span_builder(name)
            .with_kind(kind)
            .start_with_context(&self.tracer, &parent)
    }
}

/// Parses `traceparent`; a malformed one is ignored.
fn parent_context(headers: &HeaderMap) -> Option<SpanContext> {
    let text = headers.get(TRACEPARENT)?.to_str().ok()?;
    let mut parts = text.split('-');
    let (version, trace, span, flags) =
        (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
    if version.len() != 2 || version == "ff" || trace.len() != 32 || span.len() != 16 {
        return None;
    }
    let trace = TraceId::from_hex(trace).ok()?;
    let span = SpanId::from_hex(span).ok()?;
    let flags = TraceFlags::new(u8::from_str_radix(flags, 16).ok()?);
    let context = SpanContext::new(trace, span, flags, true, TraceState::default());
    Some(context).filter(SpanContext::is_valid)
}
