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
/// How long a peer may leave a frame unread before its connection is replaced.
const WRITE: Duration = Duration::from_secs(2);

/// Sends frames to a peer, over a new connection after each that ended, until the channel is closed.
pub(crate) async fn send_frames(to: SocketAddr, mut frames: mpsc::Receiver<Bytes>) {
    let mut pause = RECONNECT_MIN;
    loop {
        if let Ok(Ok(stream)) = time::timeout(CONNECT, connect(to)).await {
            pause = RECONNECT_MIN;
            if pass_on(stream, &mut frames).await {
                return;
            }
        }
        time::sleep(pause).await;
        pause = RECONNECT_MAX.min(pause * 2);
    }
}

async fn connect(to: SocketAddr) -> io::Result<FrameStream> {
    greet_receiver(TcpStream::connect(to).await?).await
}

/// Passes frames on while the connection holds; tells whether the channel was closed.
async fn pass_on(mut stream: FrameStream, frames: &mut mpsc::Receiver<Bytes>) -> bool {
    loop {
        let frame = tokio::select! {
            frame = frames.recv() => frame,
            // A receiver sends nothing: the connection has ended.
            _ = stream.next() => return false,
        };
        let Some(frame) = frame else {
            return true;
        };
        let sent = time::timeout(WRITE, stream.send(frame)).await;
        if !matches!(sent, Ok(Ok(()))) {
            return false;
        }
    }
}
