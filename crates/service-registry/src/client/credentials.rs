//! Credentials of a client, read from files: password, trusted certificate authorities, client certificate.

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

/// The permission bits of a file mode.
const PERMISSION_BITS: u32 = 0o777;
/// The permission bits of users other than the file's owner.
const GROUP_AND_OTHER_BITS: u32 = 0o077;

/// The credentials of a client, and the certificate authorities that it trusts.
#[derive(Clone, Debug, Default)]
pub struct Credentials {
    /// User and password for HTTP basic authentication.
    pub basic: Option<BasicCredentials>,
    /// PEM file with the trusted certificate authorities; without it no TLS server is trusted.
    pub ca_file: Option<PathBuf>,
    /// The client certificate for TLS.
    pub identity: Option<ClientIdentity>,
}

/// User and password file for HTTP basic authentication.
#[derive(Clone, Debug)]
pub struct BasicCredentials {
    /// The user name.
    pub user: String,
    /// The file that contains the password. It must be accessible only to its owner; line breaks at the end
    /// are ignored.
    pub password_file: PathBuf,
}

/// A client certificate for TLS and its private key, as PEM files.
#[derive(Clone, Debug)]
pub struct ClientIdentity {
    /// The file with the certificate chain.
    pub certificate_file: PathBuf,
    /// The file with the private key. It must be accessible only to its owner.
    pub key_file: PathBuf,
}

/// The value of the `Authorization` header; reads the password file.
pub(super) fn basic_authorization(credentials: &BasicCredentials) -> Result<HeaderValue, SetupError> {
    let path = &credentials.password_file;
    require_owner_only_access(path)?;
    let contents = std::fs::read_to_string(path).map_err(|error| SetupError::file(path, error))?;
    let password = contents.trim_end_matches(['\r', '\n']);
    let encoded = STANDARD.encode(format!("{}:{password}", credentials.user));
    let mut value = HeaderValue::from_str(&format!("Basic {encoded}"))
        .map_err(|_| SetupError::file(path, FileError::InvalidPassword))?;
    value.set_sensitive(true);
    Ok(value)
}

/// A TLS connector that trusts only the configured authorities; the system's trust store is not used.
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
            require_owner_only_access(key_file)?;
            let chain = read_certificates(&identity.certificate_file)?;
            let key =
                PrivateKeyDer::from_pem_file(key_file).map_err(|error| SetupError::file(key_file, error))?;
            builder.with_client_auth_cert(chain, key)?
        }
    };
    Ok(TlsConnector::from(Arc::new(config)))
}

/// Rejects a file with a secret if its mode gives access to users other than its owner.
fn require_owner_only_access(path: &Path) -> Result<(), SetupError> {
    let metadata = std::fs::metadata(path).map_err(|error| SetupError::file(path, error))?;
    let mode = metadata.permissions().mode() & PERMISSION_BITS;
    if mode & GROUP_AND_OTHER_BITS != 0 {
        return Err(SetupError::file(path, FileError::AccessibleToOthers { mode }));
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
