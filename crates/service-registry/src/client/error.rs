//! Why a registry can't be called, or gave no response that can be used.

use crate::eureka::body::BodyError;
use futures_rustls::rustls;
use pooler_routing::TimeDelta;
use rustls_pki_types::pem;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Why a server gave no response that can be used.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection.
    #[error("no connection: {0}")]
    Connect(#[source] io::Error),
    /// The connection broke, or the response is no HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The call timed out.
    #[error("no answer within {0:?}")]
    TimedOut(Duration),
    /// The response's status is no success.
    #[error("status {status}")]
    Status {
        /// The status.
        status: u16,
        /// When to come back, if the response says so.
        retry_after: Option<TimeDelta>,
    },
    /// The body is of a type that is not read.
    #[error("a body of type '{content_type}'")]
    UnsupportedContentType {
        /// The start of the type.
        content_type: String,
    },
    /// The body can't be decompressed.
    #[error("the body: {0}")]
    Decompression(#[source] io::Error),
    /// The body can't be read.
    #[error("the body: {0}")]
    Body(#[from] BodyError),
}

/// Why a server can't be called at all, whatever it would answer.
#[derive(Debug, thiserror::Error)]
pub enum SetupError {
    /// Its URL can't be called.
    #[error("url '{url}': {error}")]
    Url {
        /// The URL, without what may be secret in it.
        url: String,
        /// What is wrong with it.
        error: UrlError,
    },
    /// A file can't be used.
    #[error("{}: {error}", path.display())]
    File {
        /// Its path.
        path: PathBuf,
        /// What is wrong with it.
        error: FileError,
    },
    /// TLS can't be set up.
    #[error("tls: {0}")]
    Tls(#[from] rustls::Error),
}

impl SetupError {
    /// The error of the file at `path`.
    pub(super) fn file(path: &Path, error: impl Into<FileError>) -> Self {
        Self::File { path: path.to_owned(), error: error.into() }
    }
}

/// What is wrong with a server's URL.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UrlError {
    /// It is no URL.
    #[error("no URL")]
    Malformed,
    /// Its scheme is another one.
    #[error("neither http nor https")]
    UnsupportedScheme,
    /// It names no host.
    #[error("no host")]
    MissingHost,
    /// It contains a user, and perhaps a password.
    #[error("a user stands in it; name a user and a password file instead")]
    ContainsUser,
    /// Its host is a name and no address was given.
    #[error("the host is a name, and names are not looked up: give 'at'")]
    HostIsName,
    /// It contains a query.
    #[error("a query stands in it")]
    ContainsQuery,
}

/// What is wrong with a file.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// It can't be read.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// It holds a secret, and others than its owner may use it.
    #[error("its mode is {mode:03o}: others than its owner may use it, so it is not used")]
    NotPrivate {
        /// Its permission bits.
        mode: u32,
    },
    /// It is no PEM.
    #[error("{0}")]
    Pem(#[from] pem::Error),
    /// It holds no certificate.
    #[error("no certificate stands in it")]
    NoCertificate,
    /// A certificate in it can't be used.
    #[error("{0}")]
    Certificate(#[from] rustls::Error),
    /// Its password contains characters that no header can.
    #[error("not fit for a header")]
    InvalidPassword,
}
