//! A fake discovery service; tests send the updates of its watches.

use super::{STEP_TIMEOUT, listen};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

/// The head of a response whose body is sent in chunks.
pub const CHUNKED_RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Each update is sent in two HTTP chunks, split within its first line: the first chunk has this many bytes.
const FIRST_CHUNK_BYTES: usize = 7;

/// A watch that the pooler has opened. Dropping it closes the connection.
pub struct Watch {
    /// The request line of the watch's HTTP request.
    pub request_line: String,
    updates: Sender<Option<Value>>,
}

impl Watch {
    /// Sends an endpoint update.
    pub fn send(&self, update: Value) {
        self.updates.send(Some(update)).unwrap();
    }

    /// Ends the HTTP response by closing the connection.
    pub fn end(&self) {
        self.updates.send(None).unwrap();
    }
}

/// A discovery service on a loopback port that accepts any number of watches.
pub struct FakeDiscovery {
    pub address: SocketAddr,
    watches: Receiver<Watch>,
}

impl FakeDiscovery {
    pub fn new() -> Self {
        Self::with_format(Value::to_string, Duration::ZERO)
    }

    /// A discovery service that takes this long to answer each request.
    pub fn slow(delay: Duration) -> Self {
        Self::with_format(Value::to_string, delay)
    }

    /// A discovery service whose updates span several lines each, with an empty line after each of them.
    pub fn indented() -> Self {
        Self::with_format(|update| format!("{update:#}\n"), Duration::ZERO)
    }

    /// A discovery service that calls `respond` with the connection of each request. No watch can be accepted
    /// from it.
    pub fn with_response(respond: impl Fn(&mut TcpStream) + Send + Sync + 'static) -> Self {
        let respond = Arc::new(respond);
        let address = listen(move |mut socket| {
            let respond = respond.clone();
            std::thread::spawn(move || {
                if read_request(&socket).is_some() {
                    respond(&mut socket);
                }
            });
        });
        Self { address, watches: channel().1 }
    }

    fn with_format(format: fn(&Value) -> String, delay: Duration) -> Self {
        let (watch_sender, watches) = channel();
        let address = listen(move |socket| {
            let Some(request_line) = read_request(&socket) else { return };
            let (updates, receiver) = channel();
            watch_sender.send(Watch { request_line, updates }).unwrap_or(());
            std::thread::spawn(move || {
                std::thread::sleep(delay);
                write_updates(socket, &receiver, format);
            });
        });
        Self { address, watches }
    }

    /// Waits for the next watch.
    pub fn accept_watch(&self) -> Watch {
        self.accept_watch_within(STEP_TIMEOUT).unwrap()
    }

    /// Waits up to `timeout` for the next watch.
    pub fn accept_watch_within(&self, timeout: Duration) -> Option<Watch> {
        self.watches.recv_timeout(timeout).ok()
    }

    /// The watches that are open and have not been accepted yet. Does not wait.
    pub fn pending_watches(&self) -> Vec<Watch> {
        self.watches.try_iter().collect()
    }
}

/// Reads the head of an HTTP request, and returns the request line.
fn read_request(socket: &TcpStream) -> Option<String> {
    let mut lines = BufReader::new(socket.try_clone().unwrap()).lines();
    let request_line = lines.next()?.ok()?;
    while lines.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
    Some(request_line)
}

/// Writes a chunked HTTP response with these updates, until the watch is ended or dropped.
fn write_updates(mut socket: TcpStream, updates: &Receiver<Option<Value>>, format: fn(&Value) -> String) {
    // The pooler may have given up a request that was answered late.
    let _ = socket.write_all(CHUNKED_RESPONSE_HEAD);
    while let Ok(Some(update)) = updates.recv() {
        let line = format(&update) + "\n";
        for chunk in [&line[..FIRST_CHUNK_BYTES], &line[FIRST_CHUNK_BYTES..]] {
            let _ = socket.write_all(format!("{:x}\r\n{chunk}\r\n", chunk.len()).as_bytes());
        }
    }
}

/// An update with the whole endpoint list.
pub fn snapshot(generation: u64, entries: Vec<Value>) -> Value {
    json!({"generation": generation, "reset": true, "instances": entries})
}

/// An update with changed endpoints only.
pub fn delta(generation: u64, entries: Vec<Value>) -> Value {
    json!({"generation": generation, "reset": false, "instances": entries})
}
