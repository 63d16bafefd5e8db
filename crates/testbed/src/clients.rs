//! Clients that ask for all classes, each with a session of its own, and check what they are answered.

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

/// How long a client waits for a response, unless told otherwise.
pub const DEADLINE: Duration = Duration::from_millis(1_000);
/// A response so long after the deadline still came in time.
pub const DEADLINE_TOLERANCE: Duration = Duration::from_millis(50);
/// For how long after its deadline a client goes on reading.
const READ_AFTER_DEADLINE: Duration = Duration::from_millis(100);
/// The age that the data of a bounded read may have.
const STALENESS_BOUND_MS: i64 = 1_500;
const READ_SIZE: usize = 16 * 1024;

/// The request classes of the testbed's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// A read with bounded staleness.
    BundleMenu,
    /// A read of the session's own writes.
    MyRecent,
    /// An eventual read.
    UsageHistory,
    /// A strong read.
    BalanceCheck,
    /// A write that must not run twice.
    TopUp,
}

impl RequestClass {
    /// All, in the order of the settings.
    pub const ALL: [Self; 5] =
        [Self::BundleMenu, Self::MyRecent, Self::UsageHistory, Self::BalanceCheck, Self::TopUp];

    /// Its name in the settings and in statements.
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

    /// The class for a number from 0 to 99, by its share of the load.
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

/// Clients that go on asking.
pub struct ClientLoad {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl ClientLoad {
    /// So many clients of the pooler at `address`, each asking anew `pause` after its response, until they are stopped.
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
                    client.request_any();
                    std::thread::sleep(pause);
                }
            })
        });
        Self { threads: threads.collect(), stop }
    }

    /// Stops them once each has its response.
    pub fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// A client that keeps its connection for as long as that lasts.
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

/// A response as it came.
struct Response {
    outcome: RequestOutcome,
    value: Option<String>,
}

impl Response {
    /// The log position in the value, if that is the value of this request.
    fn position_ms(&self, id: &str) -> Option<i64> {
        let (of, position) = self.value.as_deref()?.split_once(' ')?;
        if of == id { position.parse().ok() } else { None }
    }
}

impl Client {
    /// The client of this number.
    #[must_use]
    pub fn new(address: SocketAddr, number: usize, seed: u64, history: SharedHistory) -> Self {
        Self {
            address,
            session: format!("acc{number}"),
            requests: 0,
            deadline: DEADLINE,
            random: ChaCha8Rng::seed_from_u64(seed ^ number as u64),
            history,
            stream: None,
            unread: Vec::new(),
        }
    }

    /// The same, waiting so long for each response.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// The id of its last request.
    #[must_use]
    pub fn last_id(&self) -> String {
        format!("{}x{}", self.session, self.requests)
    }

    /// Makes a request of a class by chance; what became of it is in the history as well.
    pub fn request_any(&mut self) -> RequestOutcome {
        let percentile = self.random.next_u32() % 100;
        self.request(RequestClass::from_percentile(percentile))
    }

    /// Makes a request of a class.
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
            response.outcome = RequestOutcome::ForeignResponse;
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

    /// The log position that a read of this class must see.
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
            let left = give_up_at.saturating_duration_since(Instant::now()) + READ_AFTER_DEADLINE;
            let stream = self.stream.as_mut().ok_or(ErrorKind::NotConnected)?;
            stream.set_read_timeout(Some(left))?;
            match stream.read(&mut bytes)? {
                0 => return Err(ErrorKind::UnexpectedEof.into()),
                count => self.unread.extend_from_slice(&bytes[..count]),
            }
        }
    }
}

/// How a request ended that got this ErrorResponse.
fn error_outcome(body: &[u8]) -> RequestOutcome {
    let fields = body.split(|byte| *byte == 0);
    match fields.filter_map(|field| field.strip_prefix(b"C")).next().unwrap_or(b"") {
        b"53300" | b"57P03" => RequestOutcome::Rejected,
        other => RequestOutcome::Failed { sql_state: String::from_utf8_lossy(other).into_owned() },
    }
}
