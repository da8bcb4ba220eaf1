//! The files of the administration API's certificate.

use std::path::PathBuf;

use serde::Deserialize;

use crate::{
    SettingsError,
    given_key::GivenKey,
    key_reader::{
        KeyReader,
        RawText,
        parse_path, //
    }, //
};

const CERT_FILE: &str = "the path of a PEM file with the certificate and its chain";
const KEY_FILE: &str = "the path of a PEM file with the certificate's private key";

/// The files of the administration API's certificate. Both are read again when they change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TlsSettings {
    /// The certificate and its chain, in PEM.
    pub cert_file: PathBuf,
    /// The certificate's private key, in PEM.
    pub key_file: PathBuf,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct RawTls {
    cert_file: GivenKey<RawText>,
    key_file: GivenKey<RawText>,
}

impl RawTls {
    pub(crate) fn resolve(&self, line: u64) -> Result<TlsSettings, SettingsError> {
        let reader = KeyReader::new("tls", line);
        let cert = self.cert_file.as_ref();
        let cert = reader.parse("cert_file", CERT_FILE, cert, parse_path)?;
        let key = self.key_file.as_ref();
        let key = reader.parse("key_file", KEY_FILE, key, parse_path)?;
        Ok(TlsSettings {
            cert_file: reader.required("cert_file", CERT_FILE, cert)?,
            key_file: reader.required("key_file", KEY_FILE, key)?,
        })
    }
}
