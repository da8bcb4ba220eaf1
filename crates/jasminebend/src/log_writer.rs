//! Writes the log from a separate thread, so that a blocked reader of the log does not block the daemon.

use std::{
    io::{
        self,
        Write, //
    },
    sync::mpsc::{
        Receiver,
        SyncSender,
        sync_channel, //
    },
    thread,
    time::Duration, //
};

/// The greatest number of lines that wait to be written; further lines are counted and dropped.
const MAX_QUEUED_LINES: usize = 4096;
/// How long the end of the program waits for the last lines.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// A message to the log thread.
enum LogMessage {
    Line(Vec<u8>),
    /// Acknowledged once all lines before it are written.
    Flush(SyncSender<()>),
}

/// Queues lines for the log thread, without blocking. Each write is one line.
#[derive(Clone)]
pub(crate) struct LogWriter {
    messages: SyncSender<LogMessage>,
}

impl LogWriter {
    /// Starts the thread that writes to `sink`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the thread cannot be started.
    pub(crate) fn new<Sink>(sink: Sink) -> io::Result<Self>
    where
        Sink: Write + Send + 'static,
    {
        let (messages, queue) = sync_channel(MAX_QUEUED_LINES);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_messages(sink, &queue))?;
        Ok(Self { messages })
    }

    /// Waits until all queued lines are written, for [`FLUSH_TIMEOUT`] at the most.
    pub(crate) fn flush_lines(&self) {
        let (acknowledge, written) = sync_channel(1);
        if self
            .messages
            .try_send(LogMessage::Flush(acknowledge))
            .is_ok()
        {
            // A blocked reader of the log must not keep the process alive.
            written.recv_timeout(FLUSH_TIMEOUT).ok();
        }
    }
}

fn write_messages<Sink>(mut sink: Sink, queue: &Receiver<LogMessage>)
where
    Sink: Write,
{
    while let Ok(message) = queue.recv() {
        match message {
            // An error means that the reader has closed the log; there is nowhere to report it.
            LogMessage::Line(line) => drop(sink.write_all(&line)),
            LogMessage::Flush(acknowledge) => drop(acknowledge.send(())),
        }
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self
            .messages
            .try_send(LogMessage::Line(line.to_vec()))
            .is_err()
        {
            metrics::counter!("jasminebend_log_lines_dropped_total").increment(1);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
