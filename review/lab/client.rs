//! A client: one connection at a time, one request at a time, each with a new id.

use crate::messages::{self, Reader};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The value.
    Served(String),
    /// The code of an ErrorResponse.
    Error(String),
    /// The connection was refused, or ended before anything came, on a new connection too: such a request was not
    /// taken, or has failed and is not lost.
    Closed(String),
    /// No whole answer came in time, or the connection ended within one.
    None(String),
}

pub struct Client {
    address: SocketAddr,
    connection: Option<(TcpStream, Reader)>,
    /// Whether anything of the answer to the last request was received.
    received: bool,
}

fn is_close(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset | ErrorKind::BrokenPipe)
}

/// A new request id.
pub fn new_id() -> String {
    format!("{:016x}", LAST_ID.fetch_add(1, Ordering::SeqCst) + 0x9b1f_0000_0000_0000)
}

pub fn insert(key: &str, value: &str, id: &str, deadline: Duration) -> String {
    let comment = format!("/* id={id},c=place-order,d={},cluster=1 */", deadline.as_millis());
    format!("INSERT INTO kv (name, content) VALUES ('{key}', '\\x{value}') RETURNING content {comment}")
}

pub fn select(class: &str, key: &str, id: &str, deadline: Duration) -> String {
    let comment = format!("/* id={id},c={class},d={},cluster=1 */", deadline.as_millis());
    format!("SELECT content FROM kv WHERE name = '{key}' {comment}")
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None, received: false }
    }

    /// Sends a statement and waits for its answer, at most until 0.6 s after its deadline.
    pub fn request(&mut self, statement: &str, deadline: Duration) -> Answer {
        let give_up = Instant::now() + deadline + Duration::from_millis(600);
        let is_new = self.connection.is_none();
        let mut result = self.exchange(statement, give_up);
        // The pooler may close a connection between requests; a request that crossed the close is sent once
        // more, on a new connection.
        if !is_new && result.as_ref().is_err_and(|error| is_close(error.kind())) && !self.received {
            self.connection = None;
            result = self.exchange(statement, give_up);
        }
        match result {
            Ok(answer) => answer,
            Err(error) => {
                self.connection = None;
                let is_excused = is_close(error.kind()) || error.kind() == ErrorKind::ConnectionRefused;
                if is_excused && !self.received {
                    return Answer::Closed(error.to_string());
                }
                Answer::None(error.to_string())
            }
        }
    }

    fn exchange(&mut self, statement: &str, give_up: Instant) -> std::io::Result<Answer> {
        let is_new = self.connection.is_none();
        self.received = false;
        if is_new {
            let stream = TcpStream::connect(self.address)?;
            stream.set_nodelay(true)?;
            self.connection = Some((stream, Reader::new()));
        }
        let (stream, reader) = self.connection.as_mut().unwrap();
        let mut bytes = if is_new { messages::startup() } else { Vec::new() };
        bytes.extend_from_slice(&messages::query(statement));
        stream.write_all(&bytes)?;
        let mut readies = if is_new { 2 } else { 1 };
        let mut answer = Answer::None("no answer before ReadyForQuery".to_owned());
        while readies > 0 {
            let left = give_up.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            stream.set_read_timeout(Some(left))?;
            let (tag, body) = reader.message(stream)?;
            self.received = true;
            match tag {
                b'D' => answer = Answer::Served(String::from_utf8_lossy(&body[6..]).into_owned()),
                b'E' => {
                    answer = Answer::Error(messages::error_code(&body));
                    if body.starts_with(b"SFATAL") {
                        self.connection = None;
                        return Ok(answer);
                    }
                }
                b'Z' => readies -= 1,
                _ => {}
            }
        }
        Ok(answer)
    }
}
