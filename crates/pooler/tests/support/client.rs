//! A client of the pooler that speaks the PostgreSQL protocol.

use super::{MessageStream, PoolerProcess, query_bytes, startup_bytes};
use pooler_proxy::protocol;
use std::net::{Shutdown, TcpStream};

/// The messages of a response, up to ReadyForQuery or to the end of the connection.
#[derive(Debug, Default, PartialEq)]
pub struct Response {
    /// The tags of the messages, in the order of arrival.
    pub tags: String,
    /// The value of the last data row.
    pub value: Option<Vec<u8>>,
    /// The SQLSTATE of an error response.
    pub sql_state: Option<String>,
    /// The detail field of an error response.
    pub detail: Option<String>,
}

impl Response {
    /// The value of the last data row, as UTF-8 text.
    pub fn text(&self) -> Option<&str> {
        self.value.as_deref().map(|value| std::str::from_utf8(value).unwrap())
    }

    pub fn sql_state(&self) -> Option<&str> {
        self.sql_state.as_deref()
    }

    /// Whether the response ended with ReadyForQuery.
    pub fn is_ready(&self) -> bool {
        self.tags.ends_with('Z')
    }

    fn read_error(&mut self, body: &[u8]) {
        for field in body.split(|byte| *byte == 0).filter(|field| !field.is_empty()) {
            let text = Some(String::from_utf8(field[1..].to_vec()).unwrap());
            match field[0] {
                b'C' => self.sql_state = text,
                b'D' => self.detail = text,
                _ => {}
            }
        }
    }
}

/// A client's connection to the pooler.
pub struct Client {
    pub stream: MessageStream,
}

impl Client {
    /// Connects, and waits for the startup response.
    pub fn connect(pooler: &PoolerProcess) -> Self {
        let mut client = Self::connect_with(pooler, b"");
        assert!(client.read_response().is_ready());
        client
    }

    /// Connects, and writes `pipelined` directly after the startup message. Reads nothing.
    pub fn connect_with(pooler: &PoolerProcess, pipelined: &[u8]) -> Self {
        Self::start(TcpStream::connect(pooler.address).unwrap(), pipelined)
    }

    /// Writes the startup message and a query to an open connection. Reads nothing.
    pub fn on_socket(socket: TcpStream, statement: &str) -> Self {
        Self::start(socket, &query_bytes([statement]))
    }

    fn start(socket: TcpStream, pipelined: &[u8]) -> Self {
        let mut client = Self { stream: MessageStream::new(socket) };
        client.stream.write_bytes(&startup_bytes(pipelined));
        client
    }

    pub fn send_query(&mut self, statement: &str) {
        self.stream.write_bytes(&query_bytes([statement]));
    }

    pub fn query(&mut self, statement: &str) -> Response {
        self.send_query(statement);
        self.read_response()
    }

    /// Reads messages up to ReadyForQuery, or to the end of the connection.
    pub fn read_response(&mut self) -> Response {
        let mut response = Response::default();
        while let Some((tag, body)) = self.stream.read_message() {
            response.tags.push(char::from(tag));
            match tag {
                b'D' => response.value = protocol::parse_data_row(&body).unwrap().map(<[u8]>::to_vec),
                b'E' => response.read_error(&body),
                b'Z' => break,
                _ => {}
            }
        }
        response
    }

    /// Reads the startup response, and returns the body of its BackendKeyData.
    pub fn read_cancellation_key(&mut self) -> Vec<u8> {
        let mut key = Vec::new();
        while let Some((tag, body)) = self.stream.read_message() {
            match tag {
                b'K' => key = body,
                b'Z' => break,
                _ => {}
            }
        }
        key
    }

    /// Shuts down the write side of the connection; responses can still be read.
    pub fn half_close(&self) {
        self.stream.socket.shutdown(Shutdown::Write).unwrap();
    }

    /// Waits for the next message; true if the pooler closes or resets the connection instead.
    pub fn is_closed(&mut self) -> bool {
        self.stream.read_message().is_none()
    }

    /// Like [`Self::is_closed`], but false if the connection was reset.
    pub fn is_closed_without_reset(&mut self) -> bool {
        self.is_closed() && !self.stream.was_reset
    }
}
