//! Fake servers that speak as much of PostgreSQL as a pooler needs, with a role, a log position and a lag.

use crate::history::SharedHistory;
use crate::server_messages::{
    ReportedState, push_empty_response, push_error_response, push_load_report, push_row_response,
    push_welcome,
};
use crate::statement::request_id;
use crate::{lock, unix_ms};
use pooler_proxy::protocol::{self, SqlState};
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::time::{Duration, Instant};

/// How far a replica is behind at the start.
const INITIAL_LAG_MS: i64 = 10;
const READ_SIZE: usize = 16 * 1024;

/// The log of a group: the primary writes, replicas apply it a little later.
#[derive(Debug, Default)]
pub struct ReplicationLog {
    last_commit: AtomicI64,
}

impl ReplicationLog {
    /// A commit's position: the time, and later than all before.
    fn commit(&self) -> i64 {
        let now = unix_ms();
        let before = self.last_commit.fetch_max(now, Ordering::SeqCst);
        if before >= now { self.last_commit.fetch_add(1, Ordering::SeqCst) + 1 } else { now }
    }
}

#[derive(Debug)]
struct State {
    id: String,
    is_primary: bool,
    /// How long a statement takes.
    work: Duration,
    log: Arc<ReplicationLog>,
    history: SharedHistory,
    lag_ms: AtomicI64,
    /// The latest position reported as a replica.
    reported_position: AtomicI64,
    is_down: AtomicBool,
}

/// A fake server.
#[derive(Clone)]
pub struct FakeServer {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
}

/// How a fake server is set up.
#[derive(Clone, Debug)]
pub struct FakeServerConfig {
    /// Its id, under which the history has it.
    pub id: String,
    /// Where it listens, on a free port.
    pub ip: IpAddr,
    /// Its role.
    pub is_primary: bool,
    /// How long it takes for a statement.
    pub work: Duration,
}

impl FakeServer {
    /// Starts a server.
    ///
    /// # Errors
    ///
    /// When it can't listen.
    pub fn start(
        config: FakeServerConfig,
        log: Arc<ReplicationLog>,
        history: SharedHistory,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((config.ip, 0))?;
        let state = State {
            id: config.id,
            is_primary: config.is_primary,
            work: config.work,
            log,
            history,
            lag_ms: AtomicI64::new(INITIAL_LAG_MS),
            reported_position: AtomicI64::default(),
            is_down: AtomicBool::default(),
        };
        let server = Self { address: listener.local_addr()?, state: Arc::new(state) };
        let state = server.state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { return };
                if state.is_down() {
                    continue;
                }
                let state = state.clone();
                std::thread::spawn(move || state.serve(stream));
            }
        });
        Ok(server)
    }

    /// Sets how far it is behind the log.
    pub fn set_lag(&self, ms: i64) {
        self.state.lag_ms.store(ms, Ordering::SeqCst);
    }

    /// From now on it closes every connection.
    pub fn take_down(&self) {
        self.state.is_down.store(true, Ordering::SeqCst);
    }
}

impl State {
    fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    fn position_ms(&self) -> i64 {
        // A primary has all that it has committed, two commits in one millisecond included.
        if self.is_primary {
            return unix_ms().max(self.log.last_commit.load(Ordering::SeqCst));
        }
        let applied = unix_ms() - self.lag_ms.load(Ordering::SeqCst);
        // A position never goes back: a replica that falls behind stands still first.
        applied.max(self.reported_position.fetch_max(applied, Ordering::SeqCst))
    }

    fn reported(&self) -> ReportedState {
        ReportedState { is_primary: self.is_primary, position_ms: self.position_ms() }
    }

    /// Serves a connection to its end.
    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Some(incoming) = connection.next() {
            let mut out = Vec::new();
            match incoming {
                Incoming::Startup => push_welcome(&mut out),
                Incoming::Statement { text, first_byte_at } => {
                    self.execute(&text, first_byte_at, &mut out);
                    connection.finish_statement();
                }
            }
            if self.is_down() || connection.stream.write_all(&out).is_err() {
                return;
            }
        }
    }

    fn execute(&self, statement: &str, first_byte_at: Instant, out: &mut Vec<u8>) {
        if statement.is_empty() {
            push_empty_response(out);
            return;
        }
        if statement.starts_with("SHOW") {
            push_load_report(out, self.is_primary, self.reported());
            return;
        }
        lock(&self.history).record_send(&self.id, first_byte_at);
        let id = request_id(statement);
        if !statement.starts_with("INSERT") {
            // What a read sees is what the server has when the read begins.
            let seen = self.reported();
            std::thread::sleep(self.work);
            push_row_response(out, format!("{id} {}", seen.position_ms).as_bytes(), seen);
        } else if self.is_primary {
            std::thread::sleep(self.work);
            lock(&self.history).record_execution(id);
            let position_ms = self.log.commit();
            let committed = ReportedState { is_primary: true, position_ms };
            push_row_response(out, format!("{id} {position_ms}").as_bytes(), committed);
        } else {
            push_error_response(out, SqlState::READ_ONLY_SQL_TRANSACTION, "read only", self.reported());
        }
    }
}

/// What a pooler sends.
enum Incoming {
    Startup,
    Statement { text: String, first_byte_at: Instant },
}

/// A pooler's connection to a fake server.
struct Connection {
    stream: TcpStream,
    unread: Vec<u8>,
    has_started: bool,
    /// When the first byte of what is unread came.
    first_byte_at: Option<Instant>,
}

impl Connection {
    fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, unread: Vec::new(), has_started: false, first_byte_at: None }
    }

    /// Waits for the next message; `None` at the end of the connection, or when it is no query.
    fn next(&mut self) -> Option<Incoming> {
        let mut bytes = vec![0; READ_SIZE];
        loop {
            if !self.has_started {
                if let Ok(Some((_, size))) = protocol::parse_startup_message(&self.unread) {
                    self.unread.drain(..size);
                    self.has_started = true;
                    return Some(Incoming::Startup);
                }
            } else if let Ok(Some(message)) = protocol::parse_frontend_message(&self.unread) {
                let (tag, size) = (message.tag, message.size);
                let text = protocol::parse_query(message.body).unwrap_or("").to_owned();
                self.unread.drain(..size);
                if tag != b'Q' {
                    return None;
                }
                let first_byte_at = self.first_byte_at.take().unwrap_or_else(Instant::now);
                return Some(Incoming::Statement { text, first_byte_at });
            }
            match self.stream.read(&mut bytes) {
                Ok(count @ 1..) => {
                    self.first_byte_at.get_or_insert_with(Instant::now);
                    self.unread.extend_from_slice(&bytes[..count]);
                }
                _ => return None,
            }
        }
    }

    /// A statement has been executed: what is unread belongs to the next.
    fn finish_statement(&mut self) {
        self.first_byte_at = (!self.unread.is_empty()).then(Instant::now);
    }
}
