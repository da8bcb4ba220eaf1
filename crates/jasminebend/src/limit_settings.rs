//! The limits on what callers and operators may send.

use std::{
    ops::RangeInclusive,
    time::Duration, //
};

use bytesize::ByteSize;
use serde::Deserialize;

use crate::{
    SettingsError,
    given_key::GivenKey,
    key_reader::{
        KeyReader,
        RawText,
        parse_number,
        parse_size,
        parse_time, //
    }, //
};

const BODY: &str = "a size from 1KiB to 1GiB with its unit, such as `16MiB`";
const BODIES: RangeInclusive<ByteSize> = ByteSize::kib(1)..=ByteSize::gib(1);
const HEADERS: &str = "a size from 8KiB to 1MiB with its unit, such as `16KiB`";
const HEADER_SIZES: RangeInclusive<ByteSize> = ByteSize::kib(8)..=ByteSize::mib(1);
const CONNECTIONS: &str = "a whole number of connections from 1 to 65536";
const TIMEOUT: &str = "a time from 100ms to 5m with its unit, such as `30s`";
const LONGEST: &str = "a time from 1s to 10m with its unit, such as `30s`";
const LONGEST_TIMES: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_secs(600);
const WAITING: &str = "a whole number of requests from 1 to 100000";
const TIMEOUTS: RangeInclusive<Duration> = Duration::from_millis(100)..=Duration::from_secs(300);

/// The limits on what callers and operators may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitSettings {
    /// The bytes of a caller's request body.
    pub request_body: u64,
    /// The callers' connections at once.
    pub caller_connections: usize,
    /// The bytes of an administration request's body.
    pub administration_body: usize,
    /// The longest time that an endpoint may work on one request. Slots whose request's fate is not
    /// known stay empty for this long; the same for all daemons.
    pub longest_request: Duration,
    /// The requests of one service that may wait for a slot.
    pub waiting_requests: usize,
    /// The operators' connections at once.
    pub administration_connections: usize,
    /// The bytes of a request's head.
    pub headers: usize,
    /// How long an administration request may take, from its first byte to its answer.
    pub administration_timeout: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            request_body: 16 << 20,
            caller_connections: 12_000,
            longest_request: Duration::from_secs(30),
            waiting_requests: 1000,
            administration_body: 1 << 20,
            administration_connections: 64,
            headers: 16 << 10,
            administration_timeout: Duration::from_secs(30),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct RawLimits {
    request_body: GivenKey<RawText>,
    caller_connections: GivenKey<RawText>,
    longest_request: GivenKey<RawText>,
    waiting_requests: GivenKey<RawText>,
    administration_body: GivenKey<RawText>,
    administration_connections: GivenKey<RawText>,
    headers: GivenKey<RawText>,
    administration_timeout: GivenKey<RawText>,
}

impl RawLimits {
    pub(crate) fn resolve(&self, line: u64) -> Result<LimitSettings, SettingsError> {
        let reader = KeyReader::new("limits", line);
        let connections = |key, raw: &GivenKey<RawText>| {
            let parse = |text: &str| parse_number(text, 1..=65536);
            reader.parse(key, CONNECTIONS, raw.as_ref(), parse)
        };
        let headers = reader.parse("headers", HEADERS, self.headers.as_ref(), |text| {
            parse_size(text, HEADER_SIZES)
        })?;
        let timeout = self.administration_timeout.as_ref();
        let timeout = reader.parse("administration_timeout", TIMEOUT, timeout, |text| {
            parse_time(text, TIMEOUTS)
        })?;
        let longest = self.longest_request.as_ref();
        let longest = reader.parse("longest_request", LONGEST, longest, |text| {
            parse_time(text, LONGEST_TIMES)
        })?;
        let waiting = self.waiting_requests.as_ref();
        let waiting = reader.parse("waiting_requests", WAITING, waiting, |text| {
            parse_number(text, 1..=100_000)
        })?;
        let callers = connections("caller_connections", &self.caller_connections)?;
        let operators = &self.administration_connections;
        let operators = connections("administration_connections", operators)?;
        let administration = self.administration_body.as_ref();
        let administration = reader.parse("administration_body", BODY, administration, |text| {
            parse_size(text, BODIES)
        })?;
        let request = self.request_body.as_ref();
        let request = reader.parse("request_body", BODY, request, |text| {
            parse_size(text, BODIES)
        })?;
        let default = LimitSettings::default();
        Ok(LimitSettings {
            request_body: request.unwrap_or(default.request_body),
            caller_connections: callers.unwrap_or(default.caller_connections),
            longest_request: longest.unwrap_or(default.longest_request),
            waiting_requests: waiting.unwrap_or(default.waiting_requests),
            administration_body: administration.unwrap_or(default.administration_body),
            administration_connections: operators.unwrap_or(default.administration_connections),
            headers: headers.unwrap_or(default.headers),
            administration_timeout: timeout.unwrap_or(default.administration_timeout),
        })
    }
}
