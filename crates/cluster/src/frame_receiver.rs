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

/// How many connections are open at most; further ones are ended at once.
const MOST_CONNECTIONS: usize = 1024;
/// How long a connection may bring nothing. A peer that lost power ends none.
const LONGEST_SILENCE: Duration = Duration::from_secs(60);
/// How long to wait after the system had no connection to give, as without free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Receives frames from all peers. Dropped, it first stops listening: who sees its frames end finds its address closed.
pub(crate) struct FrameReceiver {
    listener: TcpListener,
    connections: JoinSet<()>,
    frames: mpsc::Sender<Bytes>,
}

impl FrameReceiver {
    /// Creates a receiver that queues frames to `frames`.
    pub(crate) fn new(listener: TcpListener, frames: mpsc::Sender<Bytes>) -> Self {
        Self {
            listener,
            connections: JoinSet::new(),
            frames,
        }
    }

    /// Receives until it is dropped.
    pub(crate) async fn run(mut self) {
        loop {
            while self.connections.try_join_next().is_some() {}
            let Ok((stream, _)) = self.listener.accept().await else {
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            if self.connections.len() < MOST_CONNECTIONS {
                let frames = self.frames.clone();
                self.connections.spawn(receive_frames(stream, frames));
            }
        }
    }
}

/// Queues every frame that arrives on a connection until it ends, brings what is no frame, or falls silent.
async fn receive_frames(stream: TcpStream, frames: mpsc::Sender<Bytes>) {
    let Ok(Ok(mut stream)) = time::timeout(LONGEST_SILENCE, greet_sender(stream)).await else {
        return;
    };
    while let Ok(Some(Ok(frame))) = time::timeout(LONGEST_SILENCE, stream.next()).await {
        if frames.try_send(frame.freeze()).is_err() {
            metrics::counter!("jasminebend_peer_frames_dropped_total").increment(1);
        }
    }
}
