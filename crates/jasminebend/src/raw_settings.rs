//! A settings file as it stands.

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
    given_key::GivenKey,
    key_reader::{
        KeyReader,
        RawText,
        SECTION,
        parse_flag,
        parse_name,
        parse_number,
        parse_path,
        parse_time, //
    },
    limit_settings::RawLimits,
    listen_settings::RawListen,
    log_settings::RawLog,
    platform_settings::{
        RawPlatform,
        is_loopback, //
    },
    tls_settings::RawTls,
    trace_settings::RawTraces, //
};

const NAME: &str = "a name of 1 to 64 letters, digits, `-`, `_` or `.`";
const SEATS: &str = "a whole number from 1 to 63";
const SLOT_SHARES: &str = "a whole number from 1 to 4096";
const SHARDS: &str = "a whole number from 1 to 1024";
const PATH: &str = "the path of a file";
const FLAG: &str = "`true` or `false`";
const LAG: &str = "a time from 0s to 10m with its unit, such as `5s`";
const LEAVE: &str = "a time from 1s to 1h with its unit, such as `1m`";
const LEAVES: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_secs(3600);
const LAGS: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_secs(600);

/// A settings file as it stands: every value is text with its line, and any key may be missing.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct RawSettings {
    listen: GivenKey<Spanned<RawListen>>,
    vm: GivenKey<RawText>,
    failure_domain: GivenKey<RawText>,
    region: GivenKey<RawText>,
    seats: GivenKey<RawText>,
    slot_shares: GivenKey<RawText>,
    shards: GivenKey<RawText>,
    pub(crate) peers: GivenKey<Spanned<RawPeers>>,
    pub(crate) platform: GivenKey<Spanned<RawPlatform>>,
    pub(crate) tls: GivenKey<Spanned<RawTls>>,
    pub(crate) tokens_file: GivenKey<RawText>,
    allow_open_administration: GivenKey<RawText>,
    log: GivenKey<Spanned<RawLog>>,
    traces: GivenKey<Spanned<RawTraces>>,
    limits: GivenKey<Spanned<RawLimits>>,
    drain: GivenKey<Spanned<RawDrain>>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct RawPeers {
    pub(crate) key_file: GivenKey<RawText>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct RawDrain {
    balancer_lag: GivenKey<RawText>,
    leave_timeout: GivenKey<RawText>,
}

impl RawSettings {
    pub(crate) fn resolve(&self) -> Result<DaemonSettings, SettingsError> {
        let reader = KeyReader::new("", 1);
        let listen = reader.required("listen", SECTION, self.listen.as_ref())?;
        let platform = reader.required("platform", SECTION, self.platform.as_ref())?;
        let listen = listen.value.resolve(listen.referenced.line())?;
        let domain = self.name(reader, "failure_domain", &self.failure_domain)?;
        let mut settings =
            DaemonSettings::new(listen, DomainName::from(domain), self.peer_key(reader)?);
        settings.vm = Some(VmName::from(self.name(reader, "vm", &self.vm)?));
        settings.region = self.name(reader, "region", &self.region)?;
        let platform = platform.value.resolve(platform.referenced.line())?;
        self.check_peers(listen, &platform)?;
        settings.platform = Some(platform);
        self.resolve_sizes(reader, &mut settings)?;
        self.resolve_access(reader, &mut settings)?;
        self.resolve_sections(&mut settings)?;
        Ok(settings)
    }

    /// A daemon that answers at a seat holder's peer address proves that the holder is gone. With
    /// the same loopback address on two VMs each would be that proof against the other, and both
    /// would work with one seat's slots. An address of the VM itself is nobody else's, and a
    /// platform on loopback has no daemons of other VMs.
    fn check_peers(
        &self,
        listen: ListenSettings,
        platform: &PlatformSettings,
    ) -> Result<(), SettingsError> {
        let Some(other) = platform
            .off_loopback()
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

    fn name(
        &self,
        reader: KeyReader,
        key: &str,
        raw: &GivenKey<RawText>,
    ) -> Result<String, SettingsError> {
        let name = reader.parse(key, NAME, raw.as_ref(), parse_name)?;
        reader.required(key, NAME, name)
    }

    fn peer_key(&self, reader: KeyReader) -> Result<PeerKeySource, SettingsError> {
        let peers = reader.required("peers", SECTION, self.peers.as_ref())?;
        let reader = KeyReader::new("peers", peers.referenced.line());
        let file = peers.value.key_file.as_ref();
        let file = reader.parse("key_file", PATH, file, parse_path)?;
        let file = reader.required("key_file", PATH, file)?;
        Ok(PeerKeySource::File(file))
    }

    fn resolve_sizes(
        &self,
        reader: KeyReader,
        settings: &mut DaemonSettings,
    ) -> Result<(), SettingsError> {
        let seats = self.seats.as_ref();
        let seats = reader.parse("seats", SEATS, seats, |text| parse_number(text, 1..=63))?;
        let shares = self.slot_shares.as_ref();
        let shares = reader.parse("slot_shares", SLOT_SHARES, shares, |text| {
            parse_number(text, 1..=4096)
        })?;
        let shards = self.shards.as_ref();
        let shards = reader.parse("shards", SHARDS, shards, |text| {
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

    fn resolve_access(
        &self,
        reader: KeyReader,
        settings: &mut DaemonSettings,
    ) -> Result<(), SettingsError> {
        if let Some(tls) = self.tls.as_ref() {
            settings.tls = Some(tls.value.resolve(tls.referenced.line())?);
        }
        let tokens = self.tokens_file.as_ref();
        settings.tokens_file = reader.parse("tokens_file", PATH, tokens, parse_path)?;
        let open = self.allow_open_administration.as_ref();
        let open = reader.parse("allow_open_administration", FLAG, open, parse_flag)?;
        settings.allow_open_administration = open.unwrap_or(false);
        if settings.administration_guarded() {
            return Ok(());
        }
        let listen = self.listen.as_ref();
        Err(SettingsError::OpenAdministration {
            line: listen.map_or(1, |listen| listen.value.administration_line()),
        })
    }

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
        let reader = KeyReader::new("drain", drain.referenced.line());
        let lag = drain.value.balancer_lag.as_ref();
        let lag = reader.parse("balancer_lag", LAG, lag, |text| parse_time(text, LAGS))?;
        settings.balancer_lag = lag.unwrap_or(DEFAULT_BALANCER_LAG);
        let leave = drain.value.leave_timeout.as_ref();
        let leave = reader.parse("leave_timeout", LEAVE, leave, |text| {
            parse_time(text, LEAVES)
        })?;
        settings.leave_timeout = leave.unwrap_or(DEFAULT_LEAVE_TIMEOUT);
        Ok(())
    }
}

fn line_of(raw: &GivenKey<RawText>) -> u64 {
    raw.as_ref().map_or(1, |raw| raw.referenced.line())
}
