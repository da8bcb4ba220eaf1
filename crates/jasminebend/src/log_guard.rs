//! Guard that flushes the log.

use crate::log_writer::LogWriter;

/// Guard of the process's log. Dropping it waits up to a second until the last lines are written.
#[must_use]
pub struct LogGuard {
    writer: LogWriter,
}

impl LogGuard {
    pub(crate) fn new(writer: LogWriter) -> Self {
        Self { writer }
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.writer.flush_lines();
    }
}
