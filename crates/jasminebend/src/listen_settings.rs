//! Where the daemon listens.

use std::net::{
    Ipv4Addr,
    SocketAddr, //
};

use serde::Deserialize;

use crate::{
    SettingsError,
    given_key::GivenKey,
    key_reader::{
        KeyReader,
        RawText,
        parse_address,
        parse_own_address, //
    }, //
};

const PEER_ADDRESS: &str =
    "the IP address and port that the other daemons reach, such as `10.0.0.5:7400`";
const ADDRESS: &str = "an IP address and port to listen on, such as `10.0.0.5:8080`";

/// Where the daemon listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenSettings {
    /// For callers' requests.
    pub callers: SocketAddr,
    /// For operators: the administration API.
    pub administration: SocketAddr,
    /// For the other daemons.
    pub peers: SocketAddr,
    /// For the balancer and the metrics scraper: `/healthz`, `/readyz` and `/metrics` in plain
    /// HTTP, whatever guards the administration API. `None` leaves them to that API alone.
    pub health: Option<SocketAddr>,
}

impl ListenSettings {
    /// Listens on ephemeral ports of the loopback interface.
    pub fn new() -> Self {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            callers: address,
            administration: address,
            peers: address,
            health: None,
        }
    }

    /// Serves health, readiness and metrics in plain HTTP as well.
    pub fn with_health(mut self, address: SocketAddr) -> Self {
        self.health = Some(address);
        self
    }

    /// Sets where the administration API listens.
    pub fn with_administration(mut self, address: SocketAddr) -> Self {
        self.administration = address;
        self
    }

    /// Sets where callers' requests arrive.
    pub fn with_callers(mut self, address: SocketAddr) -> Self {
        self.callers = address;
        self
    }

    /// Sets where the other daemons reach this one.
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

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct RawListen {
    callers: GivenKey<RawText>,
    administration: GivenKey<RawText>,
    peers: GivenKey<RawText>,
    health: GivenKey<RawText>,
}

impl RawListen {
    pub(crate) fn administration_line(&self) -> u64 {
        line_of(self.administration.as_ref())
    }

    pub(crate) fn peers_line(&self) -> u64 {
        line_of(self.peers.as_ref())
    }

    pub(crate) fn resolve(&self, line: u64) -> Result<ListenSettings, SettingsError> {
        let reader = KeyReader::new("listen", line);
        let address = |key, raw: &GivenKey<RawText>| {
            let address = reader.parse(key, ADDRESS, raw.as_ref(), parse_address)?;
            reader.required(key, ADDRESS, address)
        };
        let listen = ListenSettings {
            callers: address("callers", &self.callers)?,
            administration: address("administration", &self.administration)?,
            peers: self.peer_address(reader)?,
            health: reader.parse("health", ADDRESS, self.health.as_ref(), parse_address)?,
        };
        self.check_apart(&listen)?;
        Ok(listen)
    }

    /// The other daemons are told this address, so that it must be this VM's own.
    fn peer_address(&self, reader: KeyReader) -> Result<SocketAddr, SettingsError> {
        let address = reader.parse(
            "peers",
            PEER_ADDRESS,
            self.peers.as_ref(),
            parse_own_address,
        )?;
        reader.required("peers", PEER_ADDRESS, address)
    }

    fn check_apart(&self, listen: &ListenSettings) -> Result<(), SettingsError> {
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
        for (place, (key, address, raw)) in all.iter().enumerate() {
            let taken = all[..place]
                .iter()
                .find(|(_, other, _)| shared(*address, *other));
            let Some((other, ..)) = taken else { continue };
            return Err(SettingsError::SharedAddress {
                line: line_of(raw.as_ref()),
                key,
                other,
            });
        }
        Ok(())
    }
}

fn shared(one: Option<SocketAddr>, other: Option<SocketAddr>) -> bool {
    one.is_some_and(|address| address.port() != 0) && one == other
}

fn line_of(raw: Option<&RawText>) -> u64 {
    raw.map_or(0, |raw| raw.referenced.line())
}
