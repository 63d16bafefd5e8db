//! A minimal HTTP/1.1 server side for the fake registry: requests with `Content-Length`, responses with
//! optional gzip.

use flate2::Compression;
use flate2::write::GzEncoder;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// The maximum length of a request body that is read, in bytes; the rest of a longer body stays unread.
const MAX_BODY_BYTES: usize = 1 << 20;

/// An HTTP request, read whole.
pub struct HttpRequest {
    pub method: String,
    pub path: String,
    query: String,
    pub accepts_gzip: bool,
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Reads the next request; returns `None` once the client has closed the connection.
    pub fn read(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Self>> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let mut words = line.split_ascii_whitespace();
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut request = Self {
            method: method.to_owned(),
            path: path.to_owned(),
            query: query.to_owned(),
            accepts_gzip: false,
            body: Vec::new(),
        };
        let length = request.read_headers(reader)?;
        request.body = vec![0; length.min(MAX_BODY_BYTES)];
        reader.read_exact(&mut request.body)?;
        Ok(Some(request))
    }

    /// Reads the headers up to the empty line and returns the body's length in bytes, 0 if none is given.
    fn read_headers(&mut self, reader: &mut BufReader<TcpStream>) -> std::io::Result<usize> {
        let mut length = 0;
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let Some((name, value)) = line.trim().split_once(':') else { return Ok(length) };
            match name.to_ascii_lowercase().as_str() {
                "content-length" => length = value.trim().parse().unwrap_or(0),
                "accept-encoding" => self.accepts_gzip = value.contains("gzip"),
                _ => {}
            }
        }
    }

    /// The first value of a query parameter, not percent-decoded; empty if the parameter is missing.
    pub fn query_parameter(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next();
        value.unwrap_or_default().to_owned()
    }

    /// The segments of the path, without the leading context path `eureka`.
    pub fn path_segments(&self) -> Vec<&str> {
        let mut segments: Vec<&str> = self.path.trim_matches('/').split('/').collect();
        if segments.first() == Some(&"eureka") {
            segments.remove(0);
        }
        segments
    }
}

/// An HTTP response.
pub struct HttpResponse<'b> {
    pub status: u16,
    /// The `Retry-After` header in seconds.
    pub retry_after: Option<u32>,
    pub content_type: &'b str,
    /// The body before compression.
    pub body: &'b [u8],
    /// Whether the body is sent compressed.
    pub gzip: bool,
}

impl<'b> HttpResponse<'b> {
    /// A response with this status and no body.
    pub fn status(status: u16) -> Self {
        Self { status, retry_after: None, content_type: "text/plain", body: b"", gzip: false }
    }

    /// A response with status 200 and this body.
    pub fn ok(content_type: &'b str, body: &'b [u8]) -> Self {
        Self { content_type, body, ..Self::status(200) }
    }

    /// Writes the response. The reason phrase is `OK` for every status, and a 204 has no `Content-Length`.
    pub fn write(&self, mut stream: &TcpStream) -> std::io::Result<()> {
        let body = if self.gzip { compress(self.body)? } else { self.body.to_vec() };
        let (status, content_type) = (self.status, self.content_type);
        let mut head = format!("HTTP/1.1 {status} OK\r\nContent-Type: {content_type}\r\n");
        if status != 204 {
            head += &format!("Content-Length: {}\r\n", body.len());
        }
        if self.gzip {
            head += "Content-Encoding: gzip\r\n";
        }
        if let Some(seconds) = self.retry_after {
            head += &format!("Retry-After: {seconds}\r\n");
        }
        stream.write_all((head + "\r\n").as_bytes())?;
        stream.write_all(&body)
    }
}

fn compress(body: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(body)?;
    encoder.finish()
}
