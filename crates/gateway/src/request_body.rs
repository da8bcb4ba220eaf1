//! The body of a request on its way to an endpoint.

use std::{
    pin::Pin,
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
use tokio::time::{
    Instant,
    Sleep,
    sleep, //
};

use crate::body_fault::BodyFault;

/// The body of a request on its way to an endpoint.
pub(crate) enum RequestBody {
    /// Taken in whole beforehand; can be sent again.
    Whole(Full<Bytes>),
    /// Passed on as it comes; can be sent once.
    Streamed(Box<StreamedBody>),
}

/// A body that is passed on as it comes.
pub(crate) struct StreamedBody {
    incoming: Incoming,
    left: u64,
    stall: Duration,
    timer: Pin<Box<Sleep>>,
}

impl RequestBody {
    /// Creates a body that is there in whole.
    pub(crate) fn whole(bytes: Bytes) -> Self {
        Self::Whole(Full::new(bytes))
    }

    /// Creates a body that is passed on, `most` bytes of it, and that may stand still for `stall`.
    pub(crate) fn streamed(incoming: Incoming, most: u64, stall: Duration) -> Self {
        Self::Streamed(Box::new(StreamedBody {
            incoming,
            left: most,
            stall,
            timer: Box::pin(sleep(stall)),
        }))
    }
}

impl StreamedBody {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        let Poll::Ready(next) = Pin::new(&mut self.incoming).poll_frame(context) else {
            ready!(self.timer.as_mut().poll(context));
            return Poll::Ready(Some(Err(BodyFault::Stalled)));
        };
        self.timer.as_mut().reset(Instant::now() + self.stall);
        match next {
            None => Poll::Ready(None),
            Some(Err(_)) => Poll::Ready(Some(Err(BodyFault::CutShort))),
            Some(Ok(frame)) => Poll::Ready(Some(self.count(frame))),
        }
    }

    fn count(&mut self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, BodyFault> {
        let size = frame.data_ref().map_or(0, Bytes::len);
        // CAST: a `usize` of these machines fits a `u64`.
        match self.left.checked_sub(size as u64) {
            Some(left) => {
                self.left = left;
                Ok(frame)
            }
            None => Err(BodyFault::TooLarge),
        }
    }
}

impl Body for RequestBody {
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
            Self::Streamed(body) => body.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Streamed(body) => body.incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Streamed(body) => body.incoming.size_hint(),
        }
    }
}
