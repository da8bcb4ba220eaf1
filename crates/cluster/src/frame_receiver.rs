//! Receives frames from all peers.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use futures_util::StreamExt;
use jasminebend_ingress::{
    Connection,
    ConnectionLimits,
    ConnectionTable, //
};
use spdlog::warn;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        OwnedSemaphorePermit,
        Semaphore,
        mpsc, //
    },
    task::JoinSet,
    time, //
};

use crate::frame_stream::greet_sender;

const REFUSALS_METRIC: &str = "jasminebend_peer_ingress_refusals_total";
/// The interval between two reports of what was refused.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum size of all received frames that wait to be decoded, in bytes. Further ones are dropped, which is harmless, as
/// members repeat their heartbeats.
const MAX_QUEUED_BYTES: usize = 8 << 20;
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
    table: ConnectionTable,
    queue: FrameQueue,
}

/// The queue of received frames, bounded by their number and their size.
#[derive(Clone)]
struct FrameQueue {
    frames: mpsc::Sender<Bytes>,
    /// A permit for each byte of a frame that may still be queued.
    bytes: Arc<Semaphore>,
}

/// A frame in the queue.
struct QueuedFrame {
    frame: Bytes,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for QueuedFrame {
    fn as_ref(&self) -> &[u8] {
        &self.frame
    }
}

impl FrameQueue {
    fn new(frames: mpsc::Sender<Bytes>) -> Self {
        Self {
            frames,
            bytes: Arc::new(Semaphore::new(MAX_QUEUED_BYTES)),
        }
    }

    /// Queues a frame; drops and counts it if there is no room.
    fn push(&self, frame: Bytes) {
        let size = u32::try_from(frame.len()).unwrap_or(u32::MAX);
        let permit = Arc::clone(&self.bytes).try_acquire_many_owned(size);
        let queued = permit.is_ok_and(|permit| {
            let frame = Bytes::from_owner(QueuedFrame {
                frame,
                _permit: permit,
            });
            self.frames.try_send(frame).is_ok()
        });
        if !queued {
            metrics::counter!("jasminebend_peer_frames_dropped_total").increment(1);
        }
    }
}

impl FrameReceiver {
    /// Creates a receiver that accepts connections from `listener`, within `limits`, and queues received frames to
    /// `frames`.
    pub(crate) fn new(
        listener: TcpListener,
        frames: mpsc::Sender<Bytes>,
        limits: ConnectionLimits,
    ) -> Self {
        Self {
            listener,
            connections: JoinSet::new(),
            table: ConnectionTable::new(limits),
            queue: FrameQueue::new(frames),
        }
    }

    /// Accepts connections until the future is dropped.
    pub(crate) async fn run(mut self) {
        let mut report_due = time::interval(REPORT_INTERVAL);
        loop {
            while self.connections.try_join_next().is_some() {}
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = report_due.tick() => {
                    report_refusals(&self.table);
                    continue;
                }
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    self.table.handle_accept_error(&error);
                    time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            if let Some(connection) = self.table.open().await {
                let queue = self.queue.clone();
                self.connections
                    .spawn(serve_peer(stream, Arc::new(connection), queue));
            }
        }
    }
}

/// Receives frames until the connection ends or closes for others.
async fn serve_peer(stream: TcpStream, connection: Arc<Connection>, queue: FrameQueue) {
    tokio::select! {
        biased;
        () = connection.evicted() => {}
        () = receive_frames(stream, Arc::clone(&connection), queue) => {}
    }
}

/// Queues every frame that is received on a connection, until the connection ends, carries an invalid
/// frame, or is silent for too long. Frames that find the queue full are dropped and counted.
async fn receive_frames(stream: TcpStream, connection: Arc<Connection>, queue: FrameQueue) {
    let greeted = time::timeout(RECEIVE_TIMEOUT, greet_sender(stream, connection)).await;
    let Ok(Ok(mut stream)) = greeted else {
        return;
    };
    while let Ok(Some(Ok(frame))) = time::timeout(RECEIVE_TIMEOUT, stream.next()).await {
        queue.push(frame);
    }
}

/// Logs and counts the connections that were closed or refused since the last call.
fn report_refusals(table: &ConnectionTable) {
    let refusals = table.take_refusals();
    if refusals.is_empty() {
        return;
    }
    for (reason, count) in refusals.by_reason() {
        metrics::counter!(REFUSALS_METRIC, "reason" => reason).increment(count);
    }
    warn!("[peers] Connections were closed or refused at the limits: {refusals}.");
}
