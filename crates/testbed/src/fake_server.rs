//! Fake servers that implement the part of the PostgreSQL protocol that a pooler needs. Each has a role, a
//! log position and a replication lag.

use crate::history::SharedHistory;
use crate::server_messages::{
    ReportedState, push_empty_response, push_error_response, push_load_report, push_row_response,
    push_session_start,
};
use crate::statement::request_id;
use crate::{lock, unix_ms};
use pooler_proxy::protocol::{self, SqlState};
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::time::{Duration, Instant};

/// The replication lag of a replica at the start.
const INITIAL_LAG_MS: i64 = 10;
const READ_SIZE: usize = 16 * 1024;

/// The replicated log of a group: the primary appends to it, and replicas apply it after their lag.
#[derive(Debug, Default)]
pub struct ReplicationLog {
    last_commit: AtomicI64,
}

impl ReplicationLog {
    /// Returns the position of a new commit: the Unix time in milliseconds, or the last position plus
    /// one if the clock has not passed it.
    fn commit(&self) -> i64 {
        let now = unix_ms();
        let previous = self.last_commit.fetch_max(now, Ordering::SeqCst);
        if previous >= now { self.last_commit.fetch_add(1, Ordering::SeqCst) + 1 } else { now }
    }
}

#[derive(Debug)]
struct State {
    id: String,
    is_primary: bool,
    /// How long each statement takes to execute.
    statement_duration: Duration,
    log: Arc<ReplicationLog>,
    history: SharedHistory,
    lag_ms: AtomicI64,
    /// The highest position that this server has reported as a replica, in Unix milliseconds.
    reported_position: AtomicI64,
    is_down: AtomicBool,
}

/// A running fake server; clones share its state.
#[derive(Clone)]
pub struct FakeServer {
    /// The address that the server listens on.
    pub address: SocketAddr,
    state: Arc<State>,
}

/// The configuration of a fake server.
#[derive(Clone, Debug)]
pub struct FakeServerConfig {
    /// The id under which the history records what the server receives.
    pub id: String,
    /// The IP address that the server listens on; the port is any free one.
    pub ip: IpAddr,
    /// Whether the server is the primary.
    pub is_primary: bool,
    /// How long each statement takes to execute.
    pub statement_duration: Duration,
}

impl FakeServer {
    /// Starts a server.
    ///
    /// # Errors
    ///
    /// If the server can't listen on its address.
    pub fn start(
        config: FakeServerConfig,
        log: Arc<ReplicationLog>,
        history: SharedHistory,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((config.ip, 0))?;
        let state = State {
            id: config.id,
            is_primary: config.is_primary,
            statement_duration: config.statement_duration,
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

    /// Sets the replication lag in milliseconds.
    pub fn set_lag(&self, ms: i64) {
        self.state.lag_ms.store(ms, Ordering::SeqCst);
    }

    /// Makes the server close new connections at once, and open ones instead of sending a response.
    pub fn take_down(&self) {
        self.state.is_down.store(true, Ordering::SeqCst);
    }
}

impl State {
    fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    fn position_ms(&self) -> i64 {
        // Two commits in one millisecond put the last commit ahead of the clock, and a primary includes all
        // its commits.
        if self.is_primary {
            return unix_ms().max(self.log.last_commit.load(Ordering::SeqCst));
        }
        let applied = unix_ms() - self.lag_ms.load(Ordering::SeqCst);
        // A position never decreases: when the lag grows, a replica's position stays constant until the log
        // catches up.
        applied.max(self.reported_position.fetch_max(applied, Ordering::SeqCst))
    }

    fn reported_state(&self) -> ReportedState {
        ReportedState { is_primary: self.is_primary, position_ms: self.position_ms() }
    }

    /// Serves a connection until it ends.
    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Some(incoming) = connection.next() {
            let mut out = Vec::new();
            match incoming {
                Incoming::Startup => push_session_start(&mut out),
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
            push_load_report(out, self.is_primary, self.reported_state());
            return;
        }
        lock(&self.history).record_send(&self.id, first_byte_at);
        let id = request_id(statement);
        if !statement.starts_with("INSERT") {
            // A read returns the position at its start, as a snapshot does.
            let state_at_start = self.reported_state();
            std::thread::sleep(self.statement_duration);
            push_row_response(out, format!("{id} {}", state_at_start.position_ms).as_bytes(), state_at_start);
        } else if self.is_primary {
            std::thread::sleep(self.statement_duration);
            lock(&self.history).record_execution(id);
            let position_ms = self.log.commit();
            let committed = ReportedState { is_primary: true, position_ms };
            push_row_response(out, format!("{id} {position_ms}").as_bytes(), committed);
        } else {
            push_error_response(out, SqlState::READ_ONLY_SQL_TRANSACTION, "read only", self.reported_state());
        }
    }
}

/// A message from a pooler.
enum Incoming {
    Startup,
    Statement { text: String, first_byte_at: Instant },
}

/// A pooler's connection to a fake server.
struct Connection {
    stream: TcpStream,
    unread: Vec<u8>,
    has_started: bool,
    /// When the first of the unread bytes arrived.
    first_byte_at: Option<Instant>,
}

impl Connection {
    fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, unread: Vec::new(), has_started: false, first_byte_at: None }
    }

    /// Waits for the next message. Returns `None` at the end of the connection, or for a message that is
    /// not a query.
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

    /// Called after a statement has been executed: any unread bytes belong to the next statement.
    fn finish_statement(&mut self) {
        self.first_byte_at = (!self.unread.is_empty()).then(Instant::now);
    }
}
