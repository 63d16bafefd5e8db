//! The files that give a client its password, its trusted authorities and its own certificate.

use super::error::{FileError, SetupError};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use futures_rustls::TlsConnector;
use futures_rustls::rustls::{ClientConfig, RootCertStore};
use hyper::header::HeaderValue;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The permission bits of a file.
const PERMISSION_BITS: u32 = 0o777;
/// The permission bits of others than a file's owner.
const GROUP_AND_OTHER_BITS: u32 = 0o077;

/// How a client authenticates itself and its servers.
#[derive(Clone, Debug, Default)]
pub struct Credentials {
    /// The user of HTTP basic authentication.
    pub basic: Option<BasicCredentials>,
    /// The certificates of the authorities that are trusted, as PEM.
    pub ca_file: Option<PathBuf>,
    /// The client's own certificate.
    pub identity: Option<ClientIdentity>,
}

/// A user of HTTP basic authentication.
#[derive(Clone, Debug)]
pub struct BasicCredentials {
    /// The user's name.
    pub user: String,
    /// The file that holds the password.
    pub password_file: PathBuf,
}

/// A client's own certificate and key, as PEM.
#[derive(Clone, Debug)]
pub struct ClientIdentity {
    /// The file of the certificate.
    pub certificate_file: PathBuf,
    /// The file of the key.
    pub key_file: PathBuf,
}

/// The `Authorization` header of a user.
pub(super) fn basic_authorization(credentials: &BasicCredentials) -> Result<HeaderValue, SetupError> {
    let path = &credentials.password_file;
    require_private(path)?;
    let text = std::fs::read_to_string(path).map_err(|error| SetupError::file(path, error))?;
    let password = text.trim_end_matches(['\r', '\n']);
    let encoded = STANDARD.encode(format!("{}:{password}", credentials.user));
    let mut value = HeaderValue::from_str(&format!("Basic {encoded}"))
        .map_err(|_| SetupError::file(path, FileError::InvalidPassword))?;
    value.set_sensitive(true);
    Ok(value)
}

/// A TLS connector that trusts the configured authorities and no others.
pub(super) fn tls_connector(credentials: &Credentials) -> Result<TlsConnector, SetupError> {
    let mut roots = RootCertStore::empty();
    if let Some(path) = &credentials.ca_file {
        for certificate in read_certificates(path)? {
            roots.add(certificate).map_err(|error| SetupError::file(path, error))?;
        }
    }
    let builder = ClientConfig::builder().with_root_certificates(roots);
    let config = match &credentials.identity {
        None => builder.with_no_client_auth(),
        Some(identity) => {
            let key_file = &identity.key_file;
            require_private(key_file)?;
            let chain = read_certificates(&identity.certificate_file)?;
            let key =
                PrivateKeyDer::from_pem_file(key_file).map_err(|error| SetupError::file(key_file, error))?;
            builder.with_client_auth_cert(chain, key)?
        }
    };
    Ok(TlsConnector::from(Arc::new(config)))
}

/// Rejects a file of a secret that others than its owner may use.
fn require_private(path: &Path) -> Result<(), SetupError> {
    let metadata = std::fs::metadata(path).map_err(|error| SetupError::file(path, error))?;
    let mode = metadata.permissions().mode() & PERMISSION_BITS;
    if mode & GROUP_AND_OTHER_BITS != 0 {
        return Err(SetupError::file(path, FileError::NotPrivate { mode }));
    }
    Ok(())
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, SetupError> {
    let certificates: Vec<_> = CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect)
        .map_err(|error| SetupError::file(path, error))?;
    if certificates.is_empty() {
        return Err(SetupError::file(path, FileError::NoCertificate));
    }
    Ok(certificates)
}
