//! Writes the log from a thread of its own, so that a reader that stands still holds nothing up.

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

/// How many lines may wait to be written; further ones are counted and dropped.
const WAITING_LINES: usize = 4096;
/// How long the last lines are waited for at the program's end.
const LAST_LINES: Duration = Duration::from_secs(1);

enum LogPiece {
    Line(Vec<u8>),
    /// Answered once all lines before it are written.
    Mark(SyncSender<()>),
}

/// Writes the log from a thread of its own. Each write is a line.
#[derive(Clone)]
pub(crate) struct LogWriter {
    pieces: SyncSender<LogPiece>,
}

impl LogWriter {
    /// Starts the thread that writes to `sink`.
    ///
    /// # Errors
    ///
    /// Any error of starting a thread.
    pub(crate) fn new<Sink>(sink: Sink) -> io::Result<Self>
    where
        Sink: Write + Send + 'static,
    {
        let (pieces, waiting) = sync_channel(WAITING_LINES);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_pieces(sink, &waiting))?;
        Ok(Self { pieces })
    }

    /// Waits a moment until all lines are written.
    pub(crate) fn finish(&self) {
        let (mark, written) = sync_channel(1);
        if self.pieces.try_send(LogPiece::Mark(mark)).is_ok() {
            // A reader that stands still is not waited for longer.
            written.recv_timeout(LAST_LINES).ok();
        }
    }
}

fn write_pieces<Sink>(mut sink: Sink, waiting: &Receiver<LogPiece>)
where
    Sink: Write,
{
    while let Ok(piece) = waiting.recv() {
        match piece {
            // A reader that is gone can't be told.
            LogPiece::Line(line) => drop(sink.write_all(&line)),
            LogPiece::Mark(mark) => drop(mark.send(())),
        }
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.pieces.try_send(LogPiece::Line(line.to_vec())).is_err() {
            metrics::counter!("jasminebend_log_lines_dropped_total").increment(1);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
