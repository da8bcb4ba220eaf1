//! Parses the values of one section of the settings file.

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

/// A value's text in the settings file, with its line.
pub(crate) type RawText = Spanned<String>;

/// The expected value of a key that names a section, for error messages.
pub(crate) const SECTION_FORMAT: &str = "the section, with its keys indented below";

/// The greatest length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Parses the values of one section, whose name prefixes the keys in error messages.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SectionParser {
    /// The section's name; empty at the top level.
    section: &'static str,
    /// The line where the section begins, from one; reported for missing keys.
    line: u64,
}

impl SectionParser {
    pub(crate) fn new(section: &'static str, line: u64) -> Self {
        Self { section, line }
    }

    /// Returns the value, or an error that the key is missing. `wants` describes the expected value.
    pub(crate) fn required<Value>(
        self,
        key: &str,
        wants: &'static str,
        value: Option<Value>,
    ) -> Result<Value, SettingsError> {
        value.ok_or_else(|| SettingsError::MissingKey {
            line: self.line,
            key: self.qualified_key(key),
            wants,
        })
    }

    /// Parses a value with `parse`; returns `None` if the key is absent. `wants` describes the expected value.
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
        let bad_value = || SettingsError::BadValue {
            line: raw.referenced.line(),
            key: self.qualified_key(key),
            value: raw.value.clone(),
            wants,
        };
        parse(&raw.value).map(Some).ok_or_else(bad_value)
    }

    /// Returns the key with its section's name as a prefix.
    fn qualified_key(self, key: &str) -> String {
        if self.section.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.section)
    }
}

/// Parses an IP address and port to listen on.
pub(crate) fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Parses an address of this VM that other VMs connect to. Rejects unspecified addresses such as `0.0.0.0`, which would
/// lead them to themselves.
pub(crate) fn parse_own_address(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    (!address.ip().is_unspecified()).then_some(address)
}

/// Parses the address of a remote service. Rejects port 0 and unspecified IP addresses.
pub(crate) fn parse_remote_address(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    let reachable = address.port() != 0 && !address.ip().is_unspecified();
    reachable.then_some(address)
}

/// Parses a name of ASCII letters, digits, `-`, `_` and `.`.
pub(crate) fn parse_name(text: &str) -> Option<String> {
    let allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    let fits = !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(allowed);
    fits.then(|| text.to_owned())
}

/// Parses a path that is not empty.
pub(crate) fn parse_path(text: &str) -> Option<PathBuf> {
    (!text.is_empty()).then(|| PathBuf::from(text))
}

/// Parses a number within a range.
pub(crate) fn parse_number<Number>(text: &str, range: RangeInclusive<Number>) -> Option<Number>
where
    Number: FromStr + PartialOrd,
{
    let number = text.parse().ok()?;
    range.contains(&number).then_some(number)
}

/// Parses a duration within a range. The unit is required, because `5` could be seconds or milliseconds.
pub(crate) fn parse_duration(text: &str, range: RangeInclusive<Duration>) -> Option<Duration> {
    let time = humantime::parse_duration(text).ok()?;
    let has_unit = text.ends_with(|letter: char| letter.is_ascii_alphabetic());
    (has_unit && range.contains(&time)).then_some(time)
}

/// Parses a size within a range. The unit is required, because `64` could be bytes or mebibytes.
pub(crate) fn parse_size<Number>(text: &str, range: RangeInclusive<ByteSize>) -> Option<Number>
where
    Number: TryFrom<u64>,
{
    let size: ByteSize = text.parse().ok()?;
    let has_unit = text.ends_with(['b', 'B']);
    let fits = has_unit && range.contains(&size);
    fits.then(|| Number::try_from(size.as_u64()).ok()).flatten()
}

/// Parses `true` or `false`.
pub(crate) fn parse_bool(text: &str) -> Option<bool> {
    match text {
        "true" => Some(true),
        "false" => Some(false),
        _ => None,
    }
}
