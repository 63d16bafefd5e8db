//! One end of a connection that speaks PostgreSQL's messages.

use super::PATIENCE;
use pooler_proxy::protocol::{self, BackendKeyData, SqlState, write};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

const READ_SIZE: usize = 65_536;

/// A stream of messages over a socket; reads and writes give up after [`PATIENCE`].
pub struct MessageStream {
    pub socket: TcpStream,
    unread: Vec<u8>,
    /// Whether the other side reset the connection.
    pub was_reset: bool,
}

impl MessageStream {
    pub fn new(socket: TcpStream) -> Self {
        socket.set_read_timeout(Some(PATIENCE)).unwrap();
        socket.set_write_timeout(Some(PATIENCE)).unwrap();
        Self { socket, unread: Vec::new(), was_reset: false }
    }

    /// Reads more bytes; false at the end of the stream.
    fn read_more(&mut self) -> bool {
        let mut bytes = [0; READ_SIZE];
        match self.socket.read(&mut bytes) {
            Ok(count) => {
                self.unread.extend_from_slice(&bytes[..count]);
                count > 0
            }
            // A read with a time limit is not resumed after a signal, such as the one of a stopped child.
            Err(error) if error.kind() == ErrorKind::Interrupted => self.read_more(),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {
                self.was_reset = true;
                false
            }
            Err(error) => panic!("nothing arrived: {error}"),
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

    /// The tag and body of the next message; `None` once the other side has closed.
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

    /// Writes bytes; a pooler that has closed the connection need not take them.
    pub fn write_bytes(&mut self, bytes: &[u8]) {
        let _ = self.socket.write_all(bytes);
    }

    /// Writes a response with one value, the server's role and its log position.
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

    /// Writes an error response with the server's role.
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

    /// Answers a health check: the time that the data is of, and whether the server is the primary.
    pub fn write_load_report(&mut self, report: &str, role: &str) {
        self.write_row(report.as_bytes(), role, super::ANY_POSITION_MS);
    }

    /// Writes what a server sends once it has accepted a connection.
    pub fn write_welcome(&mut self) {
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

    /// Returns once the other side has closed.
    pub fn wait_until_closed(&mut self) {
        while self.read_more() {}
    }
}

fn push_message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend_from_slice(&u32::try_from(body.len() + 4).unwrap().to_be_bytes());
    out.extend_from_slice(body);
}
