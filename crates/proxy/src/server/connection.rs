//! One connection to a server: opened with the startup of the protocol, and validated before it is used again.

use super::attempt::AttemptError;
use super::connection_limit::ConnectionPermit;
use crate::buffer::{ReadBuffer, write_all};
use crate::protocol::{backend_tag, is_ready_for_query, parse_backend_message, parse_error_response, write};
use crate::resource_exhaustion::is_resource_exhaustion;
use async_io::Async;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::time::{Duration, Instant};

const USER: &str = "backend";
const DATABASE: &str = "store";
/// An empty query. A kept connection has to answer it, with nothing before the answer and nothing behind it, before it
/// carries a request: some are closed without a sign of it until the next write, which would be lost.
const EMPTY_QUERY: &[u8] = b"Q\0\0\0\x05\0";
/// The body of an AuthenticationOk.
const AUTHENTICATION_OK: [u8; 4] = [0; 4];

/// A connection to a server, at ReadyForQuery when it is idle.
#[derive(Debug)]
pub(super) struct Connection {
    // Declared before the permit: the descriptor is closed before the limit counts it as released.
    stream: Async<TcpStream>,
    address: SocketAddr,
    buffer: ReadBuffer,
    idle_since: Instant,
    _permit: ConnectionPermit,
}

impl Connection {
    /// Connects to a server and goes through the startup of the protocol.
    ///
    /// # Errors
    ///
    /// When the server can't be reached, breaks the connection, or turns it away.
    pub(super) async fn open(address: SocketAddr, permit: ConnectionPermit) -> Result<Self, AttemptError> {
        let stream = Async::<TcpStream>::connect(address).await.map_err(|error| connect_error(&error))?;
        stream.get_ref().set_nodelay(true)?;
        let buffer = ReadBuffer::default();
        let mut connection = Self { stream, address, buffer, idle_since: Instant::now(), _permit: permit };
        connection.start_up().await?;
        connection.idle_since = Instant::now();
        Ok(connection)
    }

    /// Sends the startup message and reads up to ReadyForQuery.
    async fn start_up(&mut self) -> Result<(), AttemptError> {
        let mut startup = Vec::with_capacity(64);
        write::startup_message(&mut startup, USER, DATABASE);
        self.write(&[&startup]).await?;
        loop {
            while let Some(message) = parse_backend_message(self.unread())? {
                let (tag, size) = (message.tag, message.size);
                match tag {
                    backend_tag::ERROR_RESPONSE => {
                        return Err(AttemptError::ServerError(parse_error_response(message.body)?.sql_state));
                    }
                    backend_tag::AUTHENTICATION if message.body != AUTHENTICATION_OK => {
                        return Err(AttemptError::ConnectionLost);
                    }
                    _ => {}
                }
                self.consume(size);
                if tag == backend_tag::READY_FOR_QUERY {
                    return Ok(());
                }
            }
            self.fill_or_lost().await?;
        }
    }

    /// Has an empty query answered, with nothing before the answer and nothing behind it.
    ///
    /// # Errors
    ///
    /// When anything else comes, or the connection has ended.
    pub(super) async fn validate(&mut self) -> Result<(), AttemptError> {
        self.write(&[EMPTY_QUERY]).await?;
        let mut answered = false;
        loop {
            while let Some(message) = parse_backend_message(self.unread())? {
                let (tag, size) = (message.tag, message.size);
                let ready =
                    tag == backend_tag::READY_FOR_QUERY && answered && is_ready_for_query(message.body);
                match tag {
                    backend_tag::EMPTY_QUERY_RESPONSE if !answered => answered = true,
                    backend_tag::PARAMETER_STATUS | backend_tag::NOTICE_RESPONSE if answered => {}
                    _ if ready => {}
                    _ => return Err(AttemptError::ConnectionLost),
                }
                self.consume(size);
                if ready {
                    return if self.has_unread() { Err(AttemptError::ConnectionLost) } else { Ok(()) };
                }
            }
            self.fill_or_lost().await?;
        }
    }

    /// Whether it can be kept for another request: connected to where the endpoint listens, open, with nothing unread,
    /// and idle for less than `max_idle`.
    pub(super) fn is_reusable(&self, address: Option<SocketAddr>, max_idle: Duration) -> bool {
        let silent = match self.stream.get_ref().peek(&mut [0]) {
            Err(error) => matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
            Ok(_) => false,
        };
        silent && address == Some(self.address) && !self.has_unread() && self.idle_for() < max_idle
    }

    /// Begins an idle time, and lets go of a large buffer.
    pub(super) fn mark_idle(&mut self) {
        self.buffer.shrink_if_empty();
        self.idle_since = Instant::now();
    }

    /// When its idle time began.
    pub(super) fn idle_since(&self) -> Instant {
        self.idle_since
    }

    /// For how long it has been idle.
    pub(super) fn idle_for(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Writes all pieces, one after another.
    ///
    /// # Errors
    ///
    /// When writing fails.
    pub(super) async fn write(&self, pieces: &[&[u8]]) -> io::Result<()> {
        write_all(&self.stream, pieces).await
    }

    /// Reads once; the count is 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// When reading fails.
    pub(super) async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.fill(&self.stream).await
    }

    /// Reads once, where the end of the stream is an error.
    async fn fill_or_lost(&mut self) -> Result<(), AttemptError> {
        match self.fill().await? {
            0 => Err(AttemptError::ConnectionLost),
            _ => Ok(()),
        }
    }

    /// What has been read and not consumed.
    pub(super) fn unread(&self) -> &[u8] {
        self.buffer.data()
    }

    /// Whether anything has been read and not consumed.
    pub(super) fn has_unread(&self) -> bool {
        !self.unread().is_empty()
    }

    /// Consumes so many bytes of what has been read.
    pub(super) fn consume(&mut self, count: usize) {
        self.buffer.consume(count);
    }

    /// Takes so many bytes out, with the buffer that they stand in and their place there.
    pub(super) fn detach(&mut self, count: usize) -> (Vec<u8>, Range<usize>) {
        self.buffer.detach(count)
    }
}

/// Why a connection could not be opened.
fn connect_error(error: &io::Error) -> AttemptError {
    match error.kind() {
        io::ErrorKind::ConnectionReset => AttemptError::ConnectionLost,
        io::ErrorKind::ConnectionRefused => AttemptError::ConnectionRefused,
        // Not begun, for reasons that pass: neither says anything of the endpoint.
        io::ErrorKind::Interrupted | io::ErrorKind::WouldBlock => AttemptError::ResourceExhausted,
        _ if is_resource_exhaustion(error) => AttemptError::ResourceExhausted,
        _ => AttemptError::TimedOut,
    }
}
