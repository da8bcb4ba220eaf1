//! A caller's connection as bytes.

use std::{
    io,
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

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

/// A caller's connection as bytes. A caller that takes nothing of its answer for too long is cut
/// off: it would otherwise hold an endpoint's slot and the answer's memory for as long as it likes.
pub(crate) struct CallerStream {
    stream: TcpStream,
    stall: Duration,
    timer: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    /// Wraps a connection whose writes may stand still for `stall`.
    pub(crate) fn new(stream: TcpStream, stall: Duration) -> Self {
        Self {
            stream,
            stall,
            timer: None,
        }
    }

    fn watch<Value>(
        &mut self,
        context: &mut Context<'_>,
        outcome: Poll<io::Result<Value>>,
    ) -> Poll<io::Result<Value>> {
        if outcome.is_ready() {
            self.timer = None;
            return outcome;
        }
        let stall = self.stall;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(stall)));
        match timer.as_mut().poll(context) {
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
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.watch(context, outcome)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.watch(context, outcome)
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
