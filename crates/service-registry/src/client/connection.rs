//! An HTTP/1 connection to a server of a registry, plain or over TLS.

use super::error::CallError;
use super::response::{BodyHandler, read_response};
use super::server::RegistryServer;
use async_io::Async;
use futures_lite::future::{or, poll_once};
use futures_lite::{AsyncRead, AsyncWrite};
use futures_rustls::TlsConnector;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use pooler_cooperative_io::CooperativeStream;
use pooler_interrupted_io::RetryInterrupted;
use rustls_pki_types::ServerName;
use smol_hyper::rt::FuturesIo;
use std::future::Future;
use std::io;
use std::net::TcpStream;
use std::pin::Pin;

/// Limit of hyper's connection buffer, in bytes.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// An open connection, for one exchange at a time.
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Performs the I/O of the connection; completes when the connection ends.
    driver: Pin<Box<dyn Future<Output = ()>>>,
}

impl Connection {
    /// Opens a connection, over TLS if the URL of the server has the scheme `https`.
    pub(super) async fn open(server: &RegistryServer, tls: Option<&TlsConnector>) -> Result<Self, CallError> {
        let stream = Async::<TcpStream>::connect(server.address()).await.map_err(CallError::Connect)?;
        stream.get_ref().set_nodelay(true).map_err(CallError::Connect)?;
        let stream = CooperativeStream::new(RetryInterrupted(stream));
        match tls.filter(|_| server.is_tls()) {
            None => Self::handshake(stream).await,
            Some(tls) => {
                let server_name = ServerName::try_from(server.host().to_owned()).map_err(|error| {
                    CallError::Connect(io::Error::new(io::ErrorKind::InvalidInput, error))
                })?;
                let stream = tls.connect(server_name, stream).await.map_err(CallError::Connect)?;
                Self::handshake(stream).await
            }
        }
    }

    async fn handshake<S>(stream: S) -> Result<Self, CallError>
    where
        S: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BUFFERED_BYTES);
        let (sender, connection) = builder.handshake(FuturesIo::new(stream)).await?;
        let driver = Box::pin(async move {
            // hyper reports a connection error to the pending exchange as well.
            let _ = connection.await;
        });
        Ok(Self { sender, driver })
    }

    /// Whether the connection is still open; a close that has not arrived yet goes unnoticed.
    pub(super) async fn is_open(&mut self) -> bool {
        !self.sender.is_closed() && poll_once(self.driver.as_mut()).await.is_none()
    }

    /// Sends a request and passes the response body to `handler`.
    pub(super) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        handler: &mut dyn BodyHandler,
    ) -> Result<(), CallError> {
        let Self { sender, driver } = self;
        let exchange = async {
            let response = sender.send_request(request).await?;
            read_response(response, handler).await
        };
        // If the driver completes first, `exchange` still has to return the error that ended the connection.
        let drive = async {
            driver.as_mut().await;
            std::future::pending().await
        };
        or(exchange, drive).await
    }
}
