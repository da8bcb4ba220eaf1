//! How the platform's services are reached.

use std::{
    net::SocketAddr,
    ops::RangeInclusive,
    path::PathBuf,
    time::Duration, //
};

use serde::Deserialize;

use crate::{
    SettingsError,
    given_key::GivenKey,
    key_reader::{
        KeyReader,
        RawText,
        parse_path,
        parse_remote,
        parse_time, //
    }, //
};

const ADDRESS: &str = "the IP address and port of the service, such as `10.0.0.9:7000`";
const TIMEOUT: &str = "a time from 10ms to 1m with its unit, such as `2s`";
const TIMEOUTS: RangeInclusive<Duration> = Duration::from_millis(10)..=Duration::from_secs(60);
const TOKEN_FILE: &str = "the path of a file";

/// How the platform's services are reached.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// The table service.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The VM list.
    pub vm_list: SocketAddr,
    /// How long an answer of the table service may take.
    pub table_timeout: Duration,
    /// How long an answer of the object store may take.
    pub objects_timeout: Duration,
    /// How long an answer of the VM list may take.
    pub vm_list_timeout: Duration,
    /// How long a worker's answer may take.
    pub worker_timeout: Duration,
    /// The file with the bearer token that the platform asks for.
    pub token_file: Option<PathBuf>,
}

impl PlatformSettings {
    /// The key of a service that other VMs can share, if there is one.
    pub(crate) fn off_loopback(&self) -> Option<&'static str> {
        let services = [
            ("platform.table", self.table),
            ("platform.objects", self.objects),
            ("platform.vm_list", self.vm_list),
        ];
        let shared = services.iter().find(|(_, address)| !is_loopback(*address));
        shared.map(|(key, _)| *key)
    }
}

/// Tells whether an address leads to this VM alone, also one such as `[::ffff:127.0.0.1]`.
pub(crate) fn is_loopback(address: SocketAddr) -> bool {
    address.ip().to_canonical().is_loopback()
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct RawPlatform {
    table: GivenKey<RawText>,
    objects: GivenKey<RawText>,
    vm_list: GivenKey<RawText>,
    table_timeout: GivenKey<RawText>,
    objects_timeout: GivenKey<RawText>,
    vm_list_timeout: GivenKey<RawText>,
    worker_timeout: GivenKey<RawText>,
    pub(crate) token_file: GivenKey<RawText>,
}

impl RawPlatform {
    pub(crate) fn resolve(&self, line: u64) -> Result<PlatformSettings, SettingsError> {
        let reader = KeyReader::new("platform", line);
        let address = |key, raw: &GivenKey<RawText>| {
            let address = reader.parse(key, ADDRESS, raw.as_ref(), parse_remote)?;
            reader.required(key, ADDRESS, address)
        };
        let timeout = |key, raw: &GivenKey<RawText>, seconds| {
            let parse = |text: &str| parse_time(text, TIMEOUTS);
            let timeout = reader.parse(key, TIMEOUT, raw.as_ref(), parse)?;
            Ok(timeout.unwrap_or(Duration::from_secs(seconds)))
        };
        let token = self.token_file.as_ref();
        Ok(PlatformSettings {
            table: address("table", &self.table)?,
            objects: address("objects", &self.objects)?,
            vm_list: address("vm_list", &self.vm_list)?,
            table_timeout: timeout("table_timeout", &self.table_timeout, 2)?,
            objects_timeout: timeout("objects_timeout", &self.objects_timeout, 5)?,
            vm_list_timeout: timeout("vm_list_timeout", &self.vm_list_timeout, 2)?,
            worker_timeout: timeout("worker_timeout", &self.worker_timeout, 1)?,
            token_file: reader.parse("token_file", TOKEN_FILE, token, parse_path)?,
        })
    }
}
