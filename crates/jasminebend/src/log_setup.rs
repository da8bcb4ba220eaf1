//! Sets up the process's log.

use std::{
    io,
    sync::Arc, //
};

use spdlog::{
    Level,
    LevelFilter,
    Logger,
    formatter::{
        Formatter,
        JsonFormatter,
        PatternFormatter,
        pattern, //
    },
    sink::{
        SinkPropAccess,
        WriteSink, //
    }, //
};

use crate::{
    LogError,
    LogFormat,
    LogGuard,
    LogLevel,
    LogSettings,
    log_writer::LogWriter, //
};

/// Sends the process's log to the standard error stream. Keep the guard until the end of the process.
///
/// # Errors
///
/// Returns a [`LogError`] if the log thread or the logger cannot be created.
pub fn set_up_log(settings: LogSettings) -> Result<LogGuard, LogError> {
    let writer = LogWriter::new(io::stderr()).map_err(LogError::new)?;
    let logger = build_logger(settings, writer.clone()).map_err(LogError::new)?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(LogGuard::new(writer))
}

fn build_logger(settings: LogSettings, writer: LogWriter) -> spdlog::Result<Logger> {
    let sink = WriteSink::builder().target(writer).build_arc()?;
    sink.set_formatter(formatter(settings.format));
    Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(spdlog_level(settings.level)))
        .flush_level_filter(LevelFilter::All)
        .build()
}

/// Returns the formatter of a log format.
pub fn formatter(format: LogFormat) -> Box<dyn Formatter> {
    match format {
        LogFormat::Text => Box::new(PatternFormatter::new(pattern!(
            "{date} {time}.{millisecond} {level} {payload}{eol}"
        ))),
        LogFormat::Json => Box::new(JsonFormatter::new()),
    }
}

fn spdlog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}
