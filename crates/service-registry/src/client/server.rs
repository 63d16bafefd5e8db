//! The address of a registry's server.

use super::error::{SetupError, UrlError};
use hyper::Uri;
use std::net::SocketAddr;

const HTTP_PORT: u16 = 80;
const HTTPS_PORT: u16 = 443;

/// A server of a registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryServer {
    is_tls: bool,
    host: String,
    address: SocketAddr,
    authority: String,
    path: String,
}

impl RegistryServer {
    /// A server from a URL such as `http://127.0.0.1:8761/eureka`. Host names are not looked up: `address` is where a
    /// host that is a name listens, and the name serves to check its certificate.
    ///
    /// # Errors
    ///
    /// When the URL can't be called.
    pub fn new(url: &str, address: Option<SocketAddr>) -> Result<Self, SetupError> {
        Self::parse(url, address).map_err(|error| {
            // What stands before '@' may be secret.
            let shown = url.rsplit_once('@').map_or(url, |(_, rest)| rest);
            SetupError::Url { url: shown.to_owned(), error }
        })
    }

    fn parse(url: &str, address: Option<SocketAddr>) -> Result<Self, UrlError> {
        let uri: Uri = url.parse().map_err(|_| UrlError::Malformed)?;
        let is_tls = match uri.scheme_str() {
            Some("http") => false,
            Some("https") => true,
            _ => return Err(UrlError::UnsupportedScheme),
        };
        let authority = uri.authority().ok_or(UrlError::MissingHost)?;
        if authority.as_str().contains('@') {
            return Err(UrlError::ContainsUser);
        }
        let host = authority.host().trim_start_matches('[').trim_end_matches(']').to_owned();
        let port = authority.port_u16().unwrap_or(if is_tls { HTTPS_PORT } else { HTTP_PORT });
        let host_address = || host.parse().ok().map(|ip| SocketAddr::new(ip, port));
        let address = address.or_else(host_address).ok_or(UrlError::HostIsName)?;
        if uri.query().is_some() {
            return Err(UrlError::ContainsQuery);
        }
        let path = uri.path().trim_end_matches('/').to_owned();
        Ok(Self { is_tls, host, address, authority: authority.to_string(), path })
    }

    /// Whether it is called over TLS.
    #[must_use]
    pub fn is_tls(&self) -> bool {
        self.is_tls
    }

    /// The host and port of its URL, as it is named in the log.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.authority
    }

    /// The host of its URL, to which its certificate must belong.
    pub(super) fn host(&self) -> &str {
        &self.host
    }

    /// Where it listens.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// The path of its URL, without a trailing slash.
    pub(super) fn path(&self) -> &str {
        &self.path
    }
}
