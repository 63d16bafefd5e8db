//! The messages of PostgreSQL's protocol, version 3, that the stand-ins write and read.

use std::io::{ErrorKind, Read, Result};
use std::net::TcpStream;

pub fn push(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
}

pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0backend\0database\0store\0\0";
    let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
    out.extend_from_slice(body);
    out
}

pub fn query(text: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(text.len() + 6);
    let mut body = text.as_bytes().to_vec();
    body.push(0);
    push(&mut out, b'Q', &body);
    out
}

pub fn ready(out: &mut Vec<u8>) {
    push(out, b'Z', b"I");
}

pub fn welcome(out: &mut Vec<u8>) {
    push(out, b'R', &[0; 4]);
    push(out, b'S', b"server_version\x0015.0\0");
    push(out, b'K', &[0, 0, 0, 1, 0, 0, 0, 1]);
    ready(out);
}

pub fn parameter(out: &mut Vec<u8>, name: &str, value: &str) {
    push(out, b'S', format!("{name}\0{value}\0").as_bytes());
}

pub fn row(out: &mut Vec<u8>, value: &[u8], tag: &str) {
    push(out, b'T', b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    let mut body = vec![0, 1];
    body.extend_from_slice(&(value.len() as u32).to_be_bytes());
    body.extend_from_slice(value);
    push(out, b'D', &body);
    push(out, b'C', format!("{tag}\0").as_bytes());
}

pub fn error(out: &mut Vec<u8>, severity: &str, code: &str, text: &str) {
    push(out, b'E', format!("S{severity}\0V{severity}\0C{code}\0M{text}\0\0").as_bytes());
}

/// The code of an ErrorResponse.
pub fn error_code(body: &[u8]) -> String {
    body.split(|byte| *byte == 0)
        .find(|field| field.first() == Some(&b'C'))
        .map_or(String::new(), |field| String::from_utf8_lossy(&field[1..]).into_owned())
}

/// Reads messages from a stream.
pub struct Reader {
    buffer: Vec<u8>,
    start: usize,
}

impl Reader {
    pub fn new() -> Self {
        Self { buffer: Vec::new(), start: 0 }
    }

    fn fill(&mut self, stream: &mut TcpStream) -> Result<()> {
        if self.start > 0 {
            self.buffer.drain(..self.start);
            self.start = 0;
        }
        let mut bytes = [0; 16 * 1024];
        loop {
            match stream.read(&mut bytes) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(count) => {
                    self.buffer.extend_from_slice(&bytes[..count]);
                    return Ok(());
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    fn length(&self, at: usize) -> Option<usize> {
        let word: [u8; 4] = self.buffer.get(self.start + at..self.start + at + 4)?.try_into().ok()?;
        Some(u32::from_be_bytes(word) as usize)
    }

    /// Reads a startup message.
    pub fn startup(&mut self, stream: &mut TcpStream) -> Result<Vec<u8>> {
        loop {
            if let Some(length) = self.length(0)
                && self.buffer.len() >= self.start + length
            {
                let body = self.buffer[self.start + 4..self.start + length].to_vec();
                self.start += length;
                return Ok(body);
            }
            self.fill(stream)?;
        }
    }

    /// Reads a message: its tag and its body.
    pub fn message(&mut self, stream: &mut TcpStream) -> Result<(u8, Vec<u8>)> {
        loop {
            if let Some(length) = self.length(1)
                && self.buffer.len() >= self.start + 1 + length
            {
                let tag = self.buffer[self.start];
                let body = self.buffer[self.start + 5..self.start + 1 + length].to_vec();
                self.start += 1 + length;
                return Ok((tag, body));
            }
            self.fill(stream)?;
        }
    }
}

/// The value of a field in a statement's comment.
pub fn field<'a>(statement: &'a str, name: &str) -> Option<&'a str> {
    let comment = statement.rsplit_once("/*")?.1.split("*/").next()?.trim();
    comment.split(',').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, v)| v)
}

/// The quoted key of a statement.
pub fn key(statement: &str) -> &str {
    statement.split('\'').nth(1).unwrap_or("")
}
