//! The body of an answer on its way to a caller.

use std::{
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use bytes::Bytes;
use http::Response;
use http_body::{
    Body,
    Frame,
    SizeHint, //
};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::{
    runtime::Handle,
    time::{
        Sleep,
        sleep, //
    },
};

use crate::{
    body_fault::BodyFault,
    endpoint_connection::EndpointConnection,
    exchange::EndpointAnswer,
    exchange_end::{
        AnswerVerdict,
        ExchangeEnd, //
    },
    gateway_settings::GatewaySettings,
    pending_exchange::drain,
    slot_lease::SlotLease,
};

/// The body of an answer on its way to a caller. If it is cut it ends in an error, which makes
/// hyper abort the caller's connection, so that a part is never taken for the whole.
pub(crate) enum AnswerBody {
    /// There in whole.
    Whole(Full<Bytes>),
    /// Passed on as the endpoint sends it.
    Streamed(Box<StreamedAnswer>),
}

/// An answer that is passed on as the endpoint sends it.
pub(crate) struct StreamedAnswer {
    incoming: Option<Incoming>,
    slot: Option<AnswerSlot>,
    stall: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    end: Pin<Box<Sleep>>,
}

struct AnswerSlot {
    lease: SlotLease,
    connection: EndpointConnection,
    latency: Duration,
    verdict: AnswerVerdict,
}

impl AnswerBody {
    /// Creates a body that is there in whole.
    pub(crate) fn whole(bytes: Bytes) -> Self {
        Self::Whole(Full::new(bytes))
    }

    /// Passes an endpoint's answer on; the slot is given back when its body has come in whole.
    pub(crate) fn pass_on(answer: EndpointAnswer, verdict: AnswerVerdict) -> Response<Self> {
        let settings = &answer.lease.pool().settings;
        let stall = settings.body_stall;
        let longest = settings.longest_request.saturating_sub(answer.latency);
        let (head, incoming) = answer.response.into_parts();
        let slot = AnswerSlot {
            lease: answer.lease,
            connection: answer.connection,
            latency: answer.latency,
            verdict,
        };
        if incoming.is_end_stream() {
            slot.release();
            return Response::from_parts(head, Self::Whole(Full::default()));
        }
        let streamed = StreamedAnswer {
            incoming: Some(incoming),
            slot: Some(slot),
            stall,
            timer: None,
            end: Box::pin(sleep(longest)),
        };
        Response::from_parts(head, Self::Streamed(Box::new(streamed)))
    }
}

impl AnswerBody {
    /// Passes another daemon's answer on.
    pub(crate) fn from_peer(
        answer: Response<Incoming>,
        settings: &GatewaySettings,
    ) -> Response<Self> {
        answer.map(|incoming| match incoming.is_end_stream() {
            true => Self::Whole(Full::default()),
            false => Self::Streamed(Box::new(StreamedAnswer {
                incoming: Some(incoming),
                slot: None,
                stall: settings.body_stall,
                timer: None,
                end: Box::pin(sleep(settings.longest_request)),
            })),
        })
    }
}

impl AnswerSlot {
    fn release(mut self) {
        self.connection.last_heard = self.lease.pool().clock.monotonic();
        let closes = self.verdict == AnswerVerdict::Closing;
        let connection = Some(self.connection).filter(|own| own.is_open() && !closes);
        self.lease.end(ExchangeEnd::Answered {
            latency: self.latency,
            verdict: self.verdict,
            connection,
        });
    }
}

impl StreamedAnswer {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        let Some(incoming) = self.incoming.as_mut() else {
            return Poll::Ready(None);
        };
        match Pin::new(incoming).poll_frame(context) {
            Poll::Pending => self.poll_timers(context),
            Poll::Ready(Some(Err(_))) => self.cut(BodyFault::CutShort),
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(frame))) => {
                self.timer = None;
                if self.incoming.as_ref().is_some_and(Body::is_end_stream) {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }

    fn poll_timers(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        let stall = self.stall;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(stall)));
        if timer.as_mut().poll(context).is_ready() {
            return self.cut(BodyFault::Stalled);
        }
        if self.end.as_mut().poll(context).is_ready() {
            return self.cut(BodyFault::TooLong);
        }
        Poll::Pending
    }

    fn cut(&mut self, fault: BodyFault) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        self.incoming = None;
        // The endpoint may still be working: dropping the lease keeps the slot empty.
        self.slot = None;
        Poll::Ready(Some(Err(fault)))
    }

    fn finish(&mut self) {
        self.incoming = None;
        if let Some(slot) = self.slot.take() {
            slot.release();
        }
    }
}

impl Drop for StreamedAnswer {
    fn drop(&mut self) {
        // The caller left: the endpoint works on, and its slot is free when its answer is over.
        let (Some(incoming), Some(slot)) = (self.incoming.take(), self.slot.take()) else {
            return;
        };
        if let Ok(handle) = Handle::try_current() {
            let connection = Some(slot.connection);
            let response = Response::new(incoming);
            handle.spawn(drain(response, slot.lease, connection, slot.latency));
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyFault;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        match self.get_mut() {
            Self::Whole(body) => {
                let frame = Pin::new(body).poll_frame(context);
                frame.map_err(|never| match never {})
            }
            Self::Streamed(answer) => answer.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Streamed(answer) => answer.incoming.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Streamed(answer) => answer
                .incoming
                .as_ref()
                .map_or_else(|| SizeHint::with_exact(0), Body::size_hint),
        }
    }
}
