//! A fake discovery service whose watches a test feeds.

use super::{PATIENCE, listen};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

/// Each line is sent in two chunks, split inside it at this byte.
const CHUNK_SPLIT: usize = 7;

/// A watch that the pooler has opened. It ends when it is dropped.
pub struct Watch {
    /// The first line of its HTTP request.
    pub request_line: String,
    updates: Sender<Option<Value>>,
}

impl Watch {
    /// Sends an endpoint update.
    pub fn send(&self, update: Value) {
        self.updates.send(Some(update)).unwrap();
    }

    /// Ends the response, and with it the connection.
    pub fn end(&self) {
        self.updates.send(None).unwrap();
    }
}

/// A discovery service; the test sends the updates of its watches.
pub struct FakeDiscovery {
    pub address: SocketAddr,
    watches: Receiver<Watch>,
}

impl FakeDiscovery {
    pub fn new() -> Self {
        Self::with_format(Value::to_string)
    }

    /// One whose updates span several lines each, with an empty line between two of them.
    pub fn indented() -> Self {
        Self::with_format(|update| format!("{update:#}\n"))
    }

    fn with_format(format: fn(&Value) -> String) -> Self {
        let (announce, watches) = channel();
        let address = listen(move |socket| {
            let Some(request_line) = read_request(&socket) else { return };
            let (updates, receiver) = channel();
            announce.send(Watch { request_line, updates }).unwrap_or(());
            std::thread::spawn(move || write_updates(socket, &receiver, format));
        });
        Self { address, watches }
    }

    /// Waits for the next watch.
    pub fn accept_watch(&self) -> Watch {
        self.accept_watch_within(PATIENCE).unwrap()
    }

    /// Waits so long for the next watch.
    pub fn accept_watch_within(&self, time: Duration) -> Option<Watch> {
        self.watches.recv_timeout(time).ok()
    }

    /// The watches opened so far and not yet accepted.
    pub fn pending_watches(&self) -> Vec<Watch> {
        self.watches.try_iter().collect()
    }
}

/// Reads a request's head; its first line.
fn read_request(socket: &TcpStream) -> Option<String> {
    let mut lines = BufReader::new(socket.try_clone().unwrap()).lines();
    let first = lines.next()?.ok()?;
    while lines.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
    Some(first)
}

fn write_updates(mut socket: TcpStream, updates: &Receiver<Option<Value>>, format: fn(&Value) -> String) {
    socket.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
    while let Ok(Some(update)) = updates.recv() {
        let line = format(&update) + "\n";
        for chunk in [&line[..CHUNK_SPLIT], &line[CHUNK_SPLIT..]] {
            let _ = socket.write_all(format!("{:x}\r\n{chunk}\r\n", chunk.len()).as_bytes());
        }
    }
}

/// An update that replaces all endpoints known before.
pub fn snapshot(generation: u64, entries: Vec<Value>) -> Value {
    json!({"generation": generation, "reset": true, "instances": entries})
}

/// An update that changes the endpoints it names.
pub fn delta(generation: u64, entries: Vec<Value>) -> Value {
    json!({"generation": generation, "reset": false, "instances": entries})
}
