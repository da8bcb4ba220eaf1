//! TLS connections to the administration API.

use std::{
    net::IpAddr,
    path::Path,
    sync::Arc, //
};

use rustls::{
    ClientConfig,
    RootCertStore, //
};
use rustls_pki_types::{
    CertificateDer,
    ServerName,
    pem::PemObject, //
};
use tokio::net::TcpStream;
use tokio_rustls::{
    TlsConnector,
    client::TlsStream, //
};

use crate::UsageError;

/// Returns a connector that trusts the CA certificates in a PEM file.
pub(crate) fn load_connector(ca_file: &Path) -> Result<TlsConnector, UsageError> {
    let invalid_file = |reason: String| UsageError::InvalidFile {
        path: ca_file.to_owned(),
        reason,
    };
    let mut roots = RootCertStore::empty();
    let certificates = CertificateDer::pem_file_iter(ca_file);
    for certificate in certificates.map_err(|error| invalid_file(error.to_string()))? {
        let certificate = certificate.map_err(|error| invalid_file(error.to_string()))?;
        let result = roots.add(certificate);
        result.map_err(|error| invalid_file(error.to_string()))?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| invalid_file(error.to_string()))?
        .with_root_certificates(roots)
        .with_no_client_auth();
    Ok(TlsConnector::from(Arc::new(config)))
}

/// Performs the TLS handshake; the server's certificate must contain the IP address.
pub(crate) async fn handshake(
    connector: &TlsConnector,
    ip: IpAddr,
    stream: TcpStream,
) -> std::io::Result<TlsStream<TcpStream>> {
    let name = ServerName::IpAddress(ip.into());
    connector.connect(name, stream).await
}
