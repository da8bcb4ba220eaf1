//! A caller's connection as bytes.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use metrics::counter;
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
    time::{
        Sleep,
        sleep, //
    },
};

use crate::{
    class_metrics::REFUSALS_METRIC,
    gateway_settings::GatewaySettings,
    head_error::HeadError,
    request_head_scanner::RequestHeadScanner, //
};

/// A caller's connection as bytes. A caller that takes nothing of its answer for too long is cut
/// off: it would otherwise hold an endpoint's slot and the answer's memory for as long as it likes.
///
/// A head that does not come to its end is cut off likewise: the idle time of a connection between
/// requests is long, and must not be what a caller can take over each request's head.
pub(crate) struct CallerStream {
    stream: TcpStream,
    stall_timeout: Duration,
    write_timer: Option<Pin<Box<Sleep>>>,
    head_timeout: Duration,
    head_timer: Option<Pin<Box<Sleep>>>,
    head_scanner: RequestHeadScanner,
    ambiguous_length: Arc<AtomicBool>,
}

impl CallerStream {
    /// Wraps a connection.
    pub(crate) fn new(stream: TcpStream, settings: &GatewaySettings) -> Self {
        Self {
            stream,
            stall_timeout: settings.body_stall_timeout,
            write_timer: None,
            head_timeout: settings.head_timeout,
            head_timer: None,
            head_scanner: RequestHeadScanner::new(settings.max_head_bytes),
            ambiguous_length: Arc::default(),
        }
    }

    /// Returns what tells whether a request with two lengths came.
    pub(crate) fn ambiguous_length(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.ambiguous_length)
    }

    fn record_read(&mut self, bytes: &[u8]) {
        self.head_scanner.scan(bytes);
        if self.head_scanner.has_ambiguous_length() {
            self.ambiguous_length.store(true, Ordering::Relaxed);
        }
        if !self.head_scanner.is_within_head() {
            self.head_timer = None;
        }
    }

    /// Answers a first head that cannot be taken, and returns what ends the connection.
    ///
    /// hyper would answer it without saying that nothing was run. Nothing has been sent on this
    /// connection, so that the answer cannot get before another, and fits the socket's buffer.
    fn refuse_head(&self, error: HeadError) -> io::Error {
        counter!(REFUSALS_METRIC, "reason" => error.reason()).increment(1);
        // A caller that is gone gets no answer.
        self.stream.try_write(error.response_bytes()).ok();
        io::ErrorKind::InvalidData.into()
    }

    fn poll_head_timer(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.head_scanner.is_within_head() {
            return Poll::Pending;
        }
        let limit = self.head_timeout;
        let write_timer = self
            .head_timer
            .get_or_insert_with(|| Box::pin(sleep(limit)));
        match write_timer.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }

    fn enforce_write_timeout<Value>(
        &mut self,
        context: &mut Context<'_>,
        outcome: Poll<io::Result<Value>>,
    ) -> Poll<io::Result<Value>> {
        if outcome.is_ready() {
            self.write_timer = None;
            return outcome;
        }
        let stall_timeout = self.stall_timeout;
        let write_timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep(stall_timeout)));
        match write_timer.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Ready(Ok(())) => {
                self.record_read(&buffer.filled()[filled_before..]);
                match self.head_scanner.first_head_error() {
                    Some(error) => Poll::Ready(Err(self.refuse_head(error))),
                    None => Poll::Ready(Ok(())),
                }
            }
            Poll::Pending => self.poll_head_timer(context),
            failed => failed,
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.enforce_write_timeout(context, outcome)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.enforce_write_timeout(context, outcome)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
