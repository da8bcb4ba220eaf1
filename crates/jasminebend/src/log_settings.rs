//! What the daemon logs, and how.

use serde::Deserialize;

use crate::{
    LogFormat,
    LogLevel,
    SettingsError,
    given_key::GivenKey,
    key_reader::{
        KeyReader,
        RawText, //
    }, //
};

/// What the daemon logs, and how.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LogSettings {
    /// How a line looks.
    pub format: LogFormat,
    /// The least severe lines that are logged.
    pub level: LogLevel,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct RawLog {
    format: GivenKey<RawText>,
    level: GivenKey<RawText>,
}

impl RawLog {
    pub(crate) fn resolve(&self, line: u64) -> Result<LogSettings, SettingsError> {
        let reader = KeyReader::new("log", line);
        let format = self.format.as_ref();
        let level = self.level.as_ref();
        let format = reader.parse("format", "`text` or `json`", format, parse_format)?;
        let levels = "`error`, `warn`, `info` or `debug`";
        let level = reader.parse("level", levels, level, parse_level)?;
        Ok(LogSettings {
            format: format.unwrap_or_default(),
            level: level.unwrap_or_default(),
        })
    }
}

fn parse_format(text: &str) -> Option<LogFormat> {
    match text {
        "text" => Some(LogFormat::Text),
        "json" => Some(LogFormat::Json),
        _ => None,
    }
}

fn parse_level(text: &str) -> Option<LogLevel> {
    match text {
        "error" => Some(LogLevel::Error),
        "warn" => Some(LogLevel::Warn),
        "info" => Some(LogLevel::Info),
        "debug" => Some(LogLevel::Debug),
        _ => None,
    }
}
