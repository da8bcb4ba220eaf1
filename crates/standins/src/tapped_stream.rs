//! A connection whose bytes a stand-in can hold back or replace.

use std::{
    io::{
        self,
        ErrorKind, //
    },
    pin::Pin,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    task::{
        Context,
        Poll,
        ready, //
    }, //
};

use bytes::{
    Buf,
    Bytes, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream, //
};

#[derive(Debug, Default)]
enum TapState {
    /// Bytes pass.
    #[default]
    Open,
    /// Nothing is read, and what is written is dropped: the connection went silent.
    Silent,
    /// These bytes go out in place of what is written next.
    Replacing { bytes: Bytes, close: bool },
    /// What is written is dropped until the next bytes are read.
    Replaced,
}

/// The handle of a connection's tap.
#[derive(Clone, Debug, Default)]
pub(crate) struct StreamTap(Arc<Mutex<TapState>>);

impl StreamTap {
    /// Lets the connection go silent for good.
    pub(crate) fn silence(&self) {
        *self.lock() = TapState::Silent;
    }

    /// Sends these bytes in place of the next answer, and then closes the connection or not.
    pub(crate) fn replace(&self, bytes: Bytes, close: bool) {
        *self.lock() = TapState::Replacing { bytes, close };
    }

    pub(crate) fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }

    pub(crate) fn is_silent(&self) -> bool {
        matches!(*self.lock(), TapState::Silent)
    }

    fn lock(&self) -> MutexGuard<'_, TapState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection with a tap.
#[derive(Debug)]
pub(crate) struct TappedStream {
    stream: TcpStream,
    tap: StreamTap,
}

impl TappedStream {
    pub(crate) fn new(stream: TcpStream, tap: StreamTap) -> Self {
        Self { stream, tap }
    }

    fn poll_replace(
        stream: &mut TcpStream,
        context: &mut Context<'_>,
        bytes: &mut Bytes,
    ) -> Poll<Result<(), io::Error>> {
        while bytes.has_remaining() {
            let written = ready!(Pin::new(&mut *stream).poll_write(context, bytes))?;
            bytes.advance(written);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for TappedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<(), io::Error>> {
        let this = self.get_mut();
        if this.tap.is_silent() {
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(context, buffer))?;
        let mut state = this.tap.lock();
        if matches!(*state, TapState::Replaced) && buffer.filled().len() > before {
            *state = TapState::Open;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TappedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<Result<usize, io::Error>> {
        let this = self.get_mut();
        let mut state = this.tap.lock();
        match &mut *state {
            TapState::Open => {
                drop(state);
                Pin::new(&mut this.stream).poll_write(context, buffer)
            }
            TapState::Silent | TapState::Replaced => Poll::Ready(Ok(buffer.len())),
            TapState::Replacing { bytes, close } => {
                ready!(Self::poll_replace(&mut this.stream, context, bytes))?;
                if *close {
                    return Poll::Ready(Err(ErrorKind::ConnectionAborted.into()));
                }
                *state = TapState::Replaced;
                Poll::Ready(Ok(buffer.len()))
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<(), io::Error>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), io::Error>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
