//! [`AnswerBody`]: the body of a response, until it is sent.

use std::{
    pin::Pin,
    sync::Arc,
    task::{
        Context,
        Poll, //
    }, //
};

use bytes::Bytes;
use http_body::{
    Body,
    Frame,
    SizeHint, //
};
use jasminebend_ingress::Connection;

use crate::response_body::ResponseBody;

/// The body of a response. Its request ends when it is dropped: until then the connection is not closed for others.
pub(crate) struct AnswerBody {
    body: ResponseBody,
    connection: Arc<Connection>,
}

impl AnswerBody {
    pub(crate) fn new(body: ResponseBody, connection: Arc<Connection>) -> Self {
        Self { body, connection }
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.connection.end_request();
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = <ResponseBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
