//! HTTP client for a service registry: one request at a time over one persistent connection, plain or TLS.
//! A timeout limits each call. Bodies are streamed: only the last received frame is held in memory.

mod connection;
mod credentials;
mod error;
mod response;
mod server;

pub use credentials::{BasicCredentials, ClientIdentity, Credentials};
pub use error::{CallError, FileError, SetupError, UrlError};
pub use response::{BodyHandler, DiscardBody, UnsupportedContentType};
pub use server::RegistryServer;

use async_io::Timer;
use connection::Connection;
use credentials::{basic_authorization, tls_connector};
use futures_lite::future::or;
use futures_rustls::TlsConnector;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request};
use response::ProgressTracker;
use std::time::Duration;

/// A request of the registry's REST API.
#[derive(Debug)]
pub struct ApiRequest<'a> {
    /// The HTTP method.
    pub method: Method,
    /// The path below that of the server's URL, with a leading slash.
    pub path: &'a str,
    /// The JSON body, if the request has one.
    pub json: Option<Vec<u8>>,
}

impl ApiRequest<'_> {
    /// A `GET` request for `path`, without a body.
    #[must_use]
    pub fn get(path: &str) -> ApiRequest<'_> {
        ApiRequest { method: Method::GET, path, json: None }
    }
}

/// An HTTP client that makes one call at a time, to any server of a registry.
pub struct Client {
    tls: Option<TlsConnector>,
    authorization: Option<HeaderValue>,
    call_timeout: Duration,
    idle: Option<IdleConnection>,
    connections_opened: u64,
}

/// An idle connection that is kept for the next call.
struct IdleConnection {
    server: RegistryServer,
    connection: Connection,
}

impl Client {
    /// Creates a client whose calls take at most `call_timeout`. Reads the files that `credentials` names,
    /// those for TLS only if `use_tls` is set.
    ///
    /// # Errors
    ///
    /// When a file can't be used, a file with a secret is accessible to others, or TLS can't be set up.
    pub fn new(credentials: &Credentials, use_tls: bool, call_timeout: Duration) -> Result<Self, SetupError> {
        let authorization = credentials.basic.as_ref().map(basic_authorization).transpose()?;
        let tls = if use_tls { Some(tls_connector(credentials)?) } else { None };
        Ok(Self { tls, authorization, call_timeout, idle: None, connections_opened: 0 })
    }

    /// The number of connections that this client has tried to open, failed attempts included.
    #[must_use]
    pub fn connections_opened(&self) -> u64 {
        self.connections_opened
    }

    /// Sends a request and passes the body of the response to `handler`, whose errors abort the call. The
    /// connection is kept for the next call only after a complete response.
    ///
    /// # Errors
    ///
    /// When no complete response arrives within the timeout, its status is not 2xx, or its body is unusable.
    pub async fn call(
        &mut self,
        server: &RegistryServer,
        request: &ApiRequest<'_>,
        handler: &mut dyn BodyHandler,
    ) -> Result<(), CallError> {
        let timeout = self.call_timeout;
        let expired = async {
            Timer::after(timeout).await;
            Err(CallError::TimedOut(timeout))
        };
        let connection = or(self.exchange(server, request, handler), expired).await?;
        self.idle = Some(IdleConnection { server: server.clone(), connection });
        Ok(())
    }

    /// Sends a request over the idle connection or a new one; returns the connection that was used.
    async fn exchange(
        &mut self,
        server: &RegistryServer,
        request: &ApiRequest<'_>,
        handler: &mut dyn BodyHandler,
    ) -> Result<Connection, CallError> {
        if let Some(mut connection) = self.take_idle_connection(server).await {
            let mut tracker = ProgressTracker::new(handler);
            match connection.exchange(self.build_http_request(server, request), &mut tracker).await {
                Ok(()) => return Ok(connection),
                // The server closed the idle connection; the request is repeated on a new one.
                Err(CallError::Http(_)) if !tracker.has_started() => {}
                Err(error) => return Err(error),
            }
        }
        self.connections_opened += 1;
        let mut connection = Connection::open(server, self.tls.as_ref()).await?;
        connection.exchange(self.build_http_request(server, request), handler).await?;
        Ok(connection)
    }

    /// Takes the idle connection; `None` if it is closed or belongs to another server.
    async fn take_idle_connection(&mut self, server: &RegistryServer) -> Option<Connection> {
        let idle = self.idle.take().filter(|idle| idle.server == *server)?;
        let mut connection = idle.connection;
        connection.is_open().await.then_some(connection)
    }

    fn build_http_request(&self, server: &RegistryServer, request: &ApiRequest<'_>) -> Request<Full<Bytes>> {
        let body = Bytes::from(request.json.clone().unwrap_or_default());
        let mut http_request = Request::new(Full::new(body));
        *http_request.method_mut() = request.method.clone();
        // The path of the server was validated with its URL; this crate builds the rest of the path.
        *http_request.uri_mut() = format!("{}{}", server.path(), request.path).parse().unwrap_or_default();
        let host = HeaderValue::from_str(server.name()).unwrap_or(HeaderValue::from_static("registry"));
        let accept = HeaderValue::from_static("application/json, application/xml;q=0.5");
        let headers = http_request.headers_mut();
        headers.insert(header::HOST, host);
        headers.insert(header::ACCEPT, accept);
        headers.insert(header::ACCEPT_ENCODING, HeaderValue::from_static("gzip"));
        if request.json.is_some() {
            headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        }
        if let Some(value) = &self.authorization {
            headers.insert(header::AUTHORIZATION, value.clone());
        }
        http_request
    }
}
