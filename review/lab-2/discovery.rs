//! A stand-in of the agent of discovery, which pushes the list of data servers over HTTP.

use crate::common::{lock, now_us};
use crate::say;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const KEEP_ALIVE: Duration = Duration::from_secs(2);

/// One data server in the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub address: String,
    pub cell: i64,
    pub lifecycle: &'static str,
    pub started_ms: i64,
    pub part: &'static str,
}

impl Entry {
    pub fn json(&self) -> String {
        let Self { id, address, cell, lifecycle, started_ms, part } = self;
        let part = if part.is_empty() { String::new() } else { format!(",\"part\":\"{part}\"") };
        format!(
            "{{\"instanceId\":\"{id}\",\"hostPort\":\"{address}\",\"zone\":\"a\",\"machineType\":\"m2\",\
             \"cell\":{cell},\"lifecycle\":\"{lifecycle}\",\"weight\":1.0,\"startedAtMs\":{started_ms}{part}}}"
        )
    }
}

pub fn list_json(generation: u64, reset: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    let entries = entries.join(",");
    format!("{{\"generation\":{generation},\"reset\":{reset},\"instances\":[{entries}]}}")
}

#[derive(Default)]
struct State {
    generation: u64,
    entries: BTreeMap<String, Entry>,
    /// For each change: its generation and the entry.
    changes: Vec<(u64, Entry)>,
    /// Open watches: number, address at which they were opened, and stream.
    watches: BTreeMap<u64, (SocketAddr, TcpStream)>,
    next_watch: u64,
    /// Watches with lower numbers than this say nothing any more.
    silent_below: u64,
    /// While set, no call gets an answer and no watch gets anything.
    down: bool,
    /// How long a new call waits for its answer.
    answer_delay: Duration,
    /// When each generation was first written to the pooler, in microseconds since 1970.
    written_at: BTreeMap<u64, i64>,
}

/// The agent; clones share its state, also under another address.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Discovery {
    pub fn start(generation: u64, entries: Vec<Entry>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State {
            generation,
            entries: entries.into_iter().map(|entry| (entry.id.clone(), entry)).collect(),
            ..State::default()
        };
        let discovery =
            Self { address: listener.local_addr()?, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let serving = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                std::thread::spawn(move || {
                    let _ = serving.serve(stream);
                });
            }
        });
        Ok(discovery)
    }

    /// The same list at a new address; the old address accepts nothing any more.
    pub fn move_away(&self) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let moved = Self { address: listener.local_addr()?, shared: self.shared.clone() };
        let serving = moved.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                std::thread::spawn(move || {
                    let _ = serving.serve(stream);
                });
            }
        });
        Ok(moved)
    }

    pub fn entries(&self) -> Vec<Entry> {
        lock(&self.shared.0).entries.values().cloned().collect()
    }

    pub fn generation(&self) -> u64 {
        lock(&self.shared.0).generation
    }

    /// Changes entries in one new generation, and returns it.
    pub fn change(&self, entries: &[Entry]) -> u64 {
        let mut state = lock(&self.shared.0);
        state.generation += 1;
        let generation = state.generation;
        for entry in entries {
            say!("discovery generation {generation}: {} {} {}", entry.id, entry.lifecycle, entry.address);
            if entry.lifecycle == "removed" {
                state.entries.remove(&entry.id);
            } else {
                state.entries.insert(entry.id.clone(), entry.clone());
            }
            state.changes.push((generation, entry.clone()));
        }
        self.shared.1.notify_all();
        generation
    }

    /// All open watches say nothing any more; new ones work.
    pub fn silence_watches(&self) {
        let mut state = lock(&self.shared.0);
        say!("discovery: open watches fall silent");
        state.silent_below = state.next_watch;
    }

    /// Resets all open watches.
    pub fn reset_watches(&self) {
        let state = lock(&self.shared.0);
        say!("discovery: open watches are reset");
        for (_, stream) in state.watches.values() {
            crate::common::reset_on_close(stream);
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Closes the open watches of one address.
    pub fn end_watches_of(&self, address: SocketAddr) {
        let state = lock(&self.shared.0);
        say!("discovery: the watches at {address} are closed");
        for (_, stream) in state.watches.values().filter(|(at, _)| *at == address) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// While down, the agent is silent.
    pub fn set_down(&self, down: bool) {
        let mut state = lock(&self.shared.0);
        say!("discovery: down = {down}");
        state.down = down;
        self.shared.1.notify_all();
    }

    pub fn set_answer_delay(&self, delay: Duration) {
        say!("discovery: answers to new calls take {delay:?}");
        lock(&self.shared.0).answer_delay = delay;
    }

    /// When a generation, or a later one, was first written to the pooler.
    pub fn written_at(&self, generation: u64) -> Option<i64> {
        lock(&self.shared.0).written_at.range(generation..).map(|(_, at)| *at).min()
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let _ = stream.set_nodelay(true);
        let mut request = Vec::new();
        let mut bytes = [0; 4096];
        while !request.windows(4).any(|window| window == b"\r\n\r\n") {
            match stream.read(&mut bytes)? {
                0 => return Ok(()),
                count => request.extend_from_slice(&bytes[..count]),
            }
        }
        let request = String::from_utf8_lossy(&request).into_owned();
        let since = request.split("since=").nth(1).and_then(|rest| {
            rest.split(|c: char| !c.is_ascii_digit()).next().and_then(|digits| digits.parse::<u64>().ok())
        });
        let delay = lock(&self.shared.0).answer_delay;
        say!("discovery: a call at {}, since={since:?}", self.address);
        std::thread::sleep(delay);
        let number = {
            let mut state = lock(&self.shared.0);
            while state.down {
                state = self.shared.1.wait(state).unwrap_or_else(|poisoned| poisoned.into_inner());
            }
            let number = state.next_watch;
            state.next_watch += 1;
            state.watches.insert(number, (self.address, stream.try_clone()?));
            number
        };
        // The pooler says nothing more on this connection but its end.
        let (ended, mut reader) = (Arc::new(AtomicBool::new(false)), stream.try_clone()?);
        let at_end = ended.clone();
        crate::common::spawn(move || {
            let mut bytes = [0; 64];
            while matches!(reader.read(&mut bytes), Ok(1..)) {}
            at_end.store(true, Ordering::SeqCst);
        })?;
        let result = self.watch(&mut stream, number, since.unwrap_or(0), &ended);
        lock(&self.shared.0).watches.remove(&number);
        result
    }

    fn watch(&self, stream: &mut TcpStream, number: u64, since: u64, ended: &AtomicBool) -> io::Result<()> {
        stream.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
        )?;
        let mut since = since;
        let mut first = true;
        let mut quiet_since = Instant::now();
        loop {
            let (line, generation) = {
                let mut state = lock(&self.shared.0);
                loop {
                    if ended.load(Ordering::SeqCst) {
                        say!("discovery: the pooler has ended watch {number}");
                        return Ok(());
                    }
                    let speaks = !state.down && number >= state.silent_below;
                    let has_news = first || state.generation > since;
                    if speaks && (has_news || quiet_since.elapsed() >= KEEP_ALIVE) {
                        break;
                    }
                    let wait = Duration::from_millis(50);
                    let waited = self.shared.1.wait_timeout(state, wait);
                    state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
                }
                if first && since == 0 {
                    let entries: Vec<Entry> = state.entries.values().cloned().collect();
                    (list_json(state.generation, true, &entries), Some(state.generation))
                } else if first || state.generation > since {
                    let changes = state.changes.iter().filter(|(generation, _)| *generation > since);
                    let entries: Vec<Entry> = changes.map(|(_, entry)| entry.clone()).collect();
                    (list_json(state.generation, false, &entries), Some(state.generation))
                } else {
                    (String::new(), None)
                }
            };
            if generation.is_some() && ended.load(Ordering::SeqCst) {
                return Ok(());
            }
            write_chunk(stream, &format!("{line}\n"))?;
            if let Some(generation) = generation {
                let at = now_us();
                lock(&self.shared.0).written_at.entry(generation).or_insert(at);
                say!("discovery: watch {number} was written generation {generation}");
                since = generation;
            }
            first = false;
            quiet_since = Instant::now();
        }
    }
}

pub fn write_chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}
