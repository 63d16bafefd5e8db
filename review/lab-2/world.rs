//! Stand-ins of data servers: groups of a primary and its replicas, with positions, roles and failures as
//! the pages describe them.

use crate::common::*;
use crate::discovery::Entry;
use crate::say;
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// What a data server does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    Running,
    /// Connections stay open and silent; new ones are accepted by the system and silent.
    Hung,
    /// The process is dead: connections are reset and new ones are refused.
    Dead,
}

/// One attempt as its data server saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub class: String,
    pub key: String,
    pub server: String,
    pub first_byte_at: i64,
    pub last_byte_at: i64,
    /// The `d` that the pooler told.
    pub told_ms: f64,
    /// The position of the data that a read was answered from, in microseconds; 0 for a write.
    pub position: i64,
    /// Whether the data server was the primary when it executed the read.
    pub as_primary: bool,
    pub ran: bool,
    /// When the answer was written; 0 if none was.
    pub answered_at: i64,
    /// Whether the answer named the server a primary.
    pub told_primary: bool,
    pub commit_ms: i64,
}

/// All that data servers saw, in the order of arrival.
#[derive(Default)]
pub struct History {
    pub attempts: Mutex<Vec<Attempt>>,
    /// Statements that no client sent in the form of the pages.
    pub foreign: AtomicU64,
}

#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How many requests a data server works on at once.
    pub slots: usize,
    /// How many wait beyond that.
    pub queue: usize,
    pub read_ms: (f64, f64),
    pub write_ms: (f64, f64),
    /// Whether answers to reads tell the position.
    pub tells_position: bool,
    /// The time from the accept to the welcome: share of connections, and up to how long in ms.
    pub late_connections: (f64, f64),
    /// The share of answers that are spoilt.
    pub spoilt: f64,
    /// The share of good answers that carry more behind them.
    pub surplus: f64,
    /// The share of requests under which the connection is reset after the request has begun.
    pub resets: f64,
    /// The share of requests that end with XX000.
    pub errors: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 5,
            queue: 60,
            read_ms: (20.0, 60.0),
            write_ms: (20.0, 60.0),
            tells_position: false,
            late_connections: (0.0, 0.0),
            spoilt: 0.0,
            surplus: 0.0,
            resets: 0.0,
            errors: 0.0,
        }
    }
}

struct Work {
    running: usize,
    waiting: usize,
}

/// The shared state of a replication group.
#[derive(Default)]
pub struct Group {
    /// Whether a live primary ships its log.
    pub ships: AtomicBool,
}

pub struct Server {
    pub id: String,
    pub cell: i64,
    pub address: SocketAddr,
    pub group: Arc<Group>,
    pub settings: Arc<Mutex<Settings>>,
    history: Arc<History>,
    condition: Mutex<Condition>,
    changed: Condvar,
    work: Mutex<Work>,
    freed: Condvar,
    is_primary: AtomicBool,
    /// The position of a replica, in microseconds since 1970.
    position: AtomicI64,
    /// The lag of a replica, in microseconds.
    pub lag: AtomicI64,
    /// How many times slower than usual this server is, in thousandths.
    pub slowness: AtomicU64,
    connections: Mutex<HashMap<u64, TcpStream>>,
    next_connection: AtomicU64,
    /// Counts the deaths: threads of an earlier process end.
    life: AtomicU64,
    pub probes: AtomicU64,
}

impl Server {
    pub fn start(
        id: &str,
        cell: i64,
        group: Arc<Group>,
        is_primary: bool,
        settings: Arc<Mutex<Settings>>,
        history: Arc<History>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Arc::new(Self {
            id: id.to_owned(),
            cell,
            address: listener.local_addr()?,
            group,
            settings,
            history,
            condition: Mutex::new(Condition::Running),
            changed: Condvar::new(),
            work: Mutex::new(Work { running: 0, waiting: 0 }),
            freed: Condvar::new(),
            is_primary: AtomicBool::new(is_primary),
            position: AtomicI64::new(now_us()),
            lag: AtomicI64::new(10_000),
            slowness: AtomicU64::new(1000),
            connections: Mutex::default(),
            next_connection: AtomicU64::new(0),
            life: AtomicU64::new(0),
            probes: AtomicU64::new(0),
        });
        server.clone().listen(listener);
        let ticking = server.clone();
        std::thread::spawn(move || {
            loop {
                ticking.tick();
                sleep_ms(2);
            }
        });
        Ok(server)
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        let life = self.life.load(Ordering::SeqCst);
        let _ = listener.set_nonblocking(true);
        std::thread::spawn(move || {
            loop {
                if self.life.load(Ordering::SeqCst) != life {
                    return;
                }
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let server = self.clone();
                        let _ = std::thread::Builder::new()
                            .stack_size(256 * 1024)
                            .spawn(move || server.serve(stream, life));
                    }
                    Err(_) => std::thread::sleep(Duration::from_micros(500)),
                }
            }
        });
    }

    fn tick(&self) {
        if self.condition() != Condition::Running {
            return;
        }
        if self.is_primary() {
            self.position.fetch_max(now_us(), Ordering::SeqCst);
        } else if self.group.ships.load(Ordering::SeqCst) {
            self.position.fetch_max(now_us() - self.lag.load(Ordering::SeqCst), Ordering::SeqCst);
        }
    }

    pub fn condition(&self) -> Condition {
        *lock(&self.condition)
    }

    pub fn is_primary(&self) -> bool {
        self.is_primary.load(Ordering::SeqCst)
    }

    pub fn position(&self) -> i64 {
        self.tick();
        self.position.load(Ordering::SeqCst)
    }

    pub fn set_primary(&self, is_primary: bool) {
        say!("server {} is {}", self.id, if is_primary { "the primary" } else { "a replica" });
        self.tick();
        self.is_primary.store(is_primary, Ordering::SeqCst);
    }

    pub fn set_condition(self: &Arc<Self>, condition: Condition) {
        say!("server {} is {condition:?}", self.id);
        self.tick();
        let was = std::mem::replace(&mut *lock(&self.condition), condition);
        if condition == Condition::Dead {
            self.life.fetch_add(1, Ordering::SeqCst);
            for stream in lock(&self.connections).values() {
                reset_on_close(stream);
                let _ = stream.shutdown(Shutdown::Both);
            }
        } else if was == Condition::Dead {
            for _ in 0..200 {
                if let Ok(listener) = TcpListener::bind(self.address) {
                    self.clone().listen(listener);
                    break;
                }
                sleep_ms(5);
            }
        }
        self.changed.notify_all();
        self.freed.notify_all();
    }

    pub fn entry(&self, lifecycle: &'static str, started_ms: i64, part: &'static str) -> Entry {
        Entry {
            id: self.id.clone(),
            address: self.address.to_string(),
            cell: self.cell,
            lifecycle,
            started_ms,
            part,
        }
    }

    pub fn connection_count(&self) -> usize {
        lock(&self.connections).len()
    }

    /// Closes the open connections that wait for a request, as an idle timeout would.
    pub fn close_connections(&self, reset: bool) {
        for stream in lock(&self.connections).values() {
            if reset {
                reset_on_close(stream);
            }
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn wait_while_hung(&self, life: u64) -> bool {
        let mut condition = lock(&self.condition);
        while *condition == Condition::Hung && self.life.load(Ordering::SeqCst) == life {
            condition = self.changed.wait(condition).unwrap_or_else(|poisoned| poisoned.into_inner());
        }
        *condition == Condition::Running && self.life.load(Ordering::SeqCst) == life
    }

    fn serve(self: Arc<Self>, stream: TcpStream, life: u64) {
        let number = self.next_connection.fetch_add(1, Ordering::SeqCst);
        if let Ok(clone) = stream.try_clone() {
            lock(&self.connections).insert(number, clone);
        }
        let _ = self.converse(Messages::new(stream), life);
        lock(&self.connections).remove(&number);
    }

    fn converse(&self, mut messages: Messages, life: u64) -> io::Result<()> {
        let Some(_startup) = messages.next(false)? else { return Ok(()) };
        let (share, longest) = lock(&self.settings).late_connections;
        if rand_f64() < share {
            std::thread::sleep(Duration::from_secs_f64(rand_range(0.05, longest / 1000.0)));
        }
        if !self.wait_while_hung(life) {
            return Ok(());
        }
        let mut out = Vec::new();
        push_message(&mut out, b'R', &[0; 4]);
        push_message(&mut out, b'K', &[0, 0, 0, 1, 0, 0, 0, 1]);
        push_ready(&mut out);
        messages.stream.write_all(&out)?;
        while let Some(message) = messages.next(true)? {
            if !self.wait_while_hung(life) {
                return Ok(());
            }
            if message.tag != b'Q' {
                return Ok(());
            }
            let text = String::from_utf8_lossy(message.body.strip_suffix(&[0]).unwrap_or(&[])).into_owned();
            if !self.answer(&mut messages, &text, &message, life)? {
                return Ok(());
            }
        }
        Ok(())
    }

    fn push_status(&self, out: &mut Vec<u8>, caught_up_to: Option<i64>) -> bool {
        let is_primary = self.is_primary();
        push_parameter(out, "part", if is_primary { "master" } else { "replica" });
        if let Some(ms) = caught_up_to {
            push_parameter(out, "caught_up_to", &ms.to_string());
        }
        is_primary
    }

    /// Answers one statement; false if the connection ends.
    fn answer(&self, messages: &mut Messages, text: &str, message: &Message, life: u64) -> io::Result<bool> {
        let mut out = Vec::new();
        if text.is_empty() || text.starts_with("SET") || text.starts_with("RESET") {
            push_message(&mut out, b'I', b"");
            push_ready(&mut out);
            messages.stream.write_all(&out)?;
            return Ok(true);
        }
        if text == "SHOW gauges" {
            self.probes.fetch_add(1, Ordering::SeqCst);
            let seconds = self.position() as f64 / 1e6;
            let report = format!("x0={seconds:.6},x1={}", u8::from(self.is_primary()));
            push_row(&mut out, report.as_bytes());
            push_ready(&mut out);
            messages.stream.write_all(&out)?;
            return Ok(true);
        }
        let (Some(id), Some(class)) = (comment_field(text, "id"), comment_field(text, "c")) else {
            say!("server {}: a statement that no client sent: {text}", self.id);
            self.history.foreign.fetch_add(1, Ordering::SeqCst);
            push_error(&mut out, "08P01", "no request");
            push_ready(&mut out);
            messages.stream.write_all(&out)?;
            return Ok(true);
        };
        let told_ms = comment_field(text, "d").and_then(|d| d.parse().ok()).unwrap_or(-1.0);
        let attempt = Attempt {
            id: id.clone(),
            class: class.clone(),
            key: quoted(text),
            server: self.id.clone(),
            first_byte_at: message.first_byte_at,
            last_byte_at: message.last_byte_at,
            told_ms,
            position: 0,
            as_primary: false,
            ran: false,
            answered_at: 0,
            told_primary: false,
            commit_ms: 0,
        };
        say!("server {} got {id} {class} d={told_ms}", self.id);
        let index = {
            let mut attempts = lock(&self.history.attempts);
            attempts.push(attempt);
            attempts.len() - 1
        };
        let settings = *lock(&self.settings);
        let is_write = text.starts_with("INSERT");
        if is_write && !self.is_primary() {
            push_error(&mut out, "25006", "read only");
            return self.finish(messages, out, index, None, life);
        }
        if !self.enter(settings) {
            push_error(&mut out, "53300", "queue full");
            return self.finish(messages, out, index, None, life);
        }
        if rand_f64() < settings.resets {
            sleep_ms(5);
            self.leave();
            self.history_mut(index, |attempt| attempt.ran = true);
            say!("server {} ran {id}", self.id);
            say!("server {} resets the connection under {id}", self.id);
            reset_on_close(&messages.stream);
            return Ok(false);
        }
        let position = self.position();
        let as_primary = self.is_primary();
        let (from, to) = if is_write { settings.write_ms } else { settings.read_ms };
        let slowness = self.slowness.load(Ordering::SeqCst) as f64 / 1000.0;
        std::thread::sleep(Duration::from_secs_f64(rand_range(from, to) * slowness / 1000.0));
        let running = self.wait_while_hung(life);
        self.leave();
        if !running {
            self.history_mut(index, |attempt| attempt.ran = true);
            return Ok(false);
        }
        if rand_f64() < settings.errors || (is_write && !self.is_primary()) {
            self.history_mut(index, |attempt| attempt.ran = is_write && self.is_primary());
            push_error(&mut out, "XX000", "internal error");
            return self.finish(messages, out, index, None, life);
        }
        say!("server {} ran {id}", self.id);
        self.history_mut(index, |attempt| {
            attempt.ran = true;
            attempt.position = if is_write { 0 } else { position };
            attempt.as_primary = as_primary;
        });
        let mut caught_up_to = settings.tells_position.then(|| self.position().div_euclid(1000));
        if is_write {
            let commit = (now_us() + 999).div_euclid(1000);
            self.history_mut(index, |attempt| attempt.commit_ms = commit);
            caught_up_to = Some(commit);
        }
        push_row(&mut out, format!("value of {id}").as_bytes());
        if rand_f64() < settings.spoilt {
            say!("server {} spoils the answer to {id}", self.id);
            match rand_u64() % 4 {
                0 => out = b"noise that nobody can read\r\n".to_vec(),
                1 => out[1..5].copy_from_slice(&(-7i32).to_be_bytes()),
                2 => {
                    out.clear();
                    out.push(b'D');
                    out.extend_from_slice(&3_000_000_000u32.to_be_bytes());
                    out.extend_from_slice(&[0; 5000]);
                }
                _ => out.truncate(out.len() / 2),
            }
            messages.stream.write_all(&out)?;
            // The connection stays open and is of no further use.
            while messages.next(true).is_ok_and(|message| message.is_some()) {}
            return Ok(false);
        }
        self.finish(messages, out, index, caught_up_to, life)
    }

    fn finish(
        &self,
        messages: &mut Messages,
        mut out: Vec<u8>,
        index: usize,
        caught_up_to: Option<i64>,
        _life: u64,
    ) -> io::Result<bool> {
        let told_primary = self.push_status(&mut out, caught_up_to);
        push_ready(&mut out);
        if rand_f64() < lock(&self.settings).surplus {
            let copy = out.clone();
            out.extend_from_slice(&copy);
        }
        let at = now_us();
        messages.stream.write_all(&out)?;
        say!("server {} answered {}", self.id, lock(&self.history.attempts)[index].id);
        self.history_mut(index, |attempt| {
            attempt.answered_at = at;
            attempt.told_primary = told_primary;
        });
        Ok(true)
    }

    fn history_mut(&self, index: usize, change: impl FnOnce(&mut Attempt)) {
        change(&mut lock(&self.history.attempts)[index]);
    }

    fn enter(&self, settings: Settings) -> bool {
        let mut work = lock(&self.work);
        if work.running >= settings.slots {
            if work.waiting >= settings.queue {
                return false;
            }
            work.waiting += 1;
            while work.running >= settings.slots {
                work = self.freed.wait(work).unwrap_or_else(|poisoned| poisoned.into_inner());
            }
            work.waiting -= 1;
        }
        work.running += 1;
        true
    }

    fn leave(&self) {
        lock(&self.work).running -= 1;
        self.freed.notify_one();
    }
}

/// Starts a group of data servers, of which the third is the primary.
pub fn start_group(
    cell: i64,
    count: usize,
    settings: &Arc<Mutex<Settings>>,
    history: &Arc<History>,
) -> io::Result<Vec<Arc<Server>>> {
    let group = Arc::new(Group::default());
    group.ships.store(true, Ordering::SeqCst);
    (0..count)
        .map(|number| {
            let id = format!("s-{cell}{number}{:06x}", rand_u64() & 0xff_ffff);
            Server::start(&id, cell, group.clone(), number == 2, settings.clone(), history.clone())
        })
        .collect()
}

/// The list of these data servers, all in service.
pub fn list_of(servers: &[Arc<Server>]) -> Vec<Entry> {
    let part = |server: &Server| if server.is_primary() { "master" } else { "replica" };
    servers.iter().map(|server| server.entry("up", 0, part(server))).collect()
}
