//! Addresses that a daemon listens on.

use std::net::{
    Ipv4Addr,
    SocketAddr, //
};

use serde::Deserialize;

use crate::{
    SettingsError,
    optional_key::OptionalKey,
    section_parser::{
        RawText,
        SectionParser,
        parse_address,
        parse_own_address, //
    }, //
};

const PEER_ADDRESS_FORMAT: &str =
    "the IP address and port that the other daemons reach, such as `10.0.0.5:7400`";
const LISTEN_ADDRESS_FORMAT: &str = "an IP address and port to listen on, such as `10.0.0.5:8080`";

/// Addresses that a daemon listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenSettings {
    /// The address for callers' requests.
    pub callers: SocketAddr,
    /// The address of the administration API, for operators.
    pub administration: SocketAddr,
    /// The address for the other daemons.
    pub peers: SocketAddr,
    /// The address for the balancer and the metrics scraper, which serves `/healthz`, `/readyz` and `/metrics` in plain
    /// HTTP, without TLS or tokens. `None` serves them on the administration API only.
    pub health: Option<SocketAddr>,
}

impl ListenSettings {
    /// Creates settings with ephemeral ports of the loopback interface.
    pub fn new() -> Self {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            callers: address,
            administration: address,
            peers: address,
            health: None,
        }
    }

    /// Sets the separate plain HTTP address for health, readiness and metrics.
    pub fn with_health(mut self, address: SocketAddr) -> Self {
        self.health = Some(address);
        self
    }

    /// Sets the address of the administration API.
    pub fn with_administration(mut self, address: SocketAddr) -> Self {
        self.administration = address;
        self
    }

    /// Sets the address for callers' requests.
    pub fn with_callers(mut self, address: SocketAddr) -> Self {
        self.callers = address;
        self
    }

    /// Sets the address for the other daemons.
    pub fn with_peers(mut self, address: SocketAddr) -> Self {
        self.peers = address;
        self
    }
}

impl Default for ListenSettings {
    fn default() -> Self {
        Self::new()
    }
}

/// The unparsed section `listen`.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct RawListen {
    callers: OptionalKey<RawText>,
    administration: OptionalKey<RawText>,
    peers: OptionalKey<RawText>,
    health: OptionalKey<RawText>,
}

impl RawListen {
    pub(crate) fn administration_line(&self) -> u64 {
        line_of(self.administration.as_ref())
    }

    pub(crate) fn peers_line(&self) -> u64 {
        line_of(self.peers.as_ref())
    }

    pub(crate) fn resolve(&self, line: u64) -> Result<ListenSettings, SettingsError> {
        let section = SectionParser::new("listen", line);
        let address = |key, raw: &OptionalKey<RawText>| {
            let address = section.parse(key, LISTEN_ADDRESS_FORMAT, raw.as_ref(), parse_address)?;
            section.required(key, LISTEN_ADDRESS_FORMAT, address)
        };
        let listen = ListenSettings {
            callers: address("callers", &self.callers)?,
            administration: address("administration", &self.administration)?,
            peers: self.peer_address(section)?,
            health: section.parse(
                "health",
                LISTEN_ADDRESS_FORMAT,
                self.health.as_ref(),
                parse_address,
            )?,
        };
        self.check_distinct(&listen)?;
        Ok(listen)
    }

    /// Parses the address for the other daemons, which connect to it from other VMs; it must be an address of this VM.
    fn peer_address(&self, section: SectionParser) -> Result<SocketAddr, SettingsError> {
        let address = section.parse(
            "peers",
            PEER_ADDRESS_FORMAT,
            self.peers.as_ref(),
            parse_own_address,
        )?;
        section.required("peers", PEER_ADDRESS_FORMAT, address)
    }

    /// Rejects two listeners on one address.
    fn check_distinct(&self, listen: &ListenSettings) -> Result<(), SettingsError> {
        let all = [
            ("listen.callers", Some(listen.callers), &self.callers),
            (
                "listen.administration",
                Some(listen.administration),
                &self.administration,
            ),
            ("listen.peers", Some(listen.peers), &self.peers),
            ("listen.health", listen.health, &self.health),
        ];
        for (index, (key, address, raw)) in all.iter().enumerate() {
            let earlier = all[..index]
                .iter()
                .find(|(_, other, _)| same_fixed_address(*address, *other));
            let Some((other, ..)) = earlier else { continue };
            return Err(SettingsError::SharedAddress {
                line: line_of(raw.as_ref()),
                key,
                other,
            });
        }
        Ok(())
    }
}

/// Returns whether two addresses are the same; port 0 is ephemeral, so it is never shared.
fn same_fixed_address(one: Option<SocketAddr>, other: Option<SocketAddr>) -> bool {
    one.is_some_and(|address| address.port() != 0) && one == other
}

fn line_of(raw: Option<&RawText>) -> u64 {
    raw.map_or(0, |raw| raw.referenced.line())
}
