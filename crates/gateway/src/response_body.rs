//! [`ResponseBody`]: the body of a response that is sent to a caller.

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
    body_error::BodyError,
    endpoint_connection::EndpointConnection,
    exchange::EndpointResponse,
    exchange_outcome::{
        ExchangeOutcome, //
        ResponseVerdict,
    },
    gateway_settings::GatewaySettings,
    pending_exchange::drain_response,
    slot_lease::SlotLease,
};

/// The body of a response that is sent to a caller. If it is aborted it ends in an error, which
/// makes hyper abort the connection of the caller, so that a part is never taken for the complete
/// body.
pub(crate) enum ResponseBody {
    /// Complete in memory.
    Buffered(Full<Bytes>),
    /// Forwarded as the endpoint or the peer sends it.
    Streamed(Box<StreamedResponse>),
}

/// A response that is forwarded as the endpoint or the peer sends it.
pub(crate) struct StreamedResponse {
    incoming: Option<Incoming>,
    /// The slot, or `None` for the response of a peer or once it is released.
    slot: Option<ResponseSlot>,
    stall_timeout: Duration,
    /// Expires after `stall_timeout` without a frame; `None` after each frame.
    stall_timer: Option<Pin<Box<Sleep>>>,
    /// Expires when the longest request is over.
    deadline_timer: Pin<Box<Sleep>>,
}

/// The slot that a response occupies until its body is complete.
struct ResponseSlot {
    lease: SlotLease,
    connection: EndpointConnection,
    latency: Duration,
    verdict: ResponseVerdict,
}

impl ResponseBody {
    /// Creates a body from its complete bytes.
    pub(crate) fn buffered(bytes: Bytes) -> Self {
        Self::Buffered(Full::new(bytes))
    }

    /// Forwards the response of an endpoint. The slot is released once the complete body has
    /// arrived.
    pub(crate) fn from_endpoint(
        endpoint_response: EndpointResponse,
        verdict: ResponseVerdict,
    ) -> Response<Self> {
        let settings = &endpoint_response.lease.pool().settings;
        let stall_timeout = settings.body_stall_timeout;
        let remaining_time = settings
            .longest_request
            .saturating_sub(endpoint_response.latency);
        let (head, incoming) = endpoint_response.response.into_parts();
        let slot = ResponseSlot {
            lease: endpoint_response.lease,
            connection: endpoint_response.connection,
            latency: endpoint_response.latency,
            verdict,
        };
        if incoming.is_end_stream() {
            slot.release();
            return Response::from_parts(head, Self::Buffered(Full::default()));
        }
        let streamed = StreamedResponse {
            incoming: Some(incoming),
            slot: Some(slot),
            stall_timeout,
            stall_timer: None,
            deadline_timer: Box::pin(sleep(remaining_time)),
        };
        Response::from_parts(head, Self::Streamed(Box::new(streamed)))
    }
}

impl ResponseBody {
    /// Forwards the response of another daemon.
    pub(crate) fn from_peer(
        peer_response: Response<Incoming>,
        settings: &GatewaySettings,
    ) -> Response<Self> {
        peer_response.map(|incoming| match incoming.is_end_stream() {
            true => Self::Buffered(Full::default()),
            false => Self::Streamed(Box::new(StreamedResponse {
                incoming: Some(incoming),
                slot: None,
                stall_timeout: settings.body_stall_timeout,
                stall_timer: None,
                deadline_timer: Box::pin(sleep(settings.longest_request)),
            })),
        })
    }
}

impl ResponseSlot {
    fn release(mut self) {
        self.connection.last_received_at = self.lease.pool().clock.monotonic();
        let closes = self.verdict == ResponseVerdict::Closing;
        let connection = Some(self.connection).filter(|connection| connection.is_open() && !closes);
        self.lease.release(ExchangeOutcome::Answered {
            latency: self.latency,
            verdict: self.verdict,
            connection,
        });
    }
}

impl StreamedResponse {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Some(incoming) = self.incoming.as_mut() else {
            return Poll::Ready(None);
        };
        match Pin::new(incoming).poll_frame(context) {
            Poll::Pending => self.poll_timers(context),
            Poll::Ready(Some(Err(_))) => self.abort_body(BodyError::CutShort),
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(frame))) => {
                self.stall_timer = None;
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
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let stall_timeout = self.stall_timeout;
        let stall_timer = self
            .stall_timer
            .get_or_insert_with(|| Box::pin(sleep(stall_timeout)));
        if stall_timer.as_mut().poll(context).is_ready() {
            return self.abort_body(BodyError::Stalled);
        }
        if self.deadline_timer.as_mut().poll(context).is_ready() {
            return self.abort_body(BodyError::TooLong);
        }
        Poll::Pending
    }

    fn abort_body(&mut self, error: BodyError) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.incoming = None;
        // The endpoint may still be working: dropping the lease keeps the slot out of use.
        self.slot = None;
        Poll::Ready(Some(Err(error)))
    }

    fn finish(&mut self) {
        self.incoming = None;
        if let Some(slot) = self.slot.take() {
            slot.release();
        }
    }
}

impl Drop for StreamedResponse {
    fn drop(&mut self) {
        // The caller disconnected: the endpoint works on, and its slot is free only once the
        // response is complete.
        let (Some(incoming), Some(slot)) = (self.incoming.take(), self.slot.take()) else {
            return;
        };
        if let Ok(handle) = Handle::try_current() {
            let connection = Some(slot.connection);
            let response = Response::new(incoming);
            handle.spawn(drain_response(
                response,
                slot.lease,
                connection,
                slot.latency,
            ));
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Buffered(body) => {
                let frame = Pin::new(body).poll_frame(context);
                frame.map_err(|never| match never {})
            }
            Self::Streamed(streamed) => streamed.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Streamed(streamed) => streamed.incoming.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streamed(streamed) => streamed
                .incoming
                .as_ref()
                .map_or_else(|| SizeHint::with_exact(0), Body::size_hint),
        }
    }
}
