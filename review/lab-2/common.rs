//! Shared parts of the stand-ins: the clock, random numbers, PostgreSQL framing, processes and the record.

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Microseconds since 1970.
pub fn now_us() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as i64
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Whether the disruption is played: everywhere but with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- random numbers

static RNG: AtomicU64 = AtomicU64::new(0x9e37_79b9_7f4a_7c15);

pub fn seed_rng(seed: u64) {
    RNG.store(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1, Ordering::SeqCst);
}

pub fn rand_u64() -> u64 {
    let mut x = RNG.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A uniform number from 0 to 1.
pub fn rand_f64() -> f64 {
    (rand_u64() >> 11) as f64 / (1u64 << 53) as f64
}

pub fn rand_range(from: f64, to: f64) -> f64 {
    from + (to - from) * rand_f64()
}

// ---------------------------------------------------------------- the record

struct Record {
    started: Instant,
    file: File,
}

static RECORD: OnceLock<Mutex<Record>> = OnceLock::new();

/// Opens `record.txt`, to which `say` writes.
pub fn open_record(path: &str) -> io::Result<()> {
    let record = Record { started: Instant::now(), file: File::create(path)? };
    let _ = RECORD.set(Mutex::new(record));
    Ok(())
}

pub fn record_line(line: &str) {
    if let Some(record) = RECORD.get() {
        let mut record = lock(record);
        let at = record.started.elapsed().as_secs_f64();
        let _ = writeln!(record.file, "{at:9.4} {line}");
    }
}

/// Writes a line to the record.
#[macro_export]
macro_rules! say {
    ($($arg:tt)*) => { $crate::common::record_line(&format!($($arg)*)) };
}

// ---------------------------------------------------------------- system calls

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn _exit(code: i32) -> !;
    #[link_name = "signal"]
    fn set_handler(number: i32, handler: extern "C" fn(i32)) -> usize;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGINT: i32 = 2;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn signal(pid: u32, signal: i32) {
    // SAFETY: kill takes two integers. The process is a child of this one that has not been waited for.
    unsafe { kill(pid as i32, signal) };
}

/// Makes the close of a connection reset it.
pub fn reset_on_close(stream: &TcpStream) {
    let linger = [1i32, 0];
    // SAFETY: the option SO_LINGER (13) of SOL_SOCKET (1) is two integers, and the descriptor is open.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
}

// ---------------------------------------------------------------- PostgreSQL framing

pub fn push_message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
}

pub fn push_query(out: &mut Vec<u8>, statement: &str) {
    let mut body = statement.as_bytes().to_vec();
    body.push(0);
    push_message(out, b'Q', &body);
}

pub fn startup_message() -> Vec<u8> {
    let mut body = 196_608u32.to_be_bytes().to_vec();
    body.extend_from_slice(b"user\0backend\0database\0store\0\0");
    let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
    out.extend_from_slice(&body);
    out
}

pub fn push_ready(out: &mut Vec<u8>) {
    push_message(out, b'Z', b"I");
}

pub fn push_parameter(out: &mut Vec<u8>, name: &str, value: &str) {
    push_message(out, b'S', format!("{name}\0{value}\0").as_bytes());
}

pub fn push_row(out: &mut Vec<u8>, value: &[u8]) {
    push_message(out, b'T', b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    let mut row = vec![0, 1];
    row.extend_from_slice(&(value.len() as u32).to_be_bytes());
    row.extend_from_slice(value);
    push_message(out, b'D', &row);
    push_message(out, b'C', b"SELECT 1\0");
}

pub fn push_error(out: &mut Vec<u8>, code: &str, text: &str) {
    push_message(out, b'E', format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes());
}

/// A connection that carries messages of the PostgreSQL protocol.
pub struct Messages {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    start: usize,
    /// When the first unconsumed byte arrived, in microseconds since 1970.
    pub first_byte_at: i64,
    /// When the last read returned.
    pub last_read_at: i64,
}

/// A message: its tag, or 0 for a startup message, and its body.
pub struct Message {
    pub tag: u8,
    pub body: Vec<u8>,
    pub first_byte_at: i64,
    pub last_byte_at: i64,
}

impl Messages {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new(), start: 0, first_byte_at: 0, last_read_at: 0 }
    }

    fn take(&mut self, with_tag: bool) -> Option<Message> {
        let tag_size = usize::from(with_tag);
        let data = &self.buffer[self.start..];
        let length = data.get(tag_size..tag_size + 4)?;
        let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
        let size = tag_size + length.max(4);
        let body = data.get(tag_size + 4..size)?.to_vec();
        let tag = if with_tag { data[0] } else { 0 };
        let message =
            Message { tag, body, first_byte_at: self.first_byte_at, last_byte_at: self.last_read_at };
        self.start += size;
        if self.start == self.buffer.len() {
            self.buffer.clear();
            self.start = 0;
        } else {
            self.first_byte_at = self.last_read_at;
        }
        Some(message)
    }

    /// Reads the next message; `None` at the end of the connection.
    pub fn next(&mut self, with_tag: bool) -> io::Result<Option<Message>> {
        loop {
            if let Some(message) = self.take(with_tag) {
                return Ok(Some(message));
            }
            let mut bytes = [0; 16 * 1024];
            match self.stream.read(&mut bytes) {
                Ok(0) => return Ok(None),
                Ok(count) => {
                    self.last_read_at = now_us();
                    if self.start == self.buffer.len() {
                        self.first_byte_at = self.last_read_at;
                    }
                    self.buffer.extend_from_slice(&bytes[..count]);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }
}

/// The text of an error field of an ErrorResponse.
pub fn error_field(body: &[u8], field: u8) -> String {
    for part in body.split(|byte| *byte == 0) {
        if part.first() == Some(&field) {
            return String::from_utf8_lossy(&part[1..]).into_owned();
        }
    }
    String::new()
}

/// The value of a field in the comment of a statement.
pub fn comment_field(statement: &str, key: &str) -> Option<String> {
    let start = statement.rfind("/*")? + 2;
    let end = statement.rfind("*/")?;
    let comment = statement.get(start..end)?;
    comment.split(',').find_map(|pair| {
        let (name, value) = pair.split_once('=')?;
        (name.trim() == key).then(|| value.trim().to_owned())
    })
}

/// The first quoted text of a statement.
pub fn quoted(statement: &str) -> String {
    statement.split('\'').nth(1).unwrap_or("").to_owned()
}

/// The answer to a request as a client reads it.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(String),
    /// An ErrorResponse with 53300 or 57P03.
    Refused(String),
    Failed(String),
    /// The connection ended without an answer.
    Closed,
    /// Nothing came in time.
    Silent,
}

/// A client's connection to a pooler.
pub struct Client {
    pub messages: Messages,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let mut messages = Messages::new(TcpStream::connect_timeout(&address, Duration::from_secs(2))?);
        messages.stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        messages.stream.write_all(&startup_message())?;
        loop {
            match messages.next(true)? {
                Some(Message { tag: b'Z', .. }) => return Ok(Self { messages }),
                Some(Message { tag: b'E', body, .. }) => {
                    return Err(io::Error::other(format!("error {}", error_field(&body, b'C'))));
                }
                Some(_) => {}
                None => return Err(io::ErrorKind::UnexpectedEof.into()),
            }
        }
    }

    pub fn send(&mut self, statement: &str) -> io::Result<()> {
        let mut out = Vec::new();
        push_query(&mut out, statement);
        self.messages.stream.write_all(&out)
    }

    /// Whether the pooler has not ended the connection.
    pub fn is_open(&self) -> bool {
        let _ = self.messages.stream.set_read_timeout(Some(Duration::from_millis(1)));
        match self.messages.stream.peek(&mut [0]) {
            Ok(count) => count > 0,
            Err(error) => matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut),
        }
    }

    /// Reads the answer to one statement, up to ReadyForQuery, until `limit`.
    pub fn answer(&mut self, limit: Instant) -> Answer {
        let mut answer = None;
        loop {
            let left = limit.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return answer.unwrap_or(Answer::Silent);
            }
            let _ = self.messages.stream.set_read_timeout(Some(left));
            match self.messages.next(true) {
                Ok(Some(message)) => match message.tag {
                    b'D' => {
                        let value = message.body.get(6..).unwrap_or(&[]);
                        answer = Some(Answer::Served(String::from_utf8_lossy(value).into_owned()));
                    }
                    b'E' => {
                        let code = error_field(&message.body, b'C');
                        let refused = code == "53300" || code == "57P03";
                        answer = Some(if refused { Answer::Refused(code) } else { Answer::Failed(code) });
                    }
                    b'I' => answer = Some(Answer::Served(String::new())),
                    b'Z' => return answer.unwrap_or(Answer::Closed),
                    _ => {}
                },
                Ok(None) => return answer.unwrap_or(Answer::Closed),
                Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                }
                Err(_) => return answer.unwrap_or(Answer::Closed),
            }
        }
    }
}

// ---------------------------------------------------------------- the pooler's process

/// Runs `work` in a thread with a small stack.
pub fn spawn(work: impl FnOnce() + Send + 'static) -> io::Result<std::thread::JoinHandle<()>> {
    std::thread::Builder::new().stack_size(512 * 1024).spawn(work)
}

/// A free loopback address.
pub fn free_address() -> io::Result<SocketAddr> {
    std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// A directory of this run, removed at the end.
pub struct Folder(pub std::path::PathBuf);

impl Folder {
    pub fn new() -> io::Result<Self> {
        let base = std::env::temp_dir();
        let path = base.join(format!("review-{}-{}", std::process::id(), now_us()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The poolers that run, by process id; 0 for none.
static STARTED: [AtomicU32; 8] = [const { AtomicU32::new(0) }; 8];

/// Kills the poolers that run, by the ids of their processes.
pub fn kill_all() {
    for process in &STARTED {
        let id = process.swap(0, Ordering::SeqCst);
        if id != 0 {
            signal(id, SIGKILL);
        }
    }
}

extern "C" fn end_of_run(_: i32) {
    kill_all();
    // SAFETY: _exit may be called in a signal handler.
    unsafe { _exit(2) }
}

/// Lets a signal that ends this process end its poolers first.
pub fn end_on_signals() {
    for number in [SIGHUP, SIGINT, SIGTERM] {
        // SAFETY: the handler only calls kill and _exit, and uses atomic numbers.
        unsafe { set_handler(number, end_of_run) };
    }
}

/// A pooler, started with the `run` command of the deploy file; killed when dropped.
pub struct Pooler {
    pub child: Child,
    pub config: std::path::PathBuf,
}

impl Pooler {
    /// Starts a pooler with this configuration. `root` is the root of the repository.
    pub fn start(root: &str, folder: &Folder, name: &str, config: &str) -> io::Result<Self> {
        let path = folder.0.join(format!("{name}.json"));
        std::fs::write(&path, config)?;
        let deploy = std::fs::read_to_string(format!("{root}/deploy/balancer.toml"))?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.ok_or_else(|| io::Error::other("no run command in the deploy file"))?;
        let log = File::create(folder.0.join(format!("{name}.log")))?;
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .current_dir(root)
            .env("GW_CONFIG", &path)
            .env("GW_NAME", name)
            .env_remove("LINNETDEAL_OPERATOR")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        if let Some(free) = STARTED.iter().find(|process| process.load(Ordering::SeqCst) == 0) {
            free.store(child.id(), Ordering::SeqCst);
        }
        Ok(Self { child, config: path })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Replaces the file of the configuration.
    pub fn replace_configuration(&self, folder: &Folder, config: &str) -> io::Result<()> {
        let new = folder.0.join("new.json");
        std::fs::write(&new, config)?;
        std::fs::rename(new, &self.config)
    }

    pub fn signal(&self, number: i32) {
        signal(self.child.id(), number);
    }

    /// Waits until the pooler answers an empty query.
    pub fn wait_ready(&mut self, address: SocketAddr) -> io::Result<()> {
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(10) {
            if let Ok(mut client) = Client::connect(address) {
                client.send("")?;
                if client.answer(Instant::now() + Duration::from_secs(1)) == Answer::Served(String::new()) {
                    return Ok(());
                }
            }
            sleep_ms(20);
        }
        Err(io::Error::other("the pooler was not ready within 10 s"))
    }

    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Pooler {
    fn drop(&mut self) {
        let id = self.child.id();
        if let Some(own) = STARTED.iter().find(|process| process.load(Ordering::SeqCst) == id) {
            own.store(0, Ordering::SeqCst);
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Writes a line to the record and to standard output.
pub fn conclude(line: &str) {
    record_line(line);
    println!("{line}");
}
