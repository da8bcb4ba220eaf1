//! A TCP stream whose traffic a stand-in can drop or replace.

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
enum StreamState {
    /// Bytes pass unchanged.
    #[default]
    Open,
    /// Nothing is read, and written bytes are dropped: the connection is silent.
    Silent,
    /// `bytes` are sent in place of the next response. Then the connection is closed if `close` is set.
    Replacing { bytes: Bytes, close: bool },
    /// The replacement was sent: written bytes are dropped until the next request is read.
    DroppingRest,
}

/// Controls the traffic of one stream. Copies control the same stream.
#[derive(Clone, Debug, Default)]
pub(crate) struct StreamControl(Arc<Mutex<StreamState>>);

impl StreamControl {
    /// Makes the connection silent for the rest of its life.
    pub(crate) fn silence(&self) {
        *self.lock() = StreamState::Silent;
    }

    /// Sends `bytes` in place of the next response, and then closes the connection if `close` is set.
    pub(crate) fn replace_response(&self, bytes: Bytes, close: bool) {
        *self.lock() = StreamState::Replacing { bytes, close };
    }

    pub(crate) fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }

    pub(crate) fn is_silent(&self) -> bool {
        matches!(*self.lock(), StreamState::Silent)
    }

    fn lock(&self) -> MutexGuard<'_, StreamState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A TCP stream whose traffic a [`StreamControl`] controls.
#[derive(Debug)]
pub(crate) struct ControlledStream {
    stream: TcpStream,
    control: StreamControl,
}

impl ControlledStream {
    pub(crate) fn new(stream: TcpStream, control: StreamControl) -> Self {
        Self { stream, control }
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

impl AsyncRead for ControlledStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<(), io::Error>> {
        let this = self.get_mut();
        if this.control.is_silent() {
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(context, buffer))?;
        let mut state = this.control.lock();
        if matches!(*state, StreamState::DroppingRest) && buffer.filled().len() > before {
            *state = StreamState::Open;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ControlledStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<Result<usize, io::Error>> {
        let this = self.get_mut();
        let mut state = this.control.lock();
        match &mut *state {
            StreamState::Open => {
                drop(state);
                Pin::new(&mut this.stream).poll_write(context, buffer)
            }
            StreamState::Silent | StreamState::DroppingRest => Poll::Ready(Ok(buffer.len())),
            StreamState::Replacing { bytes, close } => {
                ready!(Self::poll_replace(&mut this.stream, context, bytes))?;
                if *close {
                    return Poll::Ready(Err(ErrorKind::ConnectionAborted.into()));
                }
                *state = StreamState::DroppingRest;
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
