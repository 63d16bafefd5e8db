//! Errors of the registry client: calls without a usable response, and configurations that can't be used.

use crate::eureka::body::BodyError;
use futures_rustls::rustls;
use pooler_routing::TimeDelta;
use rustls_pki_types::pem;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Why a call returned no usable response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The TCP connection or the TLS handshake failed.
    #[error("connection failed: {0}")]
    Connect(#[source] io::Error),
    /// The connection ended during the exchange, or the response is not valid HTTP.
    #[error("HTTP exchange failed: {0}")]
    Http(#[from] hyper::Error),
    /// The call exceeded this timeout.
    #[error("no complete response within {0:?}")]
    TimedOut(Duration),
    /// The response has a status other than 2xx.
    #[error("HTTP status {status}")]
    Status {
        /// The HTTP status code.
        status: u16,
        /// The delay of the `Retry-After` header, if it gives one in seconds.
        retry_after: Option<TimeDelta>,
    },
    /// The content type of the body is not supported, or the response has none.
    #[error("unsupported content type '{content_type}'")]
    UnsupportedContentType {
        /// The content type, cut to 80 characters; empty if the response has none.
        content_type: String,
    },
    /// The body is not valid gzip data.
    #[error("cannot decompress the response body: {0}")]
    Decompression(#[source] io::Error),
    /// The body can't be decoded.
    #[error("invalid response body: {0}")]
    Body(#[from] BodyError),
}

/// Why a client can't be set up: an unusable URL, file or TLS configuration.
#[derive(Debug, thiserror::Error)]
pub enum SetupError {
    /// The URL of a server can't be used.
    #[error("registry URL '{url}': {error}")]
    Url {
        /// The URL without a user name and password.
        url: String,
        /// Why the URL can't be used.
        error: UrlError,
    },
    /// A password, certificate or key file can't be used.
    #[error("{}: {error}", path.display())]
    File {
        /// The path of the file.
        path: PathBuf,
        /// Why the file can't be used.
        error: FileError,
    },
    /// The client certificate and its key can't be used for TLS.
    #[error("cannot set up TLS with the client certificate: {0}")]
    Tls(#[from] rustls::Error),
}

impl SetupError {
    /// Creates an error about the file at `path`.
    pub(super) fn file(path: &Path, error: impl Into<FileError>) -> Self {
        Self::File { path: path.to_owned(), error: error.into() }
    }
}

/// Why the URL of a server can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UrlError {
    /// The text is not a valid URL.
    #[error("not a valid URL")]
    Malformed,
    /// The scheme is missing or is neither `http` nor `https`.
    #[error("the scheme is neither http nor https")]
    UnsupportedScheme,
    /// The URL has no host.
    #[error("the host is missing")]
    MissingHost,
    /// The URL contains a user name, and perhaps a password.
    #[error("user names and passwords are not allowed in the URL; set 'user' with a password file instead")]
    ContainsUser,
    /// The host is a name, and the configuration gives no address for it.
    #[error("host names are not looked up; set the server's address with 'at'")]
    HostIsName,
    /// The URL contains a query.
    #[error("a query is not allowed in the URL")]
    ContainsQuery,
}

/// Why a password, certificate or key file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file can't be read.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The file contains a secret, and its mode gives access to users other than its owner.
    #[error("file mode is {mode:03o}, but a file with a secret must be accessible only to its owner")]
    AccessibleToOthers {
        /// The permission bits of the file.
        mode: u32,
    },
    /// The file can't be read, or contains no valid PEM data.
    #[error("cannot read PEM data: {0}")]
    Pem(#[from] pem::Error),
    /// The file contains no certificate.
    #[error("file contains no certificate")]
    NoCertificate,
    /// A certificate in the file can't be used as a trusted authority.
    #[error("unusable CA certificate: {0}")]
    Certificate(#[from] rustls::Error),
    /// The password contains characters that an HTTP header can't carry.
    #[error("password contains characters that are not allowed in an HTTP header")]
    InvalidPassword,
}
