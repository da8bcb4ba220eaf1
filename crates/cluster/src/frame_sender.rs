//! Sends frames to one peer.

use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use futures_util::{
    SinkExt,
    StreamExt, //
};
use tokio::{
    net::TcpStream,
    sync::mpsc,
    time, //
};

use crate::frame_stream::{
    FrameStream,
    greet_receiver, //
};

/// The delay before the first reconnection; it doubles after each failed one.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// The maximum delay before a reconnection.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(1);
/// The time limit for opening a connection, including the greeting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a connection without frames to send is kept. Members send heartbeats continuously, so an
/// idle connection leads to a daemon that is no member any more.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a write of a frame may block, because the peer does not read, before the connection is
/// replaced.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends frames from a channel to a peer, and reconnects whenever the connection ends. Returns when
/// the channel is closed or idle.
pub(crate) async fn send_frames(to: SocketAddr, mut frames: mpsc::Receiver<Bytes>) {
    let mut delay = MIN_RECONNECT_DELAY;
    while let Some(frame) = next_frame(&mut frames).await {
        match time::timeout(CONNECT_TIMEOUT, connect(to)).await {
            Ok(Ok(stream)) => {
                delay = MIN_RECONNECT_DELAY;
                write_frames(stream, frame, &mut frames).await;
            }
            Ok(Err(_)) | Err(_) => drop_queued_frames(&mut frames),
        }
        time::sleep(delay).await;
        delay = MAX_RECONNECT_DELAY.min(delay * 2);
    }
}

/// Returns the next frame to send, or `None` when the channel is closed or idle.
async fn next_frame(frames: &mut mpsc::Receiver<Bytes>) -> Option<Bytes> {
    time::timeout(IDLE_TIMEOUT, frames.recv())
        .await
        .ok()
        .flatten()
}

/// Drops the queued frames after a failed connection: they would be outdated by the time of
/// the next one.
fn drop_queued_frames(frames: &mut mpsc::Receiver<Bytes>) {
    while frames.try_recv().is_ok() {
        metrics::counter!("jasminebend_peer_sends_dropped_total").increment(1);
    }
}

/// Opens a connection and exchanges greetings.
async fn connect(to: SocketAddr) -> io::Result<FrameStream> {
    greet_receiver(TcpStream::connect(to).await?).await
}

/// Writes frames to a connection until it fails, the peer closes it, or there are no more frames.
async fn write_frames(mut stream: FrameStream, first: Bytes, frames: &mut mpsc::Receiver<Bytes>) {
    let mut frame = first;
    loop {
        let sent = time::timeout(WRITE_TIMEOUT, stream.send(frame)).await;
        if !matches!(sent, Ok(Ok(()))) {
            return;
        }
        let next = tokio::select! {
            next = next_frame(frames) => next,
            // A receiver never sends frames, so that any item means that the connection has ended.
            _ = stream.next() => return,
        };
        let Some(next) = next else {
            return;
        };
        frame = next;
    }
}
