//! Receives frames from all peers.

use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::mpsc,
    task::JoinSet,
    time, //
};

use crate::frame_stream::greet_sender;

/// The maximum number of open connections; further ones are closed immediately.
const MAX_CONNECTIONS: usize = 1024;
/// How long a connection may be silent before it is closed: a peer that lost power does not
/// close its connections.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(60);
/// The delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Receives frames from all peers. When it is dropped, the listener closes before the channel: once
/// the channel has ended, the address refuses connections.
pub(crate) struct FrameReceiver {
    // Fields are dropped in this order.
    listener: TcpListener,
    connections: JoinSet<()>,
    frames: mpsc::Sender<Bytes>,
}

impl FrameReceiver {
    /// Creates a receiver that accepts connections from `listener` and queues received frames to
    /// `frames`.
    pub(crate) fn new(listener: TcpListener, frames: mpsc::Sender<Bytes>) -> Self {
        Self {
            listener,
            connections: JoinSet::new(),
            frames,
        }
    }

    /// Accepts connections until the future is dropped.
    pub(crate) async fn run(mut self) {
        loop {
            while self.connections.try_join_next().is_some() {}
            let Ok((stream, _)) = self.listener.accept().await else {
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if self.connections.len() < MAX_CONNECTIONS {
                let frames = self.frames.clone();
                self.connections.spawn(receive_frames(stream, frames));
            }
        }
    }
}

/// Queues every frame that is received on a connection, until the connection ends, carries an invalid
/// frame, or is silent for too long. Frames that find the queue full are dropped and counted.
async fn receive_frames(stream: TcpStream, frames: mpsc::Sender<Bytes>) {
    let Ok(Ok(mut stream)) = time::timeout(RECEIVE_TIMEOUT, greet_sender(stream)).await else {
        return;
    };
    while let Ok(Some(Ok(frame))) = time::timeout(RECEIVE_TIMEOUT, stream.next()).await {
        if frames.try_send(frame.freeze()).is_err() {
            metrics::counter!("jasminebend_peer_frames_dropped_total").increment(1);
        }
    }
}
