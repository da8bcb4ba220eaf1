//! Keeps the process's log until its end.

use crate::log_writer::LogWriter;

/// Keeps the process's log. Dropped, it waits a moment for the last lines to be written.
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
        self.writer.finish();
    }
}
