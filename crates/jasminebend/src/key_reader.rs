//! Reads the keys of one section of the settings file.

use std::{
    net::SocketAddr,
    ops::RangeInclusive,
    path::PathBuf,
    str::FromStr,
    time::Duration, //
};

use bytesize::ByteSize;
use serde_saphyr::Spanned;

use crate::SettingsError;

/// A value as it stands in the file, with its line.
pub(crate) type RawText = Spanned<String>;

/// What a section wants.
pub(crate) const SECTION: &str = "the section, with its keys indented below";

const LONGEST_NAME: usize = 64;

/// Reads the keys of one section: its name is a prefix of every message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyReader {
    section: &'static str,
    line: u64,
}

impl KeyReader {
    pub(crate) fn new(section: &'static str, line: u64) -> Self {
        Self { section, line }
    }

    pub(crate) fn required<Value>(
        self,
        key: &str,
        wants: &'static str,
        value: Option<Value>,
    ) -> Result<Value, SettingsError> {
        value.ok_or_else(|| SettingsError::MissingKey {
            line: self.line,
            key: self.path(key),
            wants,
        })
    }

    /// Reads a value by `parse`; an absent key is `None`.
    pub(crate) fn parse<Value, Parse>(
        self,
        key: &str,
        wants: &'static str,
        raw: Option<&RawText>,
        parse: Parse,
    ) -> Result<Option<Value>, SettingsError>
    where
        Parse: FnOnce(&str) -> Option<Value>,
    {
        let Some(raw) = raw else {
            return Ok(None);
        };
        let bad = || SettingsError::BadValue {
            line: raw.referenced.line(),
            key: self.path(key),
            value: raw.value.clone(),
            wants,
        };
        parse(&raw.value).map(Some).ok_or_else(bad)
    }

    fn path(self, key: &str) -> String {
        if self.section.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.section)
    }
}

pub(crate) fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// An address of this VM that others are told: `0.0.0.0` would lead them to themselves.
pub(crate) fn parse_own_address(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    (!address.ip().is_unspecified()).then_some(address)
}

pub(crate) fn parse_remote(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    let reachable = address.port() != 0 && !address.ip().is_unspecified();
    reachable.then_some(address)
}

pub(crate) fn parse_name(text: &str) -> Option<String> {
    let allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    let fits = !text.is_empty() && text.len() <= LONGEST_NAME && text.chars().all(allowed);
    fits.then(|| text.to_owned())
}

pub(crate) fn parse_path(text: &str) -> Option<PathBuf> {
    (!text.is_empty()).then(|| PathBuf::from(text))
}

pub(crate) fn parse_number<Number>(text: &str, range: RangeInclusive<Number>) -> Option<Number>
where
    Number: FromStr + PartialOrd,
{
    let number = text.parse().ok()?;
    range.contains(&number).then_some(number)
}

/// A time needs its unit: `5` could be seconds or milliseconds.
pub(crate) fn parse_time(text: &str, range: RangeInclusive<Duration>) -> Option<Duration> {
    let time = humantime::parse_duration(text).ok()?;
    let has_unit = text.ends_with(|letter: char| letter.is_ascii_alphabetic());
    (has_unit && range.contains(&time)).then_some(time)
}

/// A size needs its unit: `64` could be bytes or mebibytes.
pub(crate) fn parse_size<Number>(text: &str, range: RangeInclusive<ByteSize>) -> Option<Number>
where
    Number: TryFrom<u64>,
{
    let size: ByteSize = text.parse().ok()?;
    let has_unit = text.ends_with(['b', 'B']);
    let fits = has_unit && range.contains(&size);
    fits.then(|| Number::try_from(size.as_u64()).ok()).flatten()
}

pub(crate) fn parse_flag(text: &str) -> Option<bool> {
    match text {
        "true" => Some(true),
        "false" => Some(false),
        _ => None,
    }
}
