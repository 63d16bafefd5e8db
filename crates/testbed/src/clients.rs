//! Load clients: each has its own session, sends requests of all classes and checks the responses.

use crate::history::{Observation, RequestOutcome, ResponseRecord, SharedHistory};
use crate::{lock, unix_ms};
use pooler_proxy::protocol::{self, write};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long a client waits for a response by default.
pub const DEFAULT_DEADLINE: Duration = Duration::from_millis(1_000);
/// A response that arrives at most this long after the deadline still counts as in time.
pub const DEADLINE_TOLERANCE: Duration = Duration::from_millis(50);
/// The time after a request's deadline for which the client still waits before it abandons the connection.
const READ_AFTER_DEADLINE: Duration = Duration::from_millis(100);
/// The maximum age of the data that a read with bounded staleness returns.
const STALENESS_BOUND_MS: i64 = 1_500;
const READ_SIZE: usize = 16 * 1024;

/// The request classes in the testbed's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// A read with bounded staleness.
    BundleMenu,
    /// A read that must see the session's own writes.
    MyRecent,
    /// A read with eventual consistency.
    UsageHistory,
    /// A read with strong consistency: it must see the latest commit of any session.
    BalanceCheck,
    /// A write that must not be executed twice.
    TopUp,
}

impl RequestClass {
    /// All request classes, in the order of the settings.
    pub const ALL: [Self; 5] =
        [Self::BundleMenu, Self::MyRecent, Self::UsageHistory, Self::BalanceCheck, Self::TopUp];

    /// The name of the class in the settings and in statement comments.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::BundleMenu => "bundle-menu",
            Self::MyRecent => "my-recent",
            Self::UsageHistory => "usage-history",
            Self::BalanceCheck => "balance-check",
            Self::TopUp => "top-up",
        }
    }

    /// Maps a number from 0 to 99 to a class, in proportion to the share of each class in the load.
    fn from_percentile(percentile: u32) -> Self {
        match percentile {
            0..41 => Self::BundleMenu,
            41..65 => Self::MyRecent,
            65..85 => Self::UsageHistory,
            85..89 => Self::BalanceCheck,
            _ => Self::TopUp,
        }
    }
}

/// Client threads that send requests until they are stopped.
pub struct ClientLoad {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl ClientLoad {
    /// Starts `count` clients of the pooler at `address`. Each waits for `pause` between a response and its
    /// next request, and continues until the load is stopped.
    #[must_use]
    pub fn start(
        address: SocketAddr,
        count: usize,
        pause: Duration,
        seed: u64,
        history: &SharedHistory,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..count).map(|number| {
            let (stop, history) = (stop.clone(), history.clone());
            std::thread::spawn(move || {
                let mut client = Client::new(address, number, seed, history);
                while !stop.load(Ordering::SeqCst) {
                    client.request_random_class();
                    std::thread::sleep(pause);
                }
            })
        });
        Self { threads: threads.collect(), stop }
    }

    /// Stops all clients and waits until each has finished its current request.
    pub fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// A client that reuses its connection until the connection breaks.
pub struct Client {
    address: SocketAddr,
    session: String,
    requests: u64,
    deadline: Duration,
    random: ChaCha8Rng,
    history: SharedHistory,
    stream: Option<TcpStream>,
    unread: Vec<u8>,
}

/// A response as the client received it.
struct Response {
    outcome: RequestOutcome,
    value: Option<String>,
}

impl Response {
    /// The log position in the value, or `None` if the value does not carry the id of this request.
    fn position_ms(&self, id: &str) -> Option<i64> {
        let (value_id, position) = self.value.as_deref()?.split_once(' ')?;
        if value_id == id { position.parse().ok() } else { None }
    }
}

impl Client {
    /// Creates client `number`. The number names its session and, with `seed`, determines its random
    /// sequence.
    #[must_use]
    pub fn new(address: SocketAddr, number: usize, seed: u64, history: SharedHistory) -> Self {
        Self {
            address,
            session: format!("acc{number}"),
            requests: 0,
            deadline: DEFAULT_DEADLINE,
            random: ChaCha8Rng::seed_from_u64(seed ^ number as u64),
            history,
            stream: None,
            unread: Vec::new(),
        }
    }

    /// Sets how long the client waits for each response.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// The id of the client's last request.
    #[must_use]
    pub fn last_id(&self) -> String {
        format!("{}x{}", self.session, self.requests)
    }

    /// Sends a request of a random class, chosen by the share of each class in the load, as
    /// [`Self::request`] does.
    pub fn request_random_class(&mut self) -> RequestOutcome {
        let percentile = self.random.next_u32() % 100;
        self.request(RequestClass::from_percentile(percentile))
    }

    /// Sends a request of this class and counts it in the history, which also records the response unless it
    /// is late or missing.
    pub fn request(&mut self, class: RequestClass) -> RequestOutcome {
        self.requests += 1;
        let id = self.last_id();
        let statement = self.statement(class, &id);
        let required_ms = self.required_position(class);
        let phase = lock(&self.history).record_request();
        let give_up_at = Instant::now() + self.deadline;
        let mut response = self.exchange(&statement, give_up_at).unwrap_or_else(|error| {
            self.stream = None;
            Response { outcome: RequestOutcome::Broken { reason: error.to_string() }, value: None }
        });
        let position_ms = response.position_ms(&id);
        if response.outcome == RequestOutcome::Served && position_ms.is_none() {
            response.outcome = RequestOutcome::MismatchedResponse;
        }
        let is_in_time = Instant::now() <= give_up_at + DEADLINE_TOLERANCE;
        if is_in_time && !matches!(response.outcome, RequestOutcome::Broken { .. }) {
            let observation = match position_ms {
                Some(position_ms) if class == RequestClass::TopUp => Observation::Commit { position_ms },
                Some(position_ms) => Observation::Read { required_ms, position_ms },
                None => Observation::Nothing,
            };
            let (session, outcome) = (self.session.as_str(), &response.outcome);
            let record = ResponseRecord { id: &id, session, phase, outcome, observation };
            lock(&self.history).record_response(&record);
        }
        response.outcome
    }

    fn statement(&self, class: RequestClass, id: &str) -> String {
        let (session, name, ms) = (&self.session, class.name(), self.deadline.as_millis());
        let comment = format!("/* id={id},c={name},d={ms},cluster=2 */");
        if class == RequestClass::TopUp {
            format!(
                "INSERT INTO kv (name, content) VALUES ('{session}', '\\x01') RETURNING content {comment}"
            )
        } else {
            format!("SELECT content FROM kv WHERE name = '{session}' {comment}")
        }
    }

    /// The oldest log position that a read of this class may be answered from.
    fn required_position(&self, class: RequestClass) -> i64 {
        match class {
            RequestClass::BundleMenu => unix_ms() - STALENESS_BOUND_MS,
            RequestClass::MyRecent => lock(&self.history).session_commit(&self.session),
            RequestClass::BalanceCheck => lock(&self.history).latest_commit(),
            RequestClass::UsageHistory | RequestClass::TopUp => 0,
        }
    }

    fn exchange(&mut self, statement: &str, give_up_at: Instant) -> std::io::Result<Response> {
        if self.stream.is_none() {
            let stream = TcpStream::connect(self.address)?;
            stream.set_nodelay(true)?;
            self.stream = Some(stream);
            self.unread.clear();
            let mut startup = Vec::new();
            write::startup_message(&mut startup, "backend", "store");
            self.write(&startup)?;
            self.read_response(give_up_at)?;
        }
        let mut query = Vec::new();
        write::query(&mut query, statement);
        self.write(&query)?;
        self.read_response(give_up_at)
    }

    fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        let stream = self.stream.as_mut().ok_or(ErrorKind::NotConnected)?;
        stream.write_all(bytes)
    }

    fn read_response(&mut self, give_up_at: Instant) -> std::io::Result<Response> {
        let malformed = || std::io::Error::from(ErrorKind::InvalidData);
        let mut response = Response { outcome: RequestOutcome::Empty, value: None };
        let mut bytes = [0; READ_SIZE];
        loop {
            while let Some(message) =
                protocol::parse_backend_message(&self.unread).map_err(|_| malformed())?
            {
                let (tag, size) = (message.tag, message.size);
                match tag {
                    b'D' => {
                        let row = protocol::parse_data_row(message.body).map_err(|_| malformed())?;
                        response.value = row.and_then(|row| String::from_utf8(row.to_vec()).ok());
                    }
                    b'C' => response.outcome = RequestOutcome::Served,
                    b'E' => response.outcome = error_outcome(message.body),
                    _ => {}
                }
                self.unread.drain(..size);
                if tag == b'Z' {
                    return Ok(response);
                }
            }
            let timeout = give_up_at.saturating_duration_since(Instant::now()) + READ_AFTER_DEADLINE;
            let stream = self.stream.as_mut().ok_or(ErrorKind::NotConnected)?;
            stream.set_read_timeout(Some(timeout))?;
            match stream.read(&mut bytes)? {
                0 => return Err(ErrorKind::UnexpectedEof.into()),
                count => self.unread.extend_from_slice(&bytes[..count]),
            }
        }
    }
}

/// The outcome of a request that was answered with this ErrorResponse.
fn error_outcome(body: &[u8]) -> RequestOutcome {
    let fields = body.split(|byte| *byte == 0);
    match fields.filter_map(|field| field.strip_prefix(b"C")).next().unwrap_or(b"") {
        b"53300" | b"57P03" => RequestOutcome::Rejected,
        other => RequestOutcome::Failed { sql_state: String::from_utf8_lossy(other).into_owned() },
    }
}
