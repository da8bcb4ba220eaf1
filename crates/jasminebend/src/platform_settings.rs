//! Settings of the platform's services.

use std::{
    net::SocketAddr,
    ops::RangeInclusive,
    path::PathBuf,
    time::Duration, //
};

use serde::Deserialize;

use crate::{
    SettingsError,
    optional_key::OptionalKey,
    section_parser::{
        RawText,
        SectionParser,
        parse_duration, //
        parse_path,
        parse_remote_address,
    }, //
};

const SERVICE_ADDRESS_FORMAT: &str =
    "the IP address and port of the service, such as `10.0.0.9:7000`";
const TIMEOUT_FORMAT: &str = "a time from 10ms to 1m with its unit, such as `2s`";
const TIMEOUT_RANGE: RangeInclusive<Duration> = Duration::from_millis(10)..=Duration::from_secs(60);
const TOKEN_FILE_FORMAT: &str = "the path of a file";

/// Addresses and timeouts of the platform's services.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// The address of the table service.
    pub table: SocketAddr,
    /// The address of the object store.
    pub objects: SocketAddr,
    /// The address of the VM list.
    pub vm_list: SocketAddr,
    /// The timeout of a table service request.
    pub table_timeout: Duration,
    /// The timeout of an object store request.
    pub objects_timeout: Duration,
    /// The timeout of a VM list request.
    pub vm_list_timeout: Duration,
    /// The timeout of a worker request.
    pub worker_timeout: Duration,
    /// The file with the bearer token for the platform; `None` if the platform asks for no token.
    pub token_file: Option<PathBuf>,
}

impl PlatformSettings {
    /// Returns the settings key of the first service that is off loopback, and so reachable from other VMs; `None` if
    /// all are on loopback.
    pub(crate) fn off_loopback_key(&self) -> Option<&'static str> {
        let services = [
            ("platform.table", self.table),
            ("platform.objects", self.objects),
            ("platform.vm_list", self.vm_list),
        ];
        let off_loopback = services.iter().find(|(_, address)| !is_loopback(*address));
        off_loopback.map(|(key, _)| *key)
    }
}

/// Returns whether an address is on loopback, including mapped ones such as `[::ffff:127.0.0.1]`.
pub(crate) fn is_loopback(address: SocketAddr) -> bool {
    address.ip().to_canonical().is_loopback()
}

/// The unparsed section `platform`.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct RawPlatform {
    table: OptionalKey<RawText>,
    objects: OptionalKey<RawText>,
    vm_list: OptionalKey<RawText>,
    table_timeout: OptionalKey<RawText>,
    objects_timeout: OptionalKey<RawText>,
    vm_list_timeout: OptionalKey<RawText>,
    worker_timeout: OptionalKey<RawText>,
    pub(crate) token_file: OptionalKey<RawText>,
}

impl RawPlatform {
    pub(crate) fn resolve(&self, line: u64) -> Result<PlatformSettings, SettingsError> {
        let section = SectionParser::new("platform", line);
        let address = |key, raw: &OptionalKey<RawText>| {
            let address = section.parse(
                key,
                SERVICE_ADDRESS_FORMAT,
                raw.as_ref(),
                parse_remote_address,
            )?;
            section.required(key, SERVICE_ADDRESS_FORMAT, address)
        };
        let timeout = |key, raw: &OptionalKey<RawText>, seconds| {
            let parse = |text: &str| parse_duration(text, TIMEOUT_RANGE);
            let timeout = section.parse(key, TIMEOUT_FORMAT, raw.as_ref(), parse)?;
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
            token_file: section.parse("token_file", TOKEN_FILE_FORMAT, token, parse_path)?,
        })
    }
}
