//! The structured log: one JSON line for each decision. Logging never blocks.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    io::Write,
    rc::Rc,
    sync::mpsc::{
        SyncSender,
        TrySendError,
        sync_channel, //
    },
    thread,
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use derive_more::Display;
use serde::Serialize;

/// The most bytes that may wait to be written; further lines are counted and dropped.
const MAX_BACKLOG_BYTES: usize = 256 << 10;
/// The most chunks that may wait for the writer thread.
const MAX_QUEUED_CHUNKS: usize = 4;
/// The most bytes that a pipe accepts in one atomic write (`PIPE_BUF`); POSIX guarantees 512, Linux has 4,096.
const PIPE_BUF_BYTES: usize = 4096;
/// The interval at which buffered lines are passed to the writer thread.
pub(crate) const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Returns a duration as whole milliseconds.
pub(crate) fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// The kind of event that a line reports.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogEvent {
    /// The daemon started, is stopping, has stopped or read its settings again.
    Daemon,
    /// A caller's request was answered.
    Request,
    /// An order to start, stop or throttle a run was sent, or it was decided to evict fillers for a service's sake.
    Order,
    /// A step waits longer than it should.
    Wait,
    /// A run goes on although it was to be stopped some time ago.
    Overdue,
    /// The owner learned that a job was cancelled.
    Cancellation,
    /// A long-running job was admitted, or refused for lack of free capacity.
    Admission,
    /// The CPU amounts of a pool that each kind of work holds and waits for.
    Pool,
    /// A run ended.
    End,
    /// A worker lists the end of a run whose job the owner does not know.
    UnknownEnd,
    /// The owner learned of a job after it had begun to act.
    Learned,
    /// A run was lost together with its worker.
    Loss,
    /// A worker lists a run that its task does not need.
    Surplus,
    /// It was found out whether a worker has crashed under a task.
    Crash,
    /// A job ended.
    Job,
    /// The owner, or the set of members, changed.
    Owner,
    /// The configuration, a failure domain or a maintenance wave changed.
    Operator,
    /// A worker was listed or unlisted, or contact with it was lost or regained.
    Worker,
    /// The store was lost or regained, or a part of it rejected a row.
    Dependency,
    /// A watch of the store failed.
    Watch,
    /// Connections or requests were refused or closed, to stay within the limits of a listener.
    Limit,
}

/// The structured log. Lines are buffered in memory up to a limit, and a thread writes them, so that a reader that
/// stops reading blocks nothing.
#[derive(Clone)]
pub struct FleetLog {
    inner: Rc<LogInner>,
}

struct LogInner {
    node: String,
    backlog: RefCell<Vec<u8>>,
    dropped: Cell<u64>,
    writer: Option<SyncSender<Vec<u8>>>,
}

#[derive(Serialize)]
struct LogLine<'a, Fields> {
    ts: f64,
    node: &'a str,
    event: LogEvent,
    #[serde(flatten)]
    fields: Fields,
}

impl FleetLog {
    /// Creates the log of a daemon that writes to `sink`.
    pub fn new<Sink>(node: &str, sink: Sink) -> Self
    where
        Sink: Write + Send + 'static,
    {
        let (writer, chunks) = sync_channel::<Vec<u8>>(MAX_QUEUED_CHUNKS);
        let mut sink = sink;
        let spawned = thread::Builder::new().spawn(move || {
            while let Ok(chunk) = chunks.recv() {
                for piece in split_into_pieces(&chunk) {
                    // There is nowhere else to report that the sink is closed.
                    drop(sink.write_all(piece).and_then(|()| sink.flush()));
                }
            }
        });
        Self::with_writer(node, spawned.is_ok().then_some(writer))
    }

    /// Creates a log that discards all lines.
    pub fn discarding(node: &str) -> Self {
        Self::with_writer(node, None)
    }

    /// Appends a line to the buffer, or drops it if the buffer is full.
    pub fn line<Fields>(&self, event: LogEvent, fields: Fields)
    where
        Fields: Serialize,
    {
        if self.inner.writer.is_none() {
            return;
        }
        let mut backlog = self.inner.backlog.borrow_mut();
        if backlog.len() >= MAX_BACKLOG_BYTES {
            self.inner.dropped.set(self.inner.dropped.get() + 1);
            metrics::counter!("jasminebend_fleet_log_lines_dropped_total").increment(1);
            return;
        }
        let line = LogLine {
            ts: unix_seconds(),
            node: &self.inner.node,
            event,
            fields,
        };
        let start = backlog.len();
        if serde_json::to_writer(&mut *backlog, &line).is_err() {
            backlog.truncate(start);
            return;
        }
        backlog.push(b'\n');
    }

    /// Passes the buffered lines to the writer thread, or keeps them if its queue is full.
    pub fn flush(&self) {
        let Some(writer) = &self.inner.writer else {
            return;
        };
        let chunk = std::mem::take(&mut *self.inner.backlog.borrow_mut());
        if chunk.is_empty() {
            return;
        }
        if let Err(TrySendError::Full(chunk)) = writer.try_send(chunk) {
            *self.inner.backlog.borrow_mut() = chunk;
        }
    }

    /// Returns how many lines were dropped.
    pub fn dropped_lines(&self) -> u64 {
        self.inner.dropped.get()
    }

    fn with_writer(node: &str, writer: Option<SyncSender<Vec<u8>>>) -> Self {
        Self {
            inner: Rc::new(LogInner {
                node: node.to_owned(),
                backlog: RefCell::new(Vec::new()),
                dropped: Cell::new(0),
                writer,
            }),
        }
    }
}

/// Splits a chunk between lines into pieces that a pipe accepts atomically, so that lines of several writers don't
/// interleave.
fn split_into_pieces(chunk: &[u8]) -> Vec<&[u8]> {
    let mut pieces = Vec::new();
    let mut start = 0;
    let mut end = 0;
    for line in chunk.split_inclusive(|byte| *byte == b'\n') {
        if end > start && end + line.len() - start > PIPE_BUF_BYTES {
            pieces.push(&chunk[start..end]);
            start = end;
        }
        end += line.len();
    }
    if end > start {
        pieces.push(&chunk[start..end]);
    }
    pieces
}

fn unix_seconds() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |since| since.as_secs_f64())
}
