//! [`CallerStream`]: the connection of a caller as a byte stream with timeouts.

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

/// The connection of a caller as a byte stream with timeouts. A caller that reads nothing of its
/// response for too long is disconnected: otherwise it would occupy a slot of an endpoint and the
/// memory of the response for as long as it likes. A caller that does not complete the head of a
/// request is disconnected as well: the idle timeout between requests is long, and must not apply
/// to a head in progress.
pub(crate) struct CallerStream {
    stream: TcpStream,
    /// How long a write may be pending.
    stall_timeout: Duration,
    write_timer: Option<Pin<Box<Sleep>>>,
    /// How long the head of a request may take to arrive.
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

    /// Returns a flag that is set once a request whose body length is ambiguous arrives.
    pub(crate) fn ambiguous_length(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.ambiguous_length)
    }

    /// Passes the bytes read to the head scanner.
    fn record_read(&mut self, bytes: &[u8]) {
        self.head_scanner.scan(bytes);
        if self.head_scanner.has_ambiguous_length() {
            self.ambiguous_length.store(true, Ordering::Relaxed);
        }
        if !self.head_scanner.is_within_head() {
            self.head_timer = None;
        }
    }

    /// Responds to a first head that cannot be processed, and returns the error that closes the
    /// connection.
    ///
    /// The response of hyper would not state that the request was not run. Nothing was sent on this
    /// connection yet, so that this response cannot overtake another one and fits the buffer of the
    /// socket.
    fn refuse_head(&self, error: HeadError) -> io::Error {
        counter!(REFUSALS_METRIC, "reason" => error.reason()).increment(1);
        // Best effort: a caller that disconnected receives no response.
        self.stream.try_write(error.response_bytes()).ok();
        io::ErrorKind::InvalidData.into()
    }

    /// Fails once a head that has begun to arrive takes longer than `head_timeout`.
    fn poll_head_timer(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.head_scanner.is_within_head() {
            return Poll::Pending;
        }
        let limit = self.head_timeout;
        let head_timer = self
            .head_timer
            .get_or_insert_with(|| Box::pin(sleep(limit)));
        match head_timer.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }

    /// Fails once a write has been pending for longer than `stall_timeout`.
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
