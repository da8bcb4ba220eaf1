//! Sets up the process's log.

use std::sync::Arc;

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
        StdStreamSink, //
    },
    terminal_style::StyleMode, //
};

use crate::{
    LogError,
    LogFormat,
    LogLevel,
    LogSettings, //
};

/// Sends the process's log to the standard error stream.
///
/// # Errors
///
/// [`LogError`] if the stream cannot be written.
pub fn set_up_log(settings: LogSettings) -> Result<(), LogError> {
    let logger = build(settings).map_err(|error| LogError {
        reason: error.to_string(),
    })?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

fn build(settings: LogSettings) -> spdlog::Result<Logger> {
    let sink = StdStreamSink::builder()
        .stderr()
        .style_mode(StyleMode::Never)
        .build_arc()?;
    sink.set_formatter(formatter(settings.format));
    Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level(settings.level)))
        .flush_level_filter(LevelFilter::All)
        .build()
}

/// Returns the formatter of a format.
pub fn formatter(format: LogFormat) -> Box<dyn Formatter> {
    match format {
        LogFormat::Text => Box::new(PatternFormatter::new(pattern!(
            "{date} {time}.{millisecond} {level} {payload}{eol}"
        ))),
        LogFormat::Json => Box::new(JsonFormatter::new()),
    }
}

fn level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}
