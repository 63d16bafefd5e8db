//! The agent of discovery: the list, and watches of it.

use crate::record::Record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub cell: u32,
    pub lifecycle: &'static str,
    pub primary: bool,
    pub started_at_ms: i64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"south-depot\",\"machineType\":\"std-5core\",\
             \"cell\":{},\"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":{},\"part\":\"{}\"}}",
            self.id,
            self.address,
            self.cell,
            self.lifecycle,
            self.started_at_ms,
            if self.primary { "master" } else { "replica" }
        )
    }
}

struct Inner {
    generation: u64,
    entries: Vec<Entry>,
    watches: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    record: Record,
}

fn list(generation: u64, reset: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"generation\":{generation},\"reset\":{reset},\"instances\":[{}]}}\n", entries.join(","))
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

impl Discovery {
    pub fn start(entries: Vec<Entry>, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let inner = Arc::new(Mutex::new(Inner { generation: 41, entries, watches: Vec::new() }));
        let discovery = Self { address: listener.local_addr()?, inner, record: record.clone() };
        let accepting = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = accepting.clone();
                std::thread::spawn(move || discovery.serve(stream));
            }
        });
        let beating = discovery.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_secs(2));
                beating.inner.lock().unwrap().watches.retain_mut(|watch| write_chunk(watch, "\n").is_ok());
            }
        });
        Ok(discovery)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut head = Vec::new();
        let mut byte = [0; 1024];
        while !head.windows(4).any(|window| window == b"\r\n\r\n") {
            match stream.read(&mut byte) {
                Ok(count @ 1..) => head.extend_from_slice(&byte[..count]),
                _ => return,
            }
        }
        let mut inner = self.inner.lock().unwrap();
        let text = list(inner.generation, true, &inner.entries);
        if String::from_utf8_lossy(&head).contains("follow=1") {
            let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
            if stream.write_all(head.as_bytes()).is_ok() && write_chunk(&mut stream, &text).is_ok() {
                inner.watches.push(stream);
            }
        } else {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
            let _ = stream.write_all(head.as_bytes());
        }
    }

    /// The list as it stands, in the form of the configuration's `known`.
    pub fn known(&self) -> String {
        let inner = self.inner.lock().unwrap();
        list(inner.generation, true, &inner.entries)
    }

    /// Adds or replaces entries, and tells all watches.
    pub fn change(&self, changed: &[Entry]) {
        let mut inner = self.inner.lock().unwrap();
        inner.generation += 1;
        for entry in changed {
            inner.entries.retain(|known| known.id != entry.id);
            if entry.lifecycle != "removed" {
                inner.entries.push(entry.clone());
            }
        }
        let text = list(inner.generation, false, changed);
        self.record.line(&format!("list to the pooler: {}", text.trim_end()));
        inner.watches.retain_mut(|watch| write_chunk(watch, &text).is_ok());
    }
}
