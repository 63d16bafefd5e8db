//! A connection to a server: opened with the startup of the PostgreSQL protocol, and validated before reuse.

use super::attempt::AttemptError;
use super::connection_limit::ConnectionPermit;
use crate::buffer::{ReadBuffer, TcpConnection, write_all};
use crate::memory_budget::{MemoryBudget, MemoryUse, Reservation};
use crate::protocol::{backend_tag, is_ready_for_query, parse_backend_message, parse_error_response, write};
use crate::reserved_bytes::ReservedBytes;
use crate::resource_exhaustion::is_resource_exhaustion;
use async_io::Async;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

const USER: &str = "backend";
const DATABASE: &str = "store";
/// A Query message with an empty statement, which validates an idle connection before it carries a request.
/// The server has to respond to the message and send nothing before or after the response: a connection may
/// have been closed without notice, and a request written to it would be lost.
const EMPTY_QUERY: &[u8] = b"Q\0\0\0\x05\0";
/// The body of an AuthenticationOk message.
const AUTHENTICATION_OK: [u8; 4] = [0; 4];

/// A connection to a server. While it is idle, the last message read from it is ReadyForQuery.
#[derive(Debug)]
pub(super) struct Connection {
    // Declared before the permit, so that the descriptor is closed before the permit is returned.
    stream: TcpConnection,
    address: SocketAddr,
    buffer: ReadBuffer,
    idle_since: Instant,
    _permit: ConnectionPermit,
}

impl Connection {
    /// Connects to a server and performs the startup of the protocol.
    ///
    /// # Errors
    ///
    /// Fails if the server can't be reached, or closes or rejects the connection.
    pub(super) async fn open(
        address: SocketAddr,
        permit: ConnectionPermit,
        memory: Rc<MemoryBudget>,
    ) -> Result<Self, AttemptError> {
        let stream = Async::<TcpStream>::connect(address).await.map_err(|error| connect_error(&error))?;
        stream.get_ref().set_nodelay(true)?;
        let mut connection = Self {
            stream: TcpConnection::new(stream),
            address,
            buffer: ReadBuffer::new(Reservation::new(memory), MemoryUse::Response),
            idle_since: Instant::now(),
            _permit: permit,
        };
        connection.start_up().await?;
        connection.idle_since = Instant::now();
        Ok(connection)
    }

    /// Sends the startup message and reads up to and including ReadyForQuery.
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
            self.fill_or_fail().await?;
        }
    }

    /// Checks that the server responds to an empty query, with nothing before or after the response.
    ///
    /// # Errors
    ///
    /// Fails if any other message arrives, or the connection is closed.
    pub(super) async fn validate(&mut self) -> Result<(), AttemptError> {
        self.write(&[EMPTY_QUERY]).await?;
        let mut got_empty_response = false;
        loop {
            while let Some(message) = parse_backend_message(self.unread())? {
                let (tag, size) = (message.tag, message.size);
                let is_ready = tag == backend_tag::READY_FOR_QUERY
                    && got_empty_response
                    && is_ready_for_query(message.body);
                match tag {
                    backend_tag::EMPTY_QUERY_RESPONSE if !got_empty_response => got_empty_response = true,
                    backend_tag::PARAMETER_STATUS | backend_tag::NOTICE_RESPONSE if got_empty_response => {}
                    _ if is_ready => {}
                    _ => return Err(AttemptError::ConnectionLost),
                }
                self.consume(size);
                if is_ready {
                    return if self.has_unread() { Err(AttemptError::ConnectionLost) } else { Ok(()) };
                }
            }
            self.fill_or_fail().await?;
        }
    }

    /// Whether the connection can carry another request: it is connected to the endpoint's current `address`,
    /// is open, has no unread bytes and has been idle for less than `max_idle`.
    pub(super) fn is_reusable(&self, address: Option<SocketAddr>, max_idle: Duration) -> bool {
        let open_and_empty = match self.stream.get_ref().get_ref().peek(&mut [0]) {
            Err(error) => matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
            Ok(_) => false,
        };
        open_and_empty && address == Some(self.address) && !self.has_unread() && self.idle_for() < max_idle
    }

    /// Records that the idle time starts now, and frees the read buffer if it is large.
    pub(super) fn mark_idle(&mut self) {
        self.buffer.shrink_if_empty();
        self.idle_since = Instant::now();
    }

    /// When the connection became idle.
    pub(super) fn idle_since(&self) -> Instant {
        self.idle_since
    }

    /// How long the connection has been idle.
    pub(super) fn idle_for(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Writes all pieces in order.
    ///
    /// # Errors
    ///
    /// Fails if the connection can't be written to.
    pub(super) async fn write(&self, pieces: &[&[u8]]) -> io::Result<()> {
        write_all(&self.stream, pieces).await
    }

    /// Reads once and returns the number of bytes read, which is 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the connection can't be read from.
    pub(super) async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.fill(&self.stream).await
    }

    /// Reads once; fails at the end of the stream.
    async fn fill_or_fail(&mut self) -> Result<(), AttemptError> {
        match self.fill().await? {
            0 => Err(AttemptError::ConnectionLost),
            _ => Ok(()),
        }
    }

    /// The bytes that have been read but not consumed.
    pub(super) fn unread(&self) -> &[u8] {
        self.buffer.data()
    }

    /// Whether any bytes have been read but not consumed.
    pub(super) fn has_unread(&self) -> bool {
        !self.unread().is_empty()
    }

    /// Consumes the first `count` unread bytes.
    pub(super) fn consume(&mut self, count: usize) {
        self.buffer.consume(count);
    }

    /// Moves the first `count` unread bytes out; returns the allocation that holds them and their range in
    /// it.
    pub(super) fn detach(&mut self, count: usize) -> (ReservedBytes, Range<usize>) {
        self.buffer.detach(count)
    }
}

/// The attempt error for a connect call that failed.
fn connect_error(error: &io::Error) -> AttemptError {
    match error.kind() {
        io::ErrorKind::ConnectionReset => AttemptError::ConnectionLost,
        io::ErrorKind::ConnectionRefused => AttemptError::ConnectionRefused,
        // Transient conditions on this machine, which are no failure of the endpoint.
        io::ErrorKind::Interrupted | io::ErrorKind::WouldBlock => AttemptError::ResourceExhausted,
        _ if is_resource_exhaustion(error) => AttemptError::ResourceExhausted,
        _ => AttemptError::TimedOut,
    }
}
