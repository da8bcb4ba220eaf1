//! Settings of the log.

use serde::Deserialize;

use crate::{
    LogFormat,
    LogLevel,
    SettingsError,
    optional_key::OptionalKey,
    section_parser::{
        RawText, //
        SectionParser,
    }, //
};

/// Settings of the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LogSettings {
    /// The format of a line.
    pub format: LogFormat,
    /// The least severity that is logged.
    pub level: LogLevel,
}

/// The unparsed section `log`.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct RawLog {
    format: OptionalKey<RawText>,
    level: OptionalKey<RawText>,
}

impl RawLog {
    pub(crate) fn resolve(&self, line: u64) -> Result<LogSettings, SettingsError> {
        let section = SectionParser::new("log", line);
        let format = self.format.as_ref();
        let level = self.level.as_ref();
        let format = section.parse("format", "`text` or `json`", format, parse_format)?;
        let levels = "`error`, `warn`, `info` or `debug`";
        let level = section.parse("level", levels, level, parse_level)?;
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
