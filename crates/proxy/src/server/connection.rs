//! One connection to a server: opened with the protocol's startup, and validated before it is reused.

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
/// An empty query. An idle connection has to respond to it, with nothing before or after the response, before it carries
/// a request: some were closed without notice, and the next write on them would be lost.
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
    /// Connects to a server and performs the protocol's startup.
    ///
    /// # Errors
    ///
    /// When the server can't be reached, breaks the connection or rejects it.
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

    /// Checks that the server responds to an empty query, with nothing before or after the response.
    ///
    /// # Errors
    ///
    /// When anything else arrives, or the connection is closed.
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

    /// Whether it can carry another request: connected to the endpoint's current `address`, open, with nothing unread,
    /// and idle for less than `max_idle`.
    pub(super) fn is_reusable(&self, address: Option<SocketAddr>, max_idle: Duration) -> bool {
        let silent = match self.stream.get_ref().peek(&mut [0]) {
            Err(error) => matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
            Ok(_) => false,
        };
        silent && address == Some(self.address) && !self.has_unread() && self.idle_for() < max_idle
    }

    /// Starts the idle time, and releases a large buffer.
    pub(super) fn mark_idle(&mut self) {
        self.buffer.shrink_if_empty();
        self.idle_since = Instant::now();
    }

    /// When the idle time started.
    pub(super) fn idle_since(&self) -> Instant {
        self.idle_since
    }

    /// How long it has been idle.
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

    /// Reads once and gives the number of bytes, which is 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// When reading fails.
    pub(super) async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.fill(&self.stream).await
    }

    /// Reads once; the end of the stream is an error.
    async fn fill_or_lost(&mut self) -> Result<(), AttemptError> {
        match self.fill().await? {
            0 => Err(AttemptError::ConnectionLost),
            _ => Ok(()),
        }
    }

    /// The bytes that were read and not consumed yet.
    pub(super) fn unread(&self) -> &[u8] {
        self.buffer.data()
    }

    /// Whether there are bytes that were read and not consumed yet.
    pub(super) fn has_unread(&self) -> bool {
        !self.unread().is_empty()
    }

    /// Consumes the first `count` unread bytes.
    pub(super) fn consume(&mut self, count: usize) {
        self.buffer.consume(count);
    }

    /// Moves the first `count` unread bytes out; gives the buffer that holds them and their range in it.
    pub(super) fn detach(&mut self, count: usize) -> (Vec<u8>, Range<usize>) {
        self.buffer.detach(count)
    }
}

/// The error of a connection that could not be opened.
fn connect_error(error: &io::Error) -> AttemptError {
    match error.kind() {
        io::ErrorKind::ConnectionReset => AttemptError::ConnectionLost,
        io::ErrorKind::ConnectionRefused => AttemptError::ConnectionRefused,
        // Transient conditions of this machine, for which the endpoint is not to blame.
        io::ErrorKind::Interrupted | io::ErrorKind::WouldBlock => AttemptError::ResourceExhausted,
        _ if is_resource_exhaustion(error) => AttemptError::ResourceExhausted,
        _ => AttemptError::TimedOut,
    }
}
