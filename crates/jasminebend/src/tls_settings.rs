//! Files of the administration API's certificate.

use std::path::PathBuf;

use serde::Deserialize;

use crate::{
    SettingsError,
    optional_key::OptionalKey,
    section_parser::{
        RawText,
        SectionParser,
        parse_path, //
    }, //
};

const CERT_FILE_FORMAT: &str = "the path of a PEM file with the certificate and its chain";
const KEY_FILE_FORMAT: &str = "the path of a PEM file with the certificate's private key";

/// Files of the administration API's certificate. They are read again when one of them changes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TlsSettings {
    /// The PEM file with the certificate and its chain.
    pub cert_file: PathBuf,
    /// The PEM file with the certificate's private key.
    pub key_file: PathBuf,
}

/// The unparsed section `tls`.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct RawTls {
    cert_file: OptionalKey<RawText>,
    key_file: OptionalKey<RawText>,
}

impl RawTls {
    pub(crate) fn resolve(&self, line: u64) -> Result<TlsSettings, SettingsError> {
        let section = SectionParser::new("tls", line);
        let cert = self.cert_file.as_ref();
        let cert = section.parse("cert_file", CERT_FILE_FORMAT, cert, parse_path)?;
        let key = self.key_file.as_ref();
        let key = section.parse("key_file", KEY_FILE_FORMAT, key, parse_path)?;
        Ok(TlsSettings {
            cert_file: section.required("cert_file", CERT_FILE_FORMAT, cert)?,
            key_file: section.required("key_file", KEY_FILE_FORMAT, key)?,
        })
    }
}
