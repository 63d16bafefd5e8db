//! A group of fake servers with one replicated log: a write is answered once a replica has it, and the primary can be
//! made to die at any point of a write, in any way. Then a replica takes over after a while.

use crate::server_messages::{
    ReportedState, push_empty_response, push_error_response, push_load_report, push_row, push_row_response,
    push_welcome,
};
use crate::statement::request_id;
use crate::{lock, unix_ms};
use pooler_proxy::protocol::{self, SqlState, write};
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a statement takes.
const WORK: Duration = Duration::from_millis(4);
/// How far replicas are behind.
const REPLICATION_LAG_MS: i64 = 8;
/// How soon a connection notices that its server has died.
const DEATH_POLL_INTERVAL: Duration = Duration::from_millis(2);
const READ_SIZE: usize = 16 * 1024;

/// Where in a write its primary dies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashPoint {
    /// No connection is left, and no listener.
    BeforeDial,
    /// A pooler has connected and is not welcomed.
    DuringDial,
    /// A connection is open, and nothing of the write has come.
    BeforeFirstByte,
    /// A part of the write has been read.
    MidStatement,
    /// All of it has been read, and it has not run.
    BeforeRun,
    /// It has run, and is not committed.
    BeforeCommit,
    /// It is committed, and no replica has it.
    BeforeShipped,
    /// A replica has it, and it is not answered.
    BeforeAnswer,
    /// Half of the response is out.
    HalfAnswer,
    /// All of it is out but for ReadyForQuery.
    BeforeReady,
}

impl CrashPoint {
    /// All, in their order.
    pub const ALL: [Self; 10] = [
        Self::BeforeDial,
        Self::DuringDial,
        Self::BeforeFirstByte,
        Self::MidStatement,
        Self::BeforeRun,
        Self::BeforeCommit,
        Self::BeforeShipped,
        Self::BeforeAnswer,
        Self::HalfAnswer,
        Self::BeforeReady,
    ];
}

/// How a server dies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashMode {
    /// All connections are reset, and new ones refused.
    Reset,
    /// All connections end, and new ones are refused.
    Closed,
    /// It does not answer any more; new connections come up and are not answered.
    Silent,
}

impl CrashMode {
    /// All.
    pub const ALL: [Self; 3] = [Self::Reset, Self::Closed, Self::Silent];
}

/// A crash that is still to come.
#[derive(Clone, Copy, Debug)]
struct PlannedCrash {
    point: CrashPoint,
    mode: CrashMode,
}

/// What has become of a write.
#[derive(Clone, Copy, Debug, Default)]
struct Row {
    executions: u32,
    is_replicated: bool,
}

#[derive(Debug, Default)]
struct State {
    primary: Option<usize>,
    /// Those that died, and how.
    dead: HashMap<usize, CrashMode>,
    planned_crash: Option<PlannedCrash>,
    crashed_at: Option<Instant>,
    /// The primary that hands over: it takes no new write.
    draining: Option<usize>,
    /// Where the positions of replicas stand still while there is no primary.
    standstill_ms: i64,
    /// By request.
    rows: HashMap<String, Row>,
    last_commit_ms: i64,
}

impl State {
    /// Has the primary die if that is planned for here; whether it does.
    fn crash_at(&mut self, point: CrashPoint) -> bool {
        let Some(crash) = self.planned_crash.filter(|crash| crash.point == point) else { return false };
        if let Some(primary) = self.primary.take() {
            self.dead.insert(primary, crash.mode);
            self.standstill_ms = unix_ms() - REPLICATION_LAG_MS;
            self.crashed_at = Some(Instant::now());
        }
        self.planned_crash = None;
        true
    }

    /// Up to where a server has applied the log.
    fn position_ms(&self, server: usize) -> i64 {
        match self.primary {
            Some(primary) if primary == server && self.draining.is_none() => {
                unix_ms().max(self.last_commit_ms)
            }
            Some(_) if self.draining.is_none() => unix_ms() - REPLICATION_LAG_MS,
            _ => self.standstill_ms,
        }
    }

    fn commit(&mut self, id: &str) -> i64 {
        self.rows.entry(id.to_owned()).or_default().executions += 1;
        self.last_commit_ms = unix_ms().max(self.last_commit_ms + 1);
        self.last_commit_ms
    }
}

/// A group of servers.
#[derive(Clone, Debug)]
pub struct ReplicatedGroup {
    state: Arc<Mutex<State>>,
    /// Where each of them listens; the first is the primary at the start.
    pub addresses: Vec<SocketAddr>,
}

/// The server has died: its connections end as its crash mode says.
struct Crashed;

impl ReplicatedGroup {
    /// So many servers on `ip`.
    ///
    /// # Errors
    ///
    /// When one can't listen.
    pub fn start(count: usize, ip: IpAddr) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State { primary: Some(0), ..State::default() }));
        let listeners =
            (0..count).map(|_| TcpListener::bind((ip, 0))).collect::<std::io::Result<Vec<_>>>()?;
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<std::io::Result<_>>()?;
        let group = Self { state, addresses };
        for (server, listener) in listeners.into_iter().enumerate() {
            listener.set_nonblocking(true)?;
            let group = group.clone();
            std::thread::spawn(move || group.listen(server, &listener));
        }
        Ok(group)
    }

    /// Makes the primary die at a point of the next write.
    pub fn plan_crash(&self, point: CrashPoint, mode: CrashMode) {
        let mut state = lock(&self.state);
        state.planned_crash = Some(PlannedCrash { point, mode });
        if matches!(point, CrashPoint::BeforeDial | CrashPoint::BeforeFirstByte) {
            state.crash_at(point);
        }
    }

    /// When the primary died.
    #[must_use]
    pub fn crashed_at(&self) -> Option<Instant> {
        lock(&self.state).crashed_at
    }

    /// The primary takes no new write from now on.
    pub fn drain_primary(&self) {
        let mut state = lock(&self.state);
        state.draining = state.primary;
        state.standstill_ms = unix_ms() - REPLICATION_LAG_MS;
    }

    /// A server takes over; the old primary, if it lives, is a replica.
    pub fn promote(&self, server: usize) {
        let mut state = lock(&self.state);
        state.primary = Some(server);
        state.draining = None;
    }

    /// The ids of the writes that a replica has, and how often each ran.
    #[must_use]
    pub fn replicated_rows(&self) -> HashMap<String, u32> {
        let state = lock(&self.state);
        let replicated = state.rows.iter().filter(|(_, row)| row.is_replicated);
        replicated.map(|(id, row)| (id.clone(), row.executions)).collect()
    }

    /// How many writes ran more than once, replicated or not.
    #[must_use]
    pub fn doubled_rows(&self) -> usize {
        lock(&self.state).rows.values().filter(|row| row.executions > 1).count()
    }

    fn crash_mode(&self, server: usize) -> Option<CrashMode> {
        lock(&self.state).dead.get(&server).copied()
    }

    /// Whether the server dies here.
    fn crashes(&self, server: usize, point: CrashPoint) -> bool {
        let mut state = lock(&self.state);
        state.primary == Some(server) && state.crash_at(point)
    }

    /// Ends a statement if the server dies here.
    fn survive(&self, server: usize, point: CrashPoint) -> Result<(), Crashed> {
        if self.crashes(server, point) { Err(Crashed) } else { Ok(()) }
    }

    /// Accepts a server's connections for as long as it lives.
    fn listen(&self, server: usize, listener: &TcpListener) {
        loop {
            if self.crash_mode(server).is_none() {
                while let Ok((stream, _)) = listener.accept() {
                    let group = self.clone();
                    std::thread::spawn(move || group.serve(server, stream));
                }
            }
            std::thread::sleep(DEATH_POLL_INTERVAL);
        }
    }

    /// Ends a connection of a server that has died.
    fn end_connection(&self, server: usize, stream: &TcpStream) {
        match self.crash_mode(server) {
            Some(CrashMode::Reset) => reset_on_close(stream),
            Some(CrashMode::Silent) => {
                while self.crash_mode(server) == Some(CrashMode::Silent) {
                    std::thread::sleep(DEATH_POLL_INTERVAL);
                }
                reset_on_close(stream);
            }
            _ => {}
        }
    }

    /// Serves a connection to its end, or to that of its server.
    fn serve(&self, server: usize, mut stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(DEATH_POLL_INTERVAL));
        let mut connection = ServerConnection { group: self, server, unread: Vec::new(), has_started: false };
        let mut bytes = vec![0; READ_SIZE];
        loop {
            if self.crash_mode(server).is_some() {
                return self.end_connection(server, &stream);
            }
            let mut out = Vec::new();
            match connection.answer(&mut out) {
                Ok(Progress::Answered) => {
                    if stream.write_all(&out).is_err() {
                        return;
                    }
                    continue;
                }
                Ok(Progress::NeedsMore) => {}
                Ok(Progress::Ended) => return,
                Err(Crashed) => {
                    let _ = stream.write_all(&out);
                    return self.end_connection(server, &stream);
                }
            }
            match stream.read(&mut bytes) {
                Ok(count @ 1..) => connection.unread.extend_from_slice(&bytes[..count]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                _ => return,
            }
        }
    }

    /// Answers a statement. If the server dies with it, what is in `out` by then is still written.
    fn execute(&self, server: usize, statement: &str, out: &mut Vec<u8>) -> Result<(), Crashed> {
        if statement.is_empty() {
            push_empty_response(out);
            return Ok(());
        }
        let (is_draining, reported) = {
            let state = lock(&self.state);
            let is_primary = state.primary == Some(server);
            let position_ms = state.position_ms(server);
            (state.draining == Some(server), ReportedState { is_primary, position_ms })
        };
        let id = request_id(statement);
        if statement.starts_with("SHOW") {
            push_load_report(out, reported.is_primary && !is_draining, reported);
            Ok(())
        } else if !statement.starts_with("INSERT") {
            std::thread::sleep(WORK);
            push_row_response(out, format!("{id} {}", reported.position_ms).as_bytes(), reported);
            Ok(())
        } else if is_draining || !reported.is_primary {
            let sql_state = if is_draining {
                SqlState::TOO_MANY_CONNECTIONS
            } else {
                SqlState::READ_ONLY_SQL_TRANSACTION
            };
            push_error_response(out, sql_state, "not here", reported);
            Ok(())
        } else {
            self.execute_write(server, id, out)
        }
    }

    fn execute_write(&self, server: usize, id: &str, out: &mut Vec<u8>) -> Result<(), Crashed> {
        self.survive(server, CrashPoint::BeforeRun)?;
        std::thread::sleep(WORK);
        self.survive(server, CrashPoint::BeforeCommit)?;
        let position_ms = lock(&self.state).commit(id);
        self.survive(server, CrashPoint::BeforeShipped)?;
        // A server that died meanwhile replicates nothing more.
        if self.crash_mode(server).is_some() {
            return Err(Crashed);
        }
        if let Some(row) = lock(&self.state).rows.get_mut(id) {
            row.is_replicated = true;
        }
        self.survive(server, CrashPoint::BeforeAnswer)?;
        let committed = ReportedState { is_primary: true, position_ms };
        push_row(out, format!("{id} {position_ms}").as_bytes(), committed);
        if self.crashes(server, CrashPoint::HalfAnswer) {
            out.truncate(out.len() / 2);
            return Err(Crashed);
        }
        self.survive(server, CrashPoint::BeforeReady)?;
        write::ready_for_query(out);
        Ok(())
    }
}

/// How far the answer to what has been read has come.
enum Progress {
    Answered,
    NeedsMore,
    /// The pooler has ended the connection.
    Ended,
}

/// A pooler's connection to one of the servers.
struct ServerConnection<'g> {
    group: &'g ReplicatedGroup,
    server: usize,
    unread: Vec<u8>,
    has_started: bool,
}

impl ServerConnection<'_> {
    /// Answers the next message, if all of it has been read.
    fn answer(&mut self, out: &mut Vec<u8>) -> Result<Progress, Crashed> {
        if !self.has_started {
            let Ok(Some((_, size))) = protocol::parse_startup_message(&self.unread) else {
                return Ok(Progress::NeedsMore);
            };
            self.group.survive(self.server, CrashPoint::DuringDial)?;
            self.unread.drain(..size);
            push_welcome(out);
            self.has_started = true;
            return Ok(Progress::Answered);
        }
        if self.has_begun_write() {
            self.group.survive(self.server, CrashPoint::MidStatement)?;
        }
        let Ok(Some(message)) = protocol::parse_frontend_message(&self.unread) else {
            return Ok(Progress::NeedsMore);
        };
        let (tag, size) = (message.tag, message.size);
        let statement = protocol::parse_query(message.body).unwrap_or("").to_owned();
        self.unread.drain(..size);
        if tag != b'Q' {
            return Ok(Progress::Ended);
        }
        self.group.execute(self.server, &statement, out)?;
        Ok(Progress::Answered)
    }

    /// Whether the first bytes of a write have been read.
    fn has_begun_write(&self) -> bool {
        let statement = self.unread.get(5..);
        self.unread.first() == Some(&b'Q')
            && statement.is_some_and(|statement| statement.starts_with(b"INSERT"))
    }
}

/// Has a connection be reset when it is closed.
fn reset_on_close(stream: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}
