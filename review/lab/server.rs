//! A data server: it keeps a log of commits by key, shared by its group, and serves what it has applied.

use crate::messages::{self, Reader};
use crate::now_us;
use crate::record::Record;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How often a data server refreshes its report, in microseconds (51 to 250 ms).
const REPORT_PERIOD_US: i64 = 100_000;

/// The log of a group: by key, the commits and the ids of their writes.
pub type Log = Arc<Mutex<HashMap<String, Vec<(i64, String)>>>>;

/// What a data server is, and how far it has applied the log.
#[derive(Clone, Copy)]
pub enum Kind {
    Primary,
    /// Applies the log this many microseconds late.
    Replica { lag_us: i64 },
    /// Began at `started_us` from a copy that was `age_us` old, and applies the log at `rate` seconds of log a
    /// second until it lags by `lag_us`.
    Joined { started_us: i64, age_us: i64, rate: f64, lag_us: i64 },
}

impl Kind {
    fn position_at(self, at_us: i64) -> i64 {
        match self {
            Self::Primary => at_us,
            Self::Replica { lag_us } => at_us - lag_us,
            Self::Joined { started_us, age_us, rate, lag_us } => {
                let since = (at_us - started_us).max(0) as f64;
                (at_us - lag_us).min(started_us - age_us + (since * rate) as i64)
            }
        }
    }

    pub fn is_primary(self) -> bool {
        matches!(self, Self::Primary)
    }
}

/// A running data server; clones share it.
#[derive(Clone)]
pub struct Server {
    pub id: &'static str,
    pub address: SocketAddr,
    kind: Arc<Mutex<Kind>>,
    /// While set, the next answer to an empty query is spoilt: notices follow that never end.
    spoils: Arc<AtomicBool>,
    log: Log,
    work: Duration,
    reads: Arc<AtomicU64>,
    record: Record,
}

impl Server {
    pub fn start(id: &'static str, kind: Kind, log: &Log, work: Duration, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Self {
            id,
            address: listener.local_addr()?,
            kind: Arc::new(Mutex::new(kind)),
            spoils: Arc::default(),
            log: log.clone(),
            work,
            reads: Arc::default(),
            record: record.clone(),
        };
        let accepting = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                std::thread::spawn(move || {
                    let _ = server.serve(stream);
                });
            }
        });
        Ok(server)
    }

    pub fn kind(&self) -> Kind {
        *self.kind.lock().unwrap()
    }


    /// Spoils the next answer to an empty query.
    pub fn spoil_next(&self) {
        self.spoils.store(true, Ordering::SeqCst);
    }

    /// The number of reads that it has answered.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::SeqCst)
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new();
        reader.startup(&mut stream)?;
        let mut out = Vec::new();
        messages::welcome(&mut out);
        stream.write_all(&out)?;
        loop {
            let (tag, body) = reader.message(&mut stream)?;
            if tag != b'Q' {
                return Ok(());
            }
                let statement = String::from_utf8_lossy(&body[..body.len().saturating_sub(1)]).into_owned();
            let mut out = Vec::new();
            if statement.is_empty() && self.spoils.swap(false, Ordering::SeqCst) {
                return self.answer_without_end(stream);
            }
            self.execute(&statement, &mut out);
            stream.write_all(&out)?;
        }
    }

    /// Answers an empty query with notices that never end.
    fn answer_without_end(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let (mut out, mut sent) = (Vec::new(), 0);
        messages::push(&mut out, b'I', b"");
        stream.write_all(&out)?;
        out.clear();
        messages::push(&mut out, b'N', b"\0");
        let out = out.repeat(40_000);
        self.record.line(&format!("spoilt answer to an empty query by {} begins", self.id));
        loop {
            let result = stream.write_all(&out);
            sent += out.len() as u64;
            if result.is_err() {
                self.record.line(&format!("spoilt answer ends with its connection, after {sent} bytes"));
                return result;
            }
        }
    }

    fn execute(&self, statement: &str, out: &mut Vec<u8>) {
        let kind = self.kind();
        if statement.is_empty() {
            messages::push(out, b'I', b"");
        } else if statement == "SHOW gauges" {
            let now = now_us();
            let position = kind.position_at(now - now.rem_euclid(REPORT_PERIOD_US));
            let seconds = position.div_euclid(1_000) as f64 / 1_000.0;
            messages::row(out, format!("x0={seconds:.3},x1={}", u8::from(kind.is_primary())).as_bytes(), "SHOW");
        } else if statement.starts_with("INSERT") {
            self.write(kind, statement, out);
        } else if statement.starts_with("SELECT") {
            std::thread::sleep(self.work);
            // It answers from what it has applied by the end of its work, the latest that it can.
            let position = kind.position_at(now_us());
            let version = self.read(messages::key(statement), position);
            self.reads.fetch_add(1, Ordering::SeqCst);
            let id = messages::field(statement, "id").unwrap_or("");
            self.record.line(&format!("run read id={id} at {} position={position}", self.id));
            messages::row(out, format!("{version} {} {position}", self.id).as_bytes(), "SELECT 1");
            messages::parameter(out, "part", if kind.is_primary() { "master" } else { "replica" });
        } else {
            messages::error(out, "ERROR", "08P01", "not understood");
        }
        messages::ready(out);
    }

    fn write(&self, kind: Kind, statement: &str, out: &mut Vec<u8>) {
        let id = messages::field(statement, "id").unwrap_or("");
        if !kind.is_primary() {
            messages::error(out, "ERROR", "25006", "read only");
            messages::parameter(out, "part", "replica");
            return;
        }
        std::thread::sleep(self.work);
        let commit = now_us();
        let key = messages::key(statement).to_owned();
        self.log.lock().unwrap().entry(key).or_default().push((commit, id.to_owned()));
        self.record.line(&format!("run write id={id} at {} commit={commit}", self.id));
        messages::row(out, id.as_bytes(), "INSERT 0 1");
        messages::parameter(out, "part", "master");
        messages::parameter(out, "caught_up_to", &(commit + 999).div_euclid(1_000).to_string());
    }

    /// The latest version of a key that the log has up to a position.
    fn read(&self, key: &str, position: i64) -> String {
        let log = self.log.lock().unwrap();
        let commits = log.get(key).map_or(&[][..], Vec::as_slice);
        let applied = commits.iter().rev().find(|(commit, _)| *commit <= position);
        applied.map_or("nothing".to_owned(), |(_, id)| id.clone())
    }
}
