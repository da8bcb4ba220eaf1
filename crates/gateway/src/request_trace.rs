//! The spans of a request: one for each hop.

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

/// The spans of a request: `gateway.request` from its arrival to its answer's head, and below it
/// `gateway.queue` and one `gateway.attempt` for each time that it is sent.
pub(crate) struct RequestTrace {
    tracer: BoxedTracer,
    span: BoxedSpan,
}

impl RequestTrace {
    /// Begins a request's trace, below the caller's if it sent one (W3C Trace Context).
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

    /// Begins the span of the wait for a slot.
    pub(crate) fn start_queue_span(&self) -> BoxedSpan {
        self.child_span("gateway.queue", SpanKind::Internal)
    }

    /// Begins the span of an attempt, and has the endpoint's own spans stand below it.
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

    /// Ends the request's span.
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

/// Reads `traceparent`; one that is malformed counts as none.
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
