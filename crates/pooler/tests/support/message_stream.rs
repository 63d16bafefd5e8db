//! PostgreSQL messages over a socket, from the client's or the server's side.

use super::STEP_TIMEOUT;
use pooler_proxy::protocol::{self, BackendKeyData, SqlState, write};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

/// The most bytes that one read takes from the socket.
const READ_SIZE: usize = 65_536;

/// A stream of messages over a socket; reads and writes time out after [`STEP_TIMEOUT`].
pub struct MessageStream {
    pub socket: TcpStream,
    unread: Vec<u8>,
    /// Whether a read failed because the other side had reset the connection.
    pub was_reset: bool,
}

impl MessageStream {
    pub fn new(socket: TcpStream) -> Self {
        socket.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
        socket.set_write_timeout(Some(STEP_TIMEOUT)).unwrap();
        Self { socket, unread: Vec::new(), was_reset: false }
    }

    /// Reads more bytes; false once the other side has closed or reset the connection.
    fn read_more(&mut self) -> bool {
        let mut bytes = [0; READ_SIZE];
        match self.socket.read(&mut bytes) {
            Ok(count) => {
                self.unread.extend_from_slice(&bytes[..count]);
                count > 0
            }
            // A signal interrupts a read with a timeout, for example SIGCHLD when a child is stopped.
            Err(error) if error.kind() == ErrorKind::Interrupted => self.read_more(),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {
                self.was_reset = true;
                false
            }
            Err(error) => panic!("reading from the socket failed: {error}"),
        }
    }

    /// Reads a startup message; false if the stream ends first.
    pub fn read_startup(&mut self) -> bool {
        loop {
            if let Some((_, size)) = protocol::parse_startup_message(&self.unread).unwrap() {
                self.unread.drain(..size);
                return true;
            }
            if !self.read_more() {
                return false;
            }
        }
    }

    /// Reads the next message; returns its tag and body, or `None` once the other side has closed.
    pub fn read_message(&mut self) -> Option<(u8, Vec<u8>)> {
        loop {
            if let Some(message) = protocol::parse_frontend_message(&self.unread).unwrap() {
                let (tag, body, size) = (message.tag, message.body.to_vec(), message.size);
                self.unread.drain(..size);
                return Some((tag, body));
            }
            if !self.read_more() {
                return None;
            }
        }
    }

    /// The bytes that `write` writes to a stream.
    pub fn recorded(write: impl FnOnce(&mut Self)) -> Vec<u8> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let mut stream = Self::new(TcpStream::connect(listener.local_addr().unwrap()).unwrap());
        let (mut receiver, _) = listener.accept().unwrap();
        write(&mut stream);
        drop(stream);
        let mut bytes = Vec::new();
        receiver.read_to_end(&mut bytes).unwrap();
        bytes
    }

    /// Writes bytes. Errors are ignored, since the pooler may have closed the connection.
    pub fn write_bytes(&mut self, bytes: &[u8]) {
        let _ = self.socket.write_all(bytes);
    }

    /// Writes a response with one row of one value, followed by the server's role and its log position in
    /// Unix milliseconds.
    pub fn write_row(&mut self, value: &[u8], role: &str, position_ms: &str) {
        let mut out = Vec::new();
        push_message(&mut out, b'T', b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
        let mut row = vec![0, 1];
        row.extend_from_slice(&u32::try_from(value.len()).unwrap().to_be_bytes());
        row.extend_from_slice(value);
        push_message(&mut out, b'D', &row);
        write::command_complete(&mut out, "SELECT 1");
        for (name, value) in [("part", role), ("caught_up_to", position_ms)] {
            push_message(&mut out, b'S', format!("{name}\0{value}\0").as_bytes());
        }
        write::ready_for_query(&mut out);
        self.write_bytes(&out);
    }

    /// Writes an error response, followed by the server's role.
    pub fn write_error(&mut self, sql_state: &str, role: &str) {
        let mut out = Vec::new();
        write::error_response(
            &mut out,
            write::Severity::Error,
            SqlState::try_from(sql_state).unwrap(),
            "scripted",
            None,
        );
        push_message(&mut out, b'S', format!("part\0{role}\0").as_bytes());
        write::ready_for_query(&mut out);
        self.write_bytes(&out);
    }

    /// Answers a health check with a load report such as `x0=1767225600.1,x1=0`: the log position in Unix
    /// seconds, and 1 for the primary or 0 for a replica.
    pub fn write_load_report(&mut self, report: &str, role: &str) {
        self.write_row(report.as_bytes(), role, super::ANY_POSITION_MS);
    }

    /// Writes the response to a startup message, from AuthenticationOk to ReadyForQuery.
    pub fn write_startup_response(&mut self) {
        let mut out = Vec::new();
        write::session_start(&mut out, BackendKeyData { process_id: 1, secret_key: 1 });
        self.write_bytes(&out);
    }

    /// Answers an empty query.
    pub fn write_empty_response(&mut self) {
        let mut out = Vec::new();
        write::empty_query_response(&mut out);
        write::ready_for_query(&mut out);
        self.write_bytes(&out);
    }

    /// Reads and discards bytes until the other side closes the connection.
    pub fn wait_until_closed(&mut self) {
        while self.read_more() {}
    }
}

fn push_message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend_from_slice(&u32::try_from(body.len() + 4).unwrap().to_be_bytes());
    out.extend_from_slice(body);
}
