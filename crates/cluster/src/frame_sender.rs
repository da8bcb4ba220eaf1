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

const RECONNECT_MIN: Duration = Duration::from_millis(100);
const RECONNECT_MAX: Duration = Duration::from_secs(1);
/// How long a connection may take, with its greeting.
const CONNECT: Duration = Duration::from_secs(1);
/// How long a connection is kept that nothing is sent on: members send heartbeats all the time.
const IDLE: Duration = Duration::from_secs(30);
/// How long a peer may leave a frame unread before its connection is replaced.
const WRITE: Duration = Duration::from_secs(2);

/// Sends frames to a peer, over a new connection after each that ended, until the channel is closed or brings nothing for
/// a while.
pub(crate) async fn send_frames(to: SocketAddr, mut frames: mpsc::Receiver<Bytes>) {
    let mut pause = RECONNECT_MIN;
    while let Some(frame) = next_frame(&mut frames).await {
        match time::timeout(CONNECT, connect(to)).await {
            Ok(Ok(stream)) => {
                pause = RECONNECT_MIN;
                pass_on(stream, frame, &mut frames).await;
            }
            Ok(Err(_)) | Err(_) => discard(&mut frames),
        }
        time::sleep(pause).await;
        pause = RECONNECT_MAX.min(pause * 2);
    }
}

async fn next_frame(frames: &mut mpsc::Receiver<Bytes>) -> Option<Bytes> {
    time::timeout(IDLE, frames.recv()).await.ok().flatten()
}

/// Drops frames that waited for a connection in vain: once there is one they would be out of date.
fn discard(frames: &mut mpsc::Receiver<Bytes>) {
    while frames.try_recv().is_ok() {
        metrics::counter!("jasminebend_peer_sends_dropped_total").increment(1);
    }
}

async fn connect(to: SocketAddr) -> io::Result<FrameStream> {
    greet_receiver(TcpStream::connect(to).await?).await
}

/// Passes frames on while the connection holds and there are any.
async fn pass_on(mut stream: FrameStream, first: Bytes, frames: &mut mpsc::Receiver<Bytes>) {
    let mut frame = first;
    loop {
        let sent = time::timeout(WRITE, stream.send(frame)).await;
        if !matches!(sent, Ok(Ok(()))) {
            return;
        }
        let next = tokio::select! {
            next = next_frame(frames) => next,
            // A receiver sends nothing: the connection has ended.
            _ = stream.next() => return,
        };
        let Some(next) = next else {
            return;
        };
        frame = next;
    }
}
