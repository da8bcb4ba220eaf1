//! The unparsed content of a settings file.

use std::{
    ops::RangeInclusive,
    time::Duration, //
};

use jasminebend_base::{
    DomainName,
    VmName, //
};
use serde::Deserialize;
use serde_saphyr::Spanned;

use crate::{
    DaemonSettings,
    ListenSettings,
    PeerKeySource,
    PlatformSettings,
    SettingsError,
    daemon_settings::{
        DEFAULT_BALANCER_LAG,
        DEFAULT_LEAVE_TIMEOUT,
        DEFAULT_SEATS,
        DEFAULT_SHARDS,
        DEFAULT_SLOT_SHARES, //
    },
    limit_settings::RawLimits,
    listen_settings::RawListen,
    log_settings::RawLog,
    optional_key::OptionalKey,
    platform_settings::{
        RawPlatform,
        is_loopback, //
    },
    section_parser::{
        RawText,
        SECTION_FORMAT,
        SectionParser,
        parse_bool,
        parse_duration, //
        parse_name,
        parse_number,
        parse_path,
    },
    tls_settings::RawTls,
    trace_settings::RawTraces, //
};

const NAME_FORMAT: &str = "a name of 1 to 64 letters, digits, `-`, `_` or `.`";
const SEATS_FORMAT: &str = "a whole number from 1 to 63";
const SLOT_SHARES_FORMAT: &str = "a whole number from 1 to 4096";
const SHARDS_FORMAT: &str = "a whole number from 1 to 1024";
const PATH_FORMAT: &str = "the path of a file";
const BOOL_FORMAT: &str = "`true` or `false`";
const BALANCER_LAG_FORMAT: &str = "a time from 0s to 10m with its unit, such as `5s`";
const LEAVE_TIMEOUT_FORMAT: &str = "a time from 1s to 1h with its unit, such as `1m`";
const LEAVE_TIMEOUT_RANGE: RangeInclusive<Duration> =
    Duration::from_secs(1)..=Duration::from_secs(3600);
const BALANCER_LAG_RANGE: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_secs(600);

/// The unparsed content of a settings file: every value is text with its line, and any key may be missing.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct RawSettings {
    listen: OptionalKey<Spanned<RawListen>>,
    vm: OptionalKey<RawText>,
    failure_domain: OptionalKey<RawText>,
    region: OptionalKey<RawText>,
    seats: OptionalKey<RawText>,
    slot_shares: OptionalKey<RawText>,
    shards: OptionalKey<RawText>,
    pub(crate) peers: OptionalKey<Spanned<RawPeers>>,
    pub(crate) platform: OptionalKey<Spanned<RawPlatform>>,
    pub(crate) tls: OptionalKey<Spanned<RawTls>>,
    pub(crate) tokens_file: OptionalKey<RawText>,
    allow_open_administration: OptionalKey<RawText>,
    log: OptionalKey<Spanned<RawLog>>,
    traces: OptionalKey<Spanned<RawTraces>>,
    limits: OptionalKey<Spanned<RawLimits>>,
    drain: OptionalKey<Spanned<RawDrain>>,
}

/// The unparsed section `peers`.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct RawPeers {
    pub(crate) key_file: OptionalKey<RawText>,
}

/// The unparsed section `drain`.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct RawDrain {
    balancer_lag: OptionalKey<RawText>,
    leave_timeout: OptionalKey<RawText>,
}

impl RawSettings {
    /// Parses and checks the values, and fills in the defaults.
    pub(crate) fn resolve(&self) -> Result<DaemonSettings, SettingsError> {
        let section = SectionParser::new("", 1);
        let listen = section.required("listen", SECTION_FORMAT, self.listen.as_ref())?;
        let platform = section.required("platform", SECTION_FORMAT, self.platform.as_ref())?;
        let listen = listen.value.resolve(listen.referenced.line())?;
        let domain = self.required_name(section, "failure_domain", &self.failure_domain)?;
        let mut settings =
            DaemonSettings::new(listen, DomainName::from(domain), self.peer_key(section)?);
        settings.vm = Some(VmName::from(self.required_name(section, "vm", &self.vm)?));
        settings.region = self.required_name(section, "region", &self.region)?;
        let platform = platform.value.resolve(platform.referenced.line())?;
        self.check_peers(listen, &platform)?;
        settings.platform = Some(platform);
        self.resolve_sizes(section, &mut settings)?;
        self.resolve_access(section, &mut settings)?;
        self.resolve_sections(&mut settings)?;
        Ok(settings)
    }

    /// Rejects a loopback peer address while the platform is off loopback.
    ///
    /// A different daemon that answers at a seat holder's peer address proves that the holder has terminated. If two
    /// VMs used the same loopback address, each daemon would be that proof against the other, and both would use the
    /// slots of one seat. An address of the VM itself belongs to no other VM, and a platform on loopback has no daemons
    /// on other VMs.
    fn check_peers(
        &self,
        listen: ListenSettings,
        platform: &PlatformSettings,
    ) -> Result<(), SettingsError> {
        let Some(other) = platform
            .off_loopback_key()
            .filter(|_| is_loopback(listen.peers))
        else {
            return Ok(());
        };
        let raw = self.listen.as_ref();
        Err(SettingsError::LoopbackPeers {
            line: raw.map_or(1, |raw| raw.value.peers_line()),
            address: listen.peers,
            other,
        })
    }

    /// Parses a required name.
    fn required_name(
        &self,
        section: SectionParser,
        key: &str,
        raw: &OptionalKey<RawText>,
    ) -> Result<String, SettingsError> {
        let name = section.parse(key, NAME_FORMAT, raw.as_ref(), parse_name)?;
        section.required(key, NAME_FORMAT, name)
    }

    fn peer_key(&self, section: SectionParser) -> Result<PeerKeySource, SettingsError> {
        let peers = section.required("peers", SECTION_FORMAT, self.peers.as_ref())?;
        let section = SectionParser::new("peers", peers.referenced.line());
        let file = peers.value.key_file.as_ref();
        let file = section.parse("key_file", PATH_FORMAT, file, parse_path)?;
        let file = section.required("key_file", PATH_FORMAT, file)?;
        Ok(PeerKeySource::File(file))
    }

    /// Resolves the numbers of seats, slot shares and shards.
    fn resolve_sizes(
        &self,
        section: SectionParser,
        settings: &mut DaemonSettings,
    ) -> Result<(), SettingsError> {
        let seats = self.seats.as_ref();
        let seats = section.parse("seats", SEATS_FORMAT, seats, |text| {
            parse_number(text, 1..=63)
        })?;
        let shares = self.slot_shares.as_ref();
        let shares = section.parse("slot_shares", SLOT_SHARES_FORMAT, shares, |text| {
            parse_number(text, 1..=4096)
        })?;
        let shards = self.shards.as_ref();
        let shards = section.parse("shards", SHARDS_FORMAT, shards, |text| {
            parse_number(text, 1..=1024)
        })?;
        settings.seats = seats.unwrap_or(DEFAULT_SEATS);
        settings.slot_shares = shares.unwrap_or(DEFAULT_SLOT_SHARES);
        settings.shards = shards.unwrap_or(DEFAULT_SHARDS);
        if settings.slot_shares >= u16::from(settings.seats) {
            return Ok(());
        }
        Err(SettingsError::TooFewShares {
            line: line_of(&self.slot_shares),
            shares: settings.slot_shares,
            seats: settings.seats,
        })
    }

    /// Resolves the protection of the administration API.
    fn resolve_access(
        &self,
        section: SectionParser,
        settings: &mut DaemonSettings,
    ) -> Result<(), SettingsError> {
        if let Some(tls) = self.tls.as_ref() {
            settings.tls = Some(tls.value.resolve(tls.referenced.line())?);
        }
        let tokens = self.tokens_file.as_ref();
        settings.tokens_file = section.parse("tokens_file", PATH_FORMAT, tokens, parse_path)?;
        let open = self.allow_open_administration.as_ref();
        let open = section.parse("allow_open_administration", BOOL_FORMAT, open, parse_bool)?;
        settings.allow_open_administration = open.unwrap_or(false);
        if settings.is_administration_protected() {
            return Ok(());
        }
        let listen = self.listen.as_ref();
        Err(SettingsError::OpenAdministration {
            line: listen.map_or(1, |listen| listen.value.administration_line()),
        })
    }

    /// Resolves the optional sections.
    fn resolve_sections(&self, settings: &mut DaemonSettings) -> Result<(), SettingsError> {
        if let Some(log) = self.log.as_ref() {
            settings.log = log.value.resolve(log.referenced.line())?;
        }
        if let Some(traces) = self.traces.as_ref() {
            settings.traces = Some(traces.value.resolve(traces.referenced.line())?);
        }
        if let Some(limits) = self.limits.as_ref() {
            settings.limits = limits.value.resolve(limits.referenced.line())?;
        }
        let Some(drain) = self.drain.as_ref() else {
            return Ok(());
        };
        let section = SectionParser::new("drain", drain.referenced.line());
        let lag = drain.value.balancer_lag.as_ref();
        let lag = section.parse("balancer_lag", BALANCER_LAG_FORMAT, lag, |text| {
            parse_duration(text, BALANCER_LAG_RANGE)
        })?;
        settings.balancer_lag = lag.unwrap_or(DEFAULT_BALANCER_LAG);
        let leave = drain.value.leave_timeout.as_ref();
        let leave = section.parse("leave_timeout", LEAVE_TIMEOUT_FORMAT, leave, |text| {
            parse_duration(text, LEAVE_TIMEOUT_RANGE)
        })?;
        settings.leave_timeout = leave.unwrap_or(DEFAULT_LEAVE_TIMEOUT);
        Ok(())
    }
}

fn line_of(raw: &OptionalKey<RawText>) -> u64 {
    raw.as_ref().map_or(1, |raw| raw.referenced.line())
}
