//! A group of fake servers with one replicated log. A write is answered once a replica has it. The primary
//! can be made to crash at each point of a write, in each crash mode; the caller then promotes a replica.

use crate::server_messages::{
    ReportedState, push_empty_response, push_error_response, push_load_report, push_row, push_row_response,
    push_session_start,
};
use crate::statement::request_id;
use crate::{lock, unix_ms};
use pooler_proxy::protocol::{self, SqlState, write};
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long each statement takes to execute.
const STATEMENT_DURATION: Duration = Duration::from_millis(4);
/// How far the replicas are behind the primary.
const REPLICATION_LAG_MS: i64 = 8;
/// How often connections and listeners check whether their server has crashed.
const CRASH_POLL_INTERVAL: Duration = Duration::from_millis(2);
const READ_SIZE: usize = 16 * 1024;

/// The point of a write at which its primary crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashPoint {
    /// Before the pooler connects: the server crashes at once and accepts no new connection.
    BeforeDial,
    /// A pooler has connected and sent its startup message, and the server has not answered it.
    DuringDial,
    /// A connection is open, and no byte of the write has arrived.
    BeforeFirstByte,
    /// The first bytes of the write have been read.
    MidStatement,
    /// The whole write has been read, and its execution has not begun.
    BeforeRun,
    /// The write has been executed, and is not committed.
    BeforeCommit,
    /// The write is committed, and no replica has it.
    BeforeShipped,
    /// A replica has the write, and no byte of the response has been sent.
    BeforeAnswer,
    /// Half of the response has been sent.
    HalfAnswer,
    /// The whole response except ReadyForQuery has been sent.
    BeforeReady,
}

impl CrashPoint {
    /// All crash points, in the order in which a write reaches them.
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

/// How a crashed server treats its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashMode {
    /// All connections are reset, and new ones are not accepted.
    Reset,
    /// All connections are closed, and new ones are not accepted.
    Closed,
    /// The server stops answering: its connections stay open, and new ones open and are not answered.
    Silent,
}

impl CrashMode {
    /// All crash modes.
    pub const ALL: [Self; 3] = [Self::Reset, Self::Closed, Self::Silent];
}

/// A crash that has been planned and has not happened yet.
#[derive(Clone, Copy, Debug)]
struct PlannedCrash {
    point: CrashPoint,
    mode: CrashMode,
}

/// The state of a committed write.
#[derive(Clone, Copy, Debug, Default)]
struct Row {
    executions: u32,
    is_replicated: bool,
}

#[derive(Debug, Default)]
struct State {
    primary: Option<usize>,
    /// The crashed servers by index, each with its crash mode.
    crashed_servers: HashMap<usize, CrashMode>,
    planned_crash: Option<PlannedCrash>,
    crashed_at: Option<Instant>,
    /// The primary in a planned handover: it accepts no new write.
    draining: Option<usize>,
    /// The position that all servers report while no primary accepts writes, in Unix milliseconds.
    frozen_position_ms: i64,
    /// The committed writes by request id.
    rows: HashMap<String, Row>,
    last_commit_ms: i64,
}

impl State {
    /// Crashes the primary if a crash is planned for this point, and returns whether one was.
    fn crash_at(&mut self, point: CrashPoint) -> bool {
        let Some(crash) = self.planned_crash.filter(|crash| crash.point == point) else { return false };
        if let Some(primary) = self.primary.take() {
            self.crashed_servers.insert(primary, crash.mode);
            self.frozen_position_ms = unix_ms() - REPLICATION_LAG_MS;
            self.crashed_at = Some(Instant::now());
        }
        self.planned_crash = None;
        true
    }

    /// The position up to which a server has applied the log, in Unix milliseconds.
    fn position_ms(&self, server: usize) -> i64 {
        match self.primary {
            Some(primary) if primary == server && self.draining.is_none() => {
                unix_ms().max(self.last_commit_ms)
            }
            Some(_) if self.draining.is_none() => unix_ms() - REPLICATION_LAG_MS,
            _ => self.frozen_position_ms,
        }
    }

    fn commit(&mut self, id: &str) -> i64 {
        self.rows.entry(id.to_owned()).or_default().executions += 1;
        self.last_commit_ms = unix_ms().max(self.last_commit_ms + 1);
        self.last_commit_ms
    }
}

/// A running group of servers; clones share its state.
#[derive(Clone, Debug)]
pub struct ReplicatedGroup {
    state: Arc<Mutex<State>>,
    /// The address of each server; the first server is the primary at the start.
    pub addresses: Vec<SocketAddr>,
}

/// The error of a statement whose server has crashed: the connection ends according to the crash mode.
struct Crashed;

impl ReplicatedGroup {
    /// Starts `count` servers on `ip`.
    ///
    /// # Errors
    ///
    /// If a server can't listen on its address.
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

    /// Makes the primary crash when a write next reaches `point`. At `BeforeDial` and `BeforeFirstByte` the
    /// primary crashes at once.
    pub fn plan_crash(&self, point: CrashPoint, mode: CrashMode) {
        let mut state = lock(&self.state);
        state.planned_crash = Some(PlannedCrash { point, mode });
        if matches!(point, CrashPoint::BeforeDial | CrashPoint::BeforeFirstByte) {
            state.crash_at(point);
        }
    }

    /// When the primary crashed, if it has crashed.
    #[must_use]
    pub fn crashed_at(&self) -> Option<Instant> {
        lock(&self.state).crashed_at
    }

    /// Starts a planned handover: the primary accepts no new write from now on.
    pub fn drain_primary(&self) {
        let mut state = lock(&self.state);
        state.draining = state.primary;
        state.frozen_position_ms = unix_ms() - REPLICATION_LAG_MS;
    }

    /// Makes `server` the primary. The old primary becomes a replica unless it has crashed.
    pub fn promote(&self, server: usize) {
        let mut state = lock(&self.state);
        state.primary = Some(server);
        state.draining = None;
    }

    /// The ids of the writes that a replica has, and how often each write was executed.
    #[must_use]
    pub fn replicated_rows(&self) -> HashMap<String, u32> {
        let state = lock(&self.state);
        let replicated = state.rows.iter().filter(|(_, row)| row.is_replicated);
        replicated.map(|(id, row)| (id.clone(), row.executions)).collect()
    }

    /// How many writes were executed more than once, replicated or not.
    #[must_use]
    pub fn writes_executed_repeatedly(&self) -> usize {
        lock(&self.state).rows.values().filter(|row| row.executions > 1).count()
    }

    fn crash_mode(&self, server: usize) -> Option<CrashMode> {
        lock(&self.state).crashed_servers.get(&server).copied()
    }

    /// Crashes `server` if it is the primary and a crash is planned for this point, and returns whether it
    /// crashed.
    fn crashes_at(&self, server: usize, point: CrashPoint) -> bool {
        let mut state = lock(&self.state);
        state.primary == Some(server) && state.crash_at(point)
    }

    /// Returns an error, which ends the statement, if the server crashes at this point.
    fn check_crash_point(&self, server: usize, point: CrashPoint) -> Result<(), Crashed> {
        if self.crashes_at(server, point) { Err(Crashed) } else { Ok(()) }
    }

    /// Accepts a server's connections while the server has not crashed.
    fn listen(&self, server: usize, listener: &TcpListener) {
        loop {
            if self.crash_mode(server).is_none() {
                while let Ok((stream, _)) = listener.accept() {
                    let group = self.clone();
                    std::thread::spawn(move || group.serve(server, stream));
                }
            }
            std::thread::sleep(CRASH_POLL_INTERVAL);
        }
    }

    /// Ends a connection of a crashed server according to its crash mode.
    fn end_connection(&self, server: usize, stream: &TcpStream) {
        match self.crash_mode(server) {
            Some(CrashMode::Reset) => reset_on_close(stream),
            Some(CrashMode::Silent) => {
                while self.crash_mode(server) == Some(CrashMode::Silent) {
                    std::thread::sleep(CRASH_POLL_INTERVAL);
                }
                reset_on_close(stream);
            }
            _ => {}
        }
    }

    /// Serves a connection until it ends or its server crashes.
    fn serve(&self, server: usize, mut stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(CRASH_POLL_INTERVAL));
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
                Ok(Progress::Incomplete) => {}
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

    /// Answers a statement. If the server crashes meanwhile, the part of the response that is already in
    /// `out` is still sent.
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
            std::thread::sleep(STATEMENT_DURATION);
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
        self.check_crash_point(server, CrashPoint::BeforeRun)?;
        std::thread::sleep(STATEMENT_DURATION);
        self.check_crash_point(server, CrashPoint::BeforeCommit)?;
        let position_ms = lock(&self.state).commit(id);
        self.check_crash_point(server, CrashPoint::BeforeShipped)?;
        // A server that crashed meanwhile, at another connection's write, replicates nothing more.
        if self.crash_mode(server).is_some() {
            return Err(Crashed);
        }
        if let Some(row) = lock(&self.state).rows.get_mut(id) {
            row.is_replicated = true;
        }
        self.check_crash_point(server, CrashPoint::BeforeAnswer)?;
        let committed = ReportedState { is_primary: true, position_ms };
        push_row(out, format!("{id} {position_ms}").as_bytes(), committed);
        if self.crashes_at(server, CrashPoint::HalfAnswer) {
            out.truncate(out.len() / 2);
            return Err(Crashed);
        }
        self.check_crash_point(server, CrashPoint::BeforeReady)?;
        write::ready_for_query(out);
        Ok(())
    }
}

/// The result of processing the bytes that have been read.
enum Progress {
    /// A message was answered.
    Answered,
    /// The next message is incomplete.
    Incomplete,
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
    /// Answers the next message if it has been read completely.
    fn answer(&mut self, out: &mut Vec<u8>) -> Result<Progress, Crashed> {
        if !self.has_started {
            let Ok(Some((_, size))) = protocol::parse_startup_message(&self.unread) else {
                return Ok(Progress::Incomplete);
            };
            self.group.check_crash_point(self.server, CrashPoint::DuringDial)?;
            self.unread.drain(..size);
            push_session_start(out);
            self.has_started = true;
            return Ok(Progress::Answered);
        }
        if self.has_begun_write() {
            self.group.check_crash_point(self.server, CrashPoint::MidStatement)?;
        }
        let Ok(Some(message)) = protocol::parse_frontend_message(&self.unread) else {
            return Ok(Progress::Incomplete);
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

    /// Whether the unread bytes begin with those of a write.
    fn has_begun_write(&self) -> bool {
        let statement = self.unread.get(5..);
        self.unread.first() == Some(&b'Q')
            && statement.is_some_and(|statement| statement.starts_with(b"INSERT"))
    }
}

/// Makes the close of a connection reset it: with a linger time of zero, close sends RST.
fn reset_on_close(stream: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}
