//! The URL and the address of a server of a registry.

use super::error::{SetupError, UrlError};
use hyper::Uri;
use std::net::SocketAddr;

const HTTP_PORT: u16 = 80;
const HTTPS_PORT: u16 = 443;

/// A server of a registry, with its URL already validated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryServer {
    is_tls: bool,
    host: String,
    address: SocketAddr,
    authority: String,
    path: String,
}

impl RegistryServer {
    /// Creates a server from a URL such as `http://127.0.0.1:8761/eureka`. Host names are not looked up:
    /// `address` is required if the host is a name, which then serves to verify the certificate. `address`
    /// takes precedence over an IP address in the URL.
    ///
    /// # Errors
    ///
    /// When the URL can't be used.
    pub fn new(url: &str, address: Option<SocketAddr>) -> Result<Self, SetupError> {
        Self::parse(url, address).map_err(|error| {
            // The part before '@' may contain a password.
            let redacted_url = url.rsplit_once('@').map_or(url, |(_, rest)| rest);
            SetupError::Url { url: redacted_url.to_owned(), error }
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
        let address_from_host = || host.parse().ok().map(|ip| SocketAddr::new(ip, port));
        let address = address.or_else(address_from_host).ok_or(UrlError::HostIsName)?;
        if uri.query().is_some() {
            return Err(UrlError::ContainsQuery);
        }
        let path = uri.path().trim_end_matches('/').to_owned();
        Ok(Self { is_tls, host, address, authority: authority.to_string(), path })
    }

    /// Whether the scheme of the URL is `https`.
    #[must_use]
    pub fn is_tls(&self) -> bool {
        self.is_tls
    }

    /// The host and port of the URL, which name the server in the log and in the `Host` header.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.authority
    }

    /// The host of the URL, for which the certificate of the server must be valid.
    pub(super) fn host(&self) -> &str {
        &self.host
    }

    /// The address to connect to.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// The path of the URL, without a trailing slash.
    pub(super) fn path(&self) -> &str {
        &self.path
    }
}
