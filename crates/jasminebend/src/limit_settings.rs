//! Limits on callers' and operators' requests.

use std::{
    ops::RangeInclusive,
    time::Duration, //
};

use bytesize::ByteSize;
use serde::Deserialize;

use crate::{
    SettingsError,
    optional_key::OptionalKey,
    section_parser::{
        RawText,
        SectionParser,
        parse_duration, //
        parse_number,
        parse_size,
    }, //
};

const BODY_SIZE_FORMAT: &str = "a size from 1KiB to 1GiB with its unit, such as `16MiB`";
const BODY_SIZE_RANGE: RangeInclusive<ByteSize> = ByteSize::kib(1)..=ByteSize::gib(1);
const HEADER_SIZE_FORMAT: &str = "a size from 8KiB to 1MiB with its unit, such as `16KiB`";
const HEADER_SIZE_RANGE: RangeInclusive<ByteSize> = ByteSize::kib(8)..=ByteSize::mib(1);
const MEMORY_FORMAT: &str = "a size from 1MiB to 64GiB with its unit, such as `64MiB`";
const MEMORY_RANGE: RangeInclusive<ByteSize> = ByteSize::mib(1)..=ByteSize::gib(64);
const CONNECTIONS_FORMAT: &str = "a whole number of connections from 1 to 65536";
const TIMEOUT_FORMAT: &str = "a time from 100ms to 5m with its unit, such as `30s`";
const LONGEST_REQUEST_FORMAT: &str = "a time from 1s to 10m with its unit, such as `30s`";
const LONGEST_REQUEST_RANGE: RangeInclusive<Duration> =
    Duration::from_secs(1)..=Duration::from_secs(600);
const WAITING_REQUESTS_FORMAT: &str = "a whole number of requests from 1 to 100000";
const INCOMPLETE_SLOTS_FORMAT: &str = "a whole number of percent from 1 to 100";
const TIMEOUT_RANGE: RangeInclusive<Duration> =
    Duration::from_millis(100)..=Duration::from_secs(300);

/// Limits on callers' and operators' requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitSettings {
    /// The greatest size of a caller's request body, in bytes.
    pub request_body: u64,
    /// The greatest number of callers' connections at a time.
    pub caller_connections: usize,
    /// The greatest size of an administration request's body, in bytes.
    pub administration_body: usize,
    /// The longest time that an endpoint may work on one request. The slot of a request whose outcome is unknown stays
    /// unused for this time. Must be the same for all daemons.
    pub longest_request: Duration,
    /// The greatest number of requests of one service that may wait for a slot.
    pub waiting_requests: usize,
    /// The greatest part of a service's slots that requests with large incomplete bodies may take, in percent.
    pub incomplete_slots_percent: u8,
    /// The greatest memory of callers' buffered request bodies at a time, in bytes.
    pub request_memory: usize,
    /// The greatest number of other daemons' connections at a time.
    pub peer_connections: usize,
    /// The greatest memory of other daemons' incomplete frames at a time, in bytes.
    pub peer_memory: usize,
    /// The greatest memory of administration requests' bodies at a time, in bytes.
    pub administration_memory: usize,
    /// The greatest number of connections to the administration API at a time.
    pub administration_connections: usize,
    /// The greatest size of a request's head, in bytes.
    pub headers: usize,
    /// The timeout of an administration request, from its first byte to its response.
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
            incomplete_slots_percent: 50,
            request_memory: 64 << 20,
            peer_connections: 1024,
            peer_memory: 16 << 20,
            administration_memory: 16 << 20,
            administration_connections: 64,
            headers: 16 << 10,
            administration_timeout: Duration::from_secs(30),
        }
    }
}

impl LimitSettings {
    /// Returns the limits that leave a quarter of the descriptors of a process, at least, to its own calls: callers take half of
    /// them at the most, other daemons an eighth, and administration and health an eighth.
    pub fn within_descriptors(self, descriptors: usize) -> Self {
        let at_most =
            |connections: usize, share: usize| connections.min((descriptors / share).max(1));
        Self {
            caller_connections: at_most(self.caller_connections, 2),
            peer_connections: at_most(self.peer_connections, 8),
            administration_connections: at_most(self.administration_connections, 16),
            ..self
        }
    }
}

/// The unparsed section `limits`.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct RawLimits {
    request_body: OptionalKey<RawText>,
    caller_connections: OptionalKey<RawText>,
    longest_request: OptionalKey<RawText>,
    waiting_requests: OptionalKey<RawText>,
    administration_body: OptionalKey<RawText>,
    incomplete_slots_percent: OptionalKey<RawText>,
    request_memory: OptionalKey<RawText>,
    peer_connections: OptionalKey<RawText>,
    peer_memory: OptionalKey<RawText>,
    administration_memory: OptionalKey<RawText>,
    administration_connections: OptionalKey<RawText>,
    headers: OptionalKey<RawText>,
    administration_timeout: OptionalKey<RawText>,
}

impl RawLimits {
    pub(crate) fn resolve(&self, line: u64) -> Result<LimitSettings, SettingsError> {
        let section = SectionParser::new("limits", line);
        let connections = |key, raw: &OptionalKey<RawText>| {
            let parse = |text: &str| parse_number(text, 1..=65536);
            section.parse(key, CONNECTIONS_FORMAT, raw.as_ref(), parse)
        };
        let headers = section.parse(
            "headers",
            HEADER_SIZE_FORMAT,
            self.headers.as_ref(),
            |text| parse_size(text, HEADER_SIZE_RANGE),
        )?;
        let timeout = self.administration_timeout.as_ref();
        let timeout = section.parse("administration_timeout", TIMEOUT_FORMAT, timeout, |text| {
            parse_duration(text, TIMEOUT_RANGE)
        })?;
        let longest = self.longest_request.as_ref();
        let longest =
            section.parse("longest_request", LONGEST_REQUEST_FORMAT, longest, |text| {
                parse_duration(text, LONGEST_REQUEST_RANGE)
            })?;
        let waiting = self.waiting_requests.as_ref();
        let waiting = section.parse(
            "waiting_requests",
            WAITING_REQUESTS_FORMAT,
            waiting,
            |text| parse_number(text, 1..=100_000),
        )?;
        let incomplete_slots = section.parse(
            "incomplete_slots_percent",
            INCOMPLETE_SLOTS_FORMAT,
            self.incomplete_slots_percent.as_ref(),
            |text| parse_number(text, 1..=100),
        )?;
        let callers = connections("caller_connections", &self.caller_connections)?;
        let operators = &self.administration_connections;
        let operators = connections("administration_connections", operators)?;
        let administration = self.administration_body.as_ref();
        let administration = section.parse(
            "administration_body",
            BODY_SIZE_FORMAT,
            administration,
            |text| parse_size(text, BODY_SIZE_RANGE),
        )?;
        let request = self.request_body.as_ref();
        let request = section.parse("request_body", BODY_SIZE_FORMAT, request, |text| {
            parse_size(text, BODY_SIZE_RANGE)
        })?;
        let memory = |key, raw: &OptionalKey<RawText>| {
            let parse = |text: &str| parse_size(text, MEMORY_RANGE);
            section.parse(key, MEMORY_FORMAT, raw.as_ref(), parse)
        };
        let request_memory = memory("request_memory", &self.request_memory)?;
        let administration_memory = memory("administration_memory", &self.administration_memory)?;
        let peer_connections = connections("peer_connections", &self.peer_connections)?;
        let peer_memory = memory("peer_memory", &self.peer_memory)?;
        let default = LimitSettings::default();
        Ok(LimitSettings {
            request_body: request.unwrap_or(default.request_body),
            caller_connections: callers.unwrap_or(default.caller_connections),
            longest_request: longest.unwrap_or(default.longest_request),
            waiting_requests: waiting.unwrap_or(default.waiting_requests),
            administration_body: administration.unwrap_or(default.administration_body),
            incomplete_slots_percent: incomplete_slots.unwrap_or(default.incomplete_slots_percent),
            request_memory: request_memory.unwrap_or(default.request_memory),
            peer_connections: peer_connections.unwrap_or(default.peer_connections),
            peer_memory: peer_memory.unwrap_or(default.peer_memory),
            administration_memory: administration_memory.unwrap_or(default.administration_memory),
            administration_connections: operators.unwrap_or(default.administration_connections),
            headers: headers.unwrap_or(default.headers),
            administration_timeout: timeout.unwrap_or(default.administration_timeout),
        })
    }
}
