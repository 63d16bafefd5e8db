//! The HTTP client of a service registry: one request at a time over one kept connection, in the clear or over TLS. No
//! request lasts longer than its timeout, and of a response no more is held than the frame that has just arrived.

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

/// A request to a registry.
#[derive(Debug)]
pub struct ApiRequest<'a> {
    /// The method.
    pub method: Method,
    /// The path below the server's own, with a leading slash.
    pub path: &'a str,
    /// A JSON body.
    pub json: Option<Vec<u8>>,
}

impl ApiRequest<'_> {
    /// A request that reads.
    #[must_use]
    pub fn get(path: &str) -> ApiRequest<'_> {
        ApiRequest { method: Method::GET, path, json: None }
    }
}

/// Calls the servers of a registry, one at a time.
pub struct Client {
    tls: Option<TlsConnector>,
    authorization: Option<HeaderValue>,
    timeout: Duration,
    idle: Option<IdleConnection>,
    connections_opened: u64,
}

/// A connection that is kept for the next call.
struct IdleConnection {
    server: RegistryServer,
    connection: Connection,
}

impl Client {
    /// A client whose calls last no longer than `timeout`. All files that `credentials` name are read now.
    ///
    /// # Errors
    ///
    /// When a file can't be used, a secret one can be read by others, or TLS can't be set up.
    pub fn new(credentials: &Credentials, use_tls: bool, timeout: Duration) -> Result<Self, SetupError> {
        let authorization = credentials.basic.as_ref().map(basic_authorization).transpose()?;
        let tls = if use_tls { Some(tls_connector(credentials)?) } else { None };
        Ok(Self { tls, authorization, timeout, idle: None, connections_opened: 0 })
    }

    /// How many connections were opened.
    #[must_use]
    pub fn connections_opened(&self) -> u64 {
        self.connections_opened
    }

    /// Makes a call. The response's body goes to `handler`, whose errors end the call. The connection is kept for the
    /// next call only after a complete response.
    ///
    /// # Errors
    ///
    /// When there is no response in time, its status is no success, or it can't be read.
    pub async fn call(
        &mut self,
        server: &RegistryServer,
        request: &ApiRequest<'_>,
        handler: &mut dyn BodyHandler,
    ) -> Result<(), CallError> {
        let timeout = self.timeout;
        let expired = async {
            Timer::after(timeout).await;
            Err(CallError::TimedOut(timeout))
        };
        let connection = or(self.exchange(server, request, handler), expired).await?;
        self.idle = Some(IdleConnection { server: server.clone(), connection });
        Ok(())
    }

    /// Sends a request over the kept connection or a new one; returns the connection that it went over.
    async fn exchange(
        &mut self,
        server: &RegistryServer,
        request: &ApiRequest<'_>,
        handler: &mut dyn BodyHandler,
    ) -> Result<Connection, CallError> {
        if let Some(mut connection) = self.take_idle_connection(server).await {
            let mut tracker = ProgressTracker::new(handler);
            match connection.exchange(self.http_request(server, request), &mut tracker).await {
                Ok(()) => return Ok(connection),
                // The server closed the connection while it was idle: a new one is opened.
                Err(CallError::Http(_)) if !tracker.has_started() => {}
                Err(error) => return Err(error),
            }
        }
        self.connections_opened += 1;
        let mut connection = Connection::open(server, self.tls.as_ref()).await?;
        connection.exchange(self.http_request(server, request), handler).await?;
        Ok(connection)
    }

    /// The kept connection, if it is one to this server and still open.
    async fn take_idle_connection(&mut self, server: &RegistryServer) -> Option<Connection> {
        let idle = self.idle.take().filter(|idle| idle.server == *server)?;
        let mut connection = idle.connection;
        connection.is_open().await.then_some(connection)
    }

    fn http_request(&self, server: &RegistryServer, request: &ApiRequest<'_>) -> Request<Full<Bytes>> {
        let body = Bytes::from(request.json.clone().unwrap_or_default());
        let mut http_request = Request::new(Full::new(body));
        *http_request.method_mut() = request.method.clone();
        // The server's path was checked together with its URL; the rest of the path is made by this crate.
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
