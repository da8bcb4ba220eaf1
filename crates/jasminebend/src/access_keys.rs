//! The administration API's certificate and operator tokens, which can be replaced without a restart.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
    sync::{
        Arc,
        PoisonError,
        RwLock, //
    }, //
};

use rustls::ServerConfig;
use rustls_pki_types::{
    CertificateDer,
    PrivateKeyDer,
    pem::PemObject, //
};

use crate::{
    AccessError,
    DaemonSettings,
    OperatorIdentity,
    TlsError,
    TlsSettings,
    TokenError,
    TokenTable, //
};

/// The administration API's TLS configuration and operator tokens, with the files they come from.
#[derive(Debug)]
pub struct AccessKeys {
    tls: Option<TlsSettings>,
    tokens_file: Option<PathBuf>,
    current: RwLock<LoadedKeys>,
}

/// The keys as last loaded; `None` where the settings name no file.
#[derive(Clone, Debug)]
struct LoadedKeys {
    tls: Option<Arc<ServerConfig>>,
    tokens: Option<Arc<TokenTable>>,
}

impl AccessKeys {
    /// Reads the certificate, private key and tokens from the files that the settings name.
    ///
    /// # Errors
    ///
    /// Returns an [`AccessError`] if a file cannot be read or used.
    pub fn load(settings: &DaemonSettings) -> Result<Self, AccessError> {
        let tls = settings.tls.clone();
        let tokens_file = settings.tokens_file.clone();
        let current = RwLock::new(read_keys(tls.as_ref(), tokens_file.as_deref())?);
        Ok(Self {
            tls,
            tokens_file,
            current,
        })
    }

    /// Reads the files again and replaces the current keys if all files are valid.
    ///
    /// # Errors
    ///
    /// Returns an [`AccessError`] if a file cannot be read or used; the current keys then stay.
    pub fn reload(&self) -> Result<(), AccessError> {
        let loaded = read_keys(self.tls.as_ref(), self.tokens_file.as_deref())?;
        *self.current.write().unwrap_or_else(PoisonError::into_inner) = loaded;
        Ok(())
    }

    /// Returns the current TLS configuration, or `None` if no certificate is set.
    pub fn tls(&self) -> Option<Arc<ServerConfig>> {
        self.loaded().tls
    }

    /// Returns the operator whom a bearer token belongs to, or `None` if the token is missing or unknown.
    ///
    /// Without a tokens file every request is anonymous and may do everything.
    pub fn identify(&self, token: Option<&str>) -> Option<OperatorIdentity> {
        match self.loaded().tokens {
            None => Some(OperatorIdentity::anonymous()),
            Some(tokens) => tokens.identify(token?),
        }
    }

    /// Lists the files that the certificate, private key and tokens are read from.
    pub fn files(&self) -> Vec<PathBuf> {
        let tls = self.tls.iter();
        let tls = tls.flat_map(|tls| [&tls.cert_file, &tls.key_file]);
        tls.chain(&self.tokens_file).cloned().collect()
    }

    fn loaded(&self) -> LoadedKeys {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        current.clone()
    }
}

fn read_keys(tls: Option<&TlsSettings>, tokens: Option<&Path>) -> Result<LoadedKeys, AccessError> {
    Ok(LoadedKeys {
        tls: tls.map(read_tls).transpose()?,
        tokens: tokens.map(read_tokens).transpose()?,
    })
}

fn read_tokens(path: &Path) -> Result<Arc<TokenTable>, TokenError> {
    let text = fs::read_to_string(path).map_err(|error| TokenError::Unreadable {
        reason: error.to_string(),
    })?;
    TokenTable::from_yaml(&text).map(Arc::new)
}

fn read_tls(settings: &TlsSettings) -> Result<Arc<ServerConfig>, TlsError> {
    let certificate = |error: rustls_pki_types::pem::Error| TlsError::Certificate {
        reason: error.to_string(),
    };
    let chain: Result<Vec<CertificateDer<'static>>, _> =
        CertificateDer::pem_file_iter(&settings.cert_file)
            .map_err(certificate)?
            .collect();
    let chain = chain.map_err(certificate)?;
    let key = PrivateKeyDer::from_pem_file(&settings.key_file).map_err(|error| TlsError::Key {
        reason: error.to_string(),
    })?;
    let unusable = |error: rustls::Error| TlsError::Unusable {
        reason: error.to_string(),
    };
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(unusable)?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .map_err(unusable)?;
    config.alpn_protocols = vec![b"http/1.1".to_vec()];
    Ok(Arc::new(config))
}
