//! [`RequestBody`]: the body of a request that is sent to an endpoint.

use std::{
    pin::Pin,
    sync::Arc,
    task::{
        Context,
        Poll,
        ready, //
    },
    time::Duration,
};

use bytes::Bytes;
use http_body::{
    Body,
    Frame,
    SizeHint, //
};
use http_body_util::Full;
use hyper::body::Incoming;
use jasminebend_ingress::Connection;
use tokio::time::{
    Instant,
    Sleep,
    sleep, //
};

use crate::{
    body_error::BodyError,
    stream_limit::StreamPermit, //
};

/// The body of a request that is sent to an endpoint.
pub(crate) enum RequestBody {
    /// Read completely in advance; can be sent again.
    Buffered(Full<Bytes>),
    /// Forwarded as it arrives; can be sent only once.
    Streamed(Box<StreamedBody>),
}

/// A body that is forwarded as it arrives.
pub(crate) struct StreamedBody {
    /// What has arrived of it before.
    start: Option<Bytes>,
    incoming: Incoming,
    connection: Arc<Connection>,
    permit: Option<StreamPermit>,
    is_complete: bool,
    remaining_bytes: u64,
    stall_timeout: Duration,
    stall_timer: Pin<Box<Sleep>>,
}

impl RequestBody {
    /// Creates a body from its complete bytes.
    pub(crate) fn buffered(bytes: Bytes) -> Self {
        Self::Buffered(Full::new(bytes))
    }

    /// Returns the permit to forward the body while it is incomplete, if it needs one.
    pub(crate) fn stream_permit(&self) -> Option<&StreamPermit> {
        match self {
            Self::Buffered(_) => None,
            Self::Streamed(body) => body.permit.as_ref(),
        }
    }
}

impl From<StreamedBody> for RequestBody {
    fn from(body: StreamedBody) -> Self {
        Self::Streamed(Box::new(body))
    }
}

impl StreamedBody {
    /// Creates a body of at most `max_bytes` bytes. It fails beyond them, and if nothing arrives for
    /// `stall_timeout`.
    pub(crate) fn new(
        incoming: Incoming,
        connection: &Arc<Connection>,
        max_bytes: u64,
        stall_timeout: Duration,
    ) -> Self {
        Self {
            start: None,
            incoming,
            connection: Arc::clone(connection),
            permit: None,
            is_complete: false,
            remaining_bytes: max_bytes,
            stall_timeout,
            stall_timer: Box::pin(sleep(stall_timeout)),
        }
    }

    /// Sets what has arrived of the body before.
    pub(crate) fn with_start(mut self, start: Bytes) -> Self {
        self.start = Some(start);
        self
    }

    /// Sets the permit to forward the body while it is incomplete.
    pub(crate) fn set_permit(&mut self, permit: StreamPermit) {
        self.permit = Some(permit);
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(start) = self.start.take() {
            return Poll::Ready(Some(self.check_size(Frame::data(start))));
        }
        let Poll::Ready(next) = Pin::new(&mut self.incoming).poll_frame(context) else {
            ready!(self.stall_timer.as_mut().poll(context));
            return Poll::Ready(Some(Err(BodyError::Stalled)));
        };
        self.stall_timer
            .as_mut()
            .reset(Instant::now() + self.stall_timeout);
        let has_ended = match &next {
            None => true,
            Some(Ok(_)) => self.incoming.is_end_stream(),
            Some(Err(_)) => false,
        };
        if has_ended && !self.complete() {
            return Poll::Ready(Some(Err(BodyError::CutShort)));
        }
        match next {
            None => Poll::Ready(None),
            Some(Err(_)) => Poll::Ready(Some(Err(BodyError::CutShort))),
            Some(Ok(frame)) => Poll::Ready(Some(self.check_size(frame))),
        }
    }

    /// Records that the body has arrived; returns false if its connection closes for others.
    fn complete(&mut self) -> bool {
        if self.is_complete {
            return true;
        }
        self.is_complete = self.connection.complete_request().is_ok();
        if let Some(permit) = &self.permit {
            permit.release();
        }
        self.is_complete
    }

    /// Fails once the body exceeds its size limit.
    fn check_size(&mut self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, BodyError> {
        let size = frame.data_ref().map_or(0, Bytes::len);
        // CAST: a `usize` of the supported targets fits a `u64`.
        match self.remaining_bytes.checked_sub(size as u64) {
            Some(remaining_bytes) => {
                self.remaining_bytes = remaining_bytes;
                Ok(frame)
            }
            None => Err(BodyError::TooLarge),
        }
    }
}

impl Body for RequestBody {
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
            Self::Streamed(body) => body.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Streamed(body) => body.start.is_none() && body.incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streamed(body) if body.start.is_some() => SizeHint::new(),
            Self::Streamed(body) => body.incoming.size_hint(),
        }
    }
}
