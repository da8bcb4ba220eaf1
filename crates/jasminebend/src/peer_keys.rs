//! Keys that daemons share.

use std::{
    fs,
    path::Path, //
};

use jasminebend_wire::{
    KeyRing,
    PeerKey, //
};

use crate::{
    DaemonError,
    PeerKeySource, //
};

/// The keys that daemons share to authenticate messages to each other.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerKeys {
    /// The key that signs messages.
    pub(crate) current: PeerKey,
    /// A second key that is accepted while the current one is being replaced; `None` if there is none.
    pub(crate) next: Option<PeerKey>,
}

impl PeerKeys {
    /// Reads the keys from their source.
    pub(crate) fn read(source: &PeerKeySource) -> Result<Self, DaemonError> {
        match source {
            PeerKeySource::Text(text) => Self::parse(text.expose()),
            PeerKeySource::File(path) => Self::parse(&read_secret(path)?),
        }
    }

    /// Parses the keys from the first two lines that are not blank.
    pub(crate) fn parse(text: &str) -> Result<Self, DaemonError> {
        let mut lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
        let current = PeerKey::from_secret(lines.next().unwrap_or_default())?;
        let next = lines.next().map(PeerKey::from_secret).transpose()?;
        Ok(Self { current, next })
    }

    /// Returns a key ring of these keys.
    pub(crate) fn key_ring(self) -> KeyRing {
        let ring = KeyRing::new(self.current);
        match self.next {
            None => ring,
            Some(next) => ring.with_next_key(next),
        }
    }
}

/// Reads a file that holds a secret.
pub(crate) fn read_secret(path: &Path) -> Result<String, DaemonError> {
    fs::read_to_string(path).map_err(|source| DaemonError::Secret {
        path: path.to_owned(),
        source,
    })
}
