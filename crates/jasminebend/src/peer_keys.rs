//! Reads the keys that daemons share.

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

/// The keys that daemons share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerKeys {
    /// The one that signs.
    pub(crate) current: PeerKey,
    /// One that is accepted too, while the key is replaced.
    pub(crate) next: Option<PeerKey>,
}

impl PeerKeys {
    pub(crate) fn read(source: &PeerKeySource) -> Result<Self, DaemonError> {
        match source {
            PeerKeySource::Text(text) => Self::parse(text.expose()),
            PeerKeySource::File(path) => Self::parse(&read_secret(path)?),
        }
    }

    /// Reads the keys from the first two lines.
    pub(crate) fn parse(text: &str) -> Result<Self, DaemonError> {
        let mut lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
        let current = PeerKey::from_secret(lines.next().unwrap_or_default())?;
        let next = lines.next().map(PeerKey::from_secret).transpose()?;
        Ok(Self { current, next })
    }

    pub(crate) fn ring(self) -> KeyRing {
        let ring = KeyRing::new(self.current);
        match self.next {
            None => ring,
            Some(next) => ring.with_next(next),
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
